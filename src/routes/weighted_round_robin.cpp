/** @file weighted_round_robin.cpp The part with the most credit is next and pays the whole round.
 */
#include "routes/weighted_round_robin.h"

#include <numeric>

namespace cornelwell {

namespace {

constexpr std::size_t STATES_MAX = 4096;    ///< Routes remembered.
constexpr std::uint64_t OFFSET_STEPS = 101; ///< Rotations begin at one of this many places.

} // namespace

const ServiceName &WeightedRoundRobin::next(const Route &route)
{
    if (route.split.size() == 1)
        return route.split.front().service;
    if (m_states.size() > STATES_MAX)
        m_states.clear();
    State &state = m_states[route.name];
    std::vector<unsigned> weights;
    for (const WeightedService &part : route.split)
        weights.push_back(part.weight);
    if (state.weights != weights) {
        state.weights = weights;
        state.credit.assign(weights.size(), 0);
        for (std::uint64_t i = 0; i < m_offset % OFFSET_STEPS; i++)
            step(route, state);
    }
    return route.split[step(route, state)].service;
}

std::size_t WeightedRoundRobin::step(const Route &route, State &state)
{
    std::size_t best = route.split.size();
    for (std::size_t i = 0; i < route.split.size(); i++) {
        state.credit[i] += state.weights[i];
        if (state.weights[i] > 0
            && (best == route.split.size() || state.credit[i] > state.credit[best]))
            best = i;
    }
    state.credit[best]
        -= std::accumulate(state.weights.begin(), state.weights.end(), std::int64_t{0});
    return best;
}

} // namespace cornelwell
