/** @file router.cpp Power of two choices with slow start, ejection and locality. */
#include "routing/router.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr double WEIGHT_MIN = 0.1;         ///< Share of a server that just became ready.
constexpr unsigned EJECTION_DOUBLINGS = 5; ///< Doublings of the ejection time.

bool listed(const std::vector<ServerId> &ids, const ServerId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

Router::Router(RoutingOptions options, std::uint64_t seed) : m_options(options), m_random(seed) {}

void Router::setTargets(std::vector<Target> targets)
{
    std::map<ServerId, State> next;
    for (Target &target : targets) {
        const auto known = m_targets.find(target.id);
        State state;
        if (known != m_targets.end() && known->second.target.incarnation == target.incarnation)
            state = known->second;
        const ServerId id = target.id;
        state.target = std::move(target);
        next[id] = std::move(state);
    }
    m_targets = std::move(next);
}

double Router::weightOf(const State &state, TimePoint now) const
{
    const std::int64_t age = (now - state.target.readySince).ms;
    if (m_options.slowStart.ms <= 0 || age >= m_options.slowStart.ms)
        return 1.0;
    const double share = static_cast<double>(std::max<std::int64_t>(age, 0))
                         / static_cast<double>(m_options.slowStart.ms);
    return std::max(WEIGHT_MIN, share);
}

double Router::loadOf(const State &state, TimePoint now) const
{
    const bool fresh = now - state.loadAt <= m_options.loadAge;
    const std::uint32_t told = fresh ? state.load.running + state.load.waiting : 0;
    // The report counts this daemon's own calls too; the greater of the two counts none twice.
    const std::uint32_t busy = std::max(told, state.underWay);
    const double slots = std::max<std::uint32_t>(state.target.slots, 1);
    return (busy + 1) / (slots * weightOf(state, now));
}

std::vector<Router::State *> Router::candidates(const std::vector<ServerId> &except, TimePoint now)
{
    std::vector<State *> healthy;
    std::vector<State *> doubtful;
    for (auto &item : m_targets) {
        if (listed(except, item.first))
            continue;
        State &state = item.second;
        const bool doubted = state.target.suspected || now < state.ejectedUntil;
        (doubted ? doubtful : healthy).push_back(&state);
    }
    // When all are doubted the evidence is more likely wrong than the whole service gone.
    return healthy.empty() ? doubtful : healthy;
}

std::vector<Router::State *> Router::preferLocal(const std::vector<State *> &all,
                                                 TimePoint now) const
{
    std::vector<State *> local;
    double load = 0;
    for (State *state : all) {
        if (!state->target.local)
            continue;
        local.push_back(state);
        load += loadOf(*state, now);
    }
    if (local.empty() || local.size() == all.size())
        return all;
    return load / static_cast<double>(local.size()) <= m_options.spillLoad ? local : all;
}

Router::State *Router::lesserOfTwo(const std::vector<State *> &states, TimePoint now)
{
    State *first = states[m_random.below(states.size())];
    if (states.size() == 1)
        return first;
    State *second = first;
    while (second == first)
        second = states[m_random.below(states.size())];
    return loadOf(*second, now) < loadOf(*first, now) ? second : first;
}

std::optional<Target> Router::choose(const std::vector<ServerId> &except, TimePoint now)
{
    const std::vector<State *> all = candidates(except, now);
    if (all.empty())
        return std::nullopt;
    State *chosen = lesserOfTwo(preferLocal(all, now), now);
    chosen->underWay++;
    return chosen->target;
}

void Router::eject(State &state, TimePoint now)
{
    const auto ejected = static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(),
                      [&](const auto &item) { return now < item.second.ejectedUntil; }));
    if ((ejected + 1) * 100 > m_targets.size() * m_options.ejectedPercentMax)
        return;
    const unsigned doublings = std::min(state.ejections, EJECTION_DOUBLINGS);
    const Duration span
        = std::min(m_options.ejectionBase * (1 << doublings), m_options.ejectionMax);
    state.ejectedUntil = now + m_random.jitter(span);
    state.ejections++;
    state.failures = 0;
}

void Router::finished(const ServerId &id, TargetOutcome outcome,
                      const std::optional<LoadReport> &load, TimePoint now)
{
    const auto at = m_targets.find(id);
    if (at == m_targets.end())
        return;
    State &state = at->second;
    if (state.underWay > 0)
        state.underWay--;
    if (load) {
        state.load = *load;
        state.loadAt = now;
    }
    if (outcome != TargetOutcome::Unreachable) {
        state.failures = 0;
        state.ejections = outcome == TargetOutcome::Answered ? 0 : state.ejections;
        return;
    }
    if (++state.failures >= m_options.failuresToEject)
        eject(state, now);
}

} // namespace cornelwell
