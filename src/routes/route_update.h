/** @file route_update.h What differs between two versions of the routes. */
#pragma once

#include "base/result.h"
#include "routes/route_table.h"

#include <string>
#include <vector>

namespace cornelwell {

/** What makes one version of another one, or a whole version. */
struct RouteUpdate
{
    Revision version = 0;                 ///< Number of the version that it makes.
    Revision baseVersion = 0;             ///< Version that it is put upon; 0 for a whole version.
    std::uint64_t digest = 0;             ///< Digest of the version that it makes.
    std::vector<Route> routes;            ///< Routes that are new or changed.
    std::vector<std::string> removedKeys; ///< Keys of routes that are gone.
    std::vector<RouteService> services;   ///< All services.
    TrafficLimits limits;                 ///< All limits.
};

/** @return what makes @p next of @p base; a whole version when @p base is null. */
RouteUpdate makeRouteUpdate(const RouteTable *base, const RouteTable &next);

/**
 * Puts an update upon a version.
 * @param base The version in force; may be null.
 * @param update The update.
 * @return the next version; VersionGap when the update belongs to another one, RouteInvalid when
 * the outcome is not what the sender has.
 */
Result<RouteTablePtr> applyRouteUpdate(const RouteTable *base, const RouteUpdate &update);

} // namespace cornelwell
