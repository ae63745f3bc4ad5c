/** @file weighted_round_robin.h Divides a route's requests among its services by exact weight. */
#pragma once

#include "routes/route_type.h"

#include <unordered_map>
#include <vector>

namespace cornelwell {

/** Smooth weighted rotation: any run of requests is divided as closely as whole requests allow. */
class WeightedRoundRobin
{
public:
    /** @param offset Moves where the rotation begins, so that daemons do not all begin alike. */
    explicit WeightedRoundRobin(std::uint64_t offset) : m_offset(offset) {}

    /** @return the service for the next request of a route. */
    const ServiceName &next(const Route &route);

private:
    /** Credit of each part, as of the last request. */
    struct State
    {
        std::vector<unsigned> weights;
        std::vector<std::int64_t> credit;
    };

    static std::size_t step(const Route &route, State &state);

    std::uint64_t m_offset;
    std::unordered_map<std::string, State> m_states;
};

} // namespace cornelwell
