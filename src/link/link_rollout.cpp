/** @file link_rollout.cpp Encodes roll-outs and evidence as arrays. */
#include "link/link_rollout_internal.h"

#include <algorithm>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr std::size_t ROLLOUTS_AT = 14; ///< Index in the array of a daemon's state.
constexpr std::size_t EVIDENCE_AT = 15; ///< Index of the evidence.

Json toJson(const RolloutState &state)
{
    return {state.service.text(), state.target,
            state.baseline,       static_cast<unsigned>(state.phase),
            state.stage,          state.era,
            state.revision,       state.ramp.ms,
            state.elapsed.ms,     state.confirmationAge.ms,
            state.suspended,      state.hold};
}

RolloutState rolloutFromJson(const Json &list)
{
    RolloutState state;
    state.service = ServiceName(list.at(0).get<std::string>());
    state.target = list.at(1).get<std::string>();
    state.baseline = list.at(2).get<std::vector<std::string>>();
    state.phase = static_cast<RolloutPhase>(list.at(3).get<unsigned>()
                                            % static_cast<unsigned>(RolloutPhase::Count));
    state.stage = list.at(4).get<unsigned>();
    state.era = list.at(5).get<std::uint64_t>();
    state.revision = list.at(6).get<std::uint64_t>();
    state.ramp = {list.at(7).get<std::int64_t>()};
    state.elapsed = {list.at(8).get<std::int64_t>()};
    // A negative age would count as a confirmation from the future.
    state.confirmationAge = {std::max<std::int64_t>(0, list.at(9).get<std::int64_t>())};
    state.suspended = list.at(10).get<bool>();
    state.hold = list.at(11).get<bool>();
    return state;
}

/** Leaves out the empty buckets after the last used one. */
Json toJson(const RouteEvidence &route)
{
    Json times = Json::array();
    std::size_t used = EVIDENCE_BUCKETS;
    while (used > 0 && route.times[used - 1] == 0)
        used--;
    for (std::size_t i = 0; i < used; i++)
        times.push_back(route.times[i]);
    return {route.route, route.answers, route.failures, std::move(times)};
}

RouteEvidence routeFromJson(const Json &list)
{
    RouteEvidence route;
    route.route = list.at(0).get<std::string>();
    route.answers = list.at(1).get<std::uint64_t>();
    route.failures = list.at(2).get<std::uint64_t>();
    const Json &times = list.at(3);
    for (std::size_t i = 0; i < times.size() && i < EVIDENCE_BUCKETS; i++)
        route.times[i] = times[i].get<std::uint64_t>();
    return route;
}

} // namespace

void appendRollouts(Json &list, const std::vector<RolloutState> &rollouts,
                    const std::optional<ServerEvidence> &evidence)
{
    if (rollouts.empty() && !evidence)
        return;
    Json states = Json::array();
    for (const RolloutState &state : rollouts)
        states.push_back(toJson(state));
    list.push_back(std::move(states));
    if (!evidence)
        return;
    Json routes = Json::array();
    for (const RouteEvidence &route : evidence->routes)
        routes.push_back(toJson(route));
    Json counts = Json::array();
    counts.push_back(evidence->instance);
    counts.push_back(evidence->version);
    counts.push_back(std::move(routes));
    list.push_back(std::move(counts));
}

void readRollouts(const Json &list, std::vector<RolloutState> &rollouts,
                  std::optional<ServerEvidence> &evidence)
{
    if (list.size() <= ROLLOUTS_AT)
        return;
    for (const Json &state : list.at(ROLLOUTS_AT))
        rollouts.push_back(rolloutFromJson(state));
    if (list.size() <= EVIDENCE_AT)
        return;
    const Json &counts = list.at(EVIDENCE_AT);
    evidence.emplace();
    evidence->instance = counts.at(0).get<std::string>();
    evidence->version = counts.at(1).get<std::string>();
    for (const Json &route : counts.at(2))
        evidence->routes.push_back(routeFromJson(route));
}

} // namespace cornelwell
