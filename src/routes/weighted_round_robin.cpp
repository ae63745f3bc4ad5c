/** @file weighted_round_robin.cpp Smooth weighted round-robin by credit. */
#include "routes/weighted_round_robin.h"

#include <numeric>

namespace cornelwell {

namespace {

constexpr std::size_t STATES_MAX = 4096;    ///< Above this many routes all states are dropped.
constexpr std::uint64_t OFFSET_STEPS = 101; ///< Number of different start positions.

} // namespace

const ServiceName &WeightedRoundRobin::next(const Route &route)
{
    if (route.split.size() == 1)
        return route.split.front().service;
    if (m_states.size() > STATES_MAX)
        m_states.clear();
    State &state = m_states[route.name];
    std::vector<unsigned> weights;
    for (const WeightedService &share : route.split)
        weights.push_back(share.weight);
    if (state.weights != weights) {
        state.weights = weights;
        state.credit.assign(weights.size(), 0);
        for (std::uint64_t i = 0; i < m_offset % OFFSET_STEPS; i++)
            advance(route, state);
    }
    return route.split[advance(route, state)].service;
}

/**
 * Adds each weight to the credit of its service, chooses the service with the most credit and
 * subtracts the sum of all weights from it.
 * @return index of the chosen service in Route::split.
 */
std::size_t WeightedRoundRobin::advance(const Route &route, State &state)
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
