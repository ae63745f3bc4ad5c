/** @file split_rotation.cpp The part with the most credit is next and pays the whole round. */
#include "routes/split_rotation.h"

#include <numeric>

namespace cornelwell {

namespace {

constexpr std::size_t STATES_MAX = 4096;    ///< Routes remembered.
constexpr std::uint64_t OFFSET_STEPS = 101; ///< Rotations begin at one of this many places.

} // namespace

const ServiceName &SplitRotation::next(const Route &route)
{
    if (route.parts.size() == 1)
        return route.parts.front().service;
    if (m_states.size() > STATES_MAX)
        m_states.clear();
    State &state = m_states[route.name];
    std::vector<unsigned> weights;
    for (const RoutePart &part : route.parts)
        weights.push_back(part.weight);
    if (state.weights != weights) {
        state.weights = weights;
        state.credit.assign(weights.size(), 0);
        for (std::uint64_t i = 0; i < m_offset % OFFSET_STEPS; i++)
            step(route, state);
    }
    return route.parts[step(route, state)].service;
}

std::size_t SplitRotation::step(const Route &route, State &state)
{
    std::size_t best = route.parts.size();
    for (std::size_t i = 0; i < route.parts.size(); i++) {
        state.credit[i] += state.weights[i];
        if (state.weights[i] > 0
            && (best == route.parts.size() || state.credit[i] > state.credit[best]))
            best = i;
    }
    state.credit[best]
        -= std::accumulate(state.weights.begin(), state.weights.end(), std::int64_t{0});
    return best;
}

} // namespace cornelwell
