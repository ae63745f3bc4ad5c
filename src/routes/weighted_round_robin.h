/** @file weighted_round_robin.h Divides the requests of a route among its services by weight. */
#pragma once

#include "routes/route_type.h"

#include <unordered_map>
#include <vector>

namespace cornelwell {

/**
 * Smooth weighted round-robin: every run of consecutive requests is divided as closely to the
 * weights as whole requests allow.
 */
class WeightedRoundRobin
{
public:
    /** @param offset Selects the start position, so that daemons do not all start with the same. */
    explicit WeightedRoundRobin(std::uint64_t offset) : m_offset(offset) {}

    /** @return the service for the next request of a route. */
    const ServiceName &next(const Route &route);

private:
    /** State of one route. Both lists follow the order of Route::split. */
    struct State
    {
        std::vector<unsigned> weights;    ///< Weights that the credits belong to.
        std::vector<std::int64_t> credit; ///< Credit of each service after the last request.
    };

    static std::size_t advance(const Route &route, State &state);

    std::uint64_t m_offset;
    std::unordered_map<std::string, State> m_states; ///< By name of the route.
};

} // namespace cornelwell
