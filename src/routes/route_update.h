/** @file route_update.h The difference between two versions of the routes. */
#pragma once

#include "base/result.h"
#include "routes/route_table.h"

#include <string>
#include <vector>

namespace cornelwell {

/** What an update says about tenants. */
enum class TenantsChange : std::uint8_t
{
    Unknown,   ///< Nothing: no tenants, or the sender's build does not know them.
    Unchanged, ///< The base version's tenants stay.
    None,      ///< The new version has none.
    Whole,     ///< All tenants of the new version are listed.
    Changed,   ///< New and changed tenants are listed, and the names of removed ones.
    Count,     ///< Number of values; not a value.
};

/** Difference from a base version to a newer one, or a whole version. */
struct RouteUpdate
{
    Revision version = 0;                 ///< Number of the new version.
    Revision baseVersion = 0;             ///< Version that it applies to; 0 for a whole version.
    std::uint64_t digest = 0;             ///< RouteTable::digest() of the new version.
    std::vector<Route> routes;            ///< New and changed routes; all for a whole version.
    std::vector<std::string> removedKeys; ///< routeKey() of each removed route.
    std::vector<RouteService> services;   ///< All services.
    TrafficLimits limits;                 ///< All limits.
    TenantsChange tenantsChange = TenantsChange::Unknown; ///< Meaning of the next two.
    std::vector<Tenant> tenants;             ///< New and changed tenants, or all of them.
    std::vector<std::string> removedTenants; ///< Names of removed tenants.

    /** @return number of changed or removed routes and tenants. */
    std::size_t changeCount() const
    {
        return routes.size() + removedKeys.size() + tenants.size() + removedTenants.size();
    }
};

/** @return the update from @p base to @p next; a whole version when @p base is null. */
RouteUpdate makeRouteUpdate(const RouteTable *base, const RouteTable &next);

/**
 * Applies an update.
 * @param base The version in force; null for none.
 * @param update The update.
 * @return the new version; VersionGap when the update applies to a version other than @p base;
 * RouteInvalid when the result differs from the sender's version; the error of RouteTable::build()
 * when the result is invalid.
 */
Result<RouteTablePtr> applyRouteUpdate(const RouteTable *base, const RouteUpdate &update);

} // namespace cornelwell
