/** @file router.h Choice of the server for a call: the decision for one service. */
#pragma once

#include "base/random.h"
#include "routing/routing_type.h"

#include <map>
#include <optional>
#include <vector>

namespace cornelwell {

/**
 * Chooses the lesser loaded of two random servers. Load is what this daemon has under way plus what
 * answers told lately. The own data centre comes first while it has room. Not safe for threads.
 */
class Router
{
public:
    /**
     * @param options Knobs.
     * @param seed Of the choices.
     */
    Router(RoutingOptions options, std::uint64_t seed);

    /** Replaces the servers; what is known of those that stay is kept. */
    void setTargets(std::vector<Target> targets);

    /**
     * Chooses a server and counts a call under way to it; ends with finished.
     * @param except Servers already tried.
     * @param now Time.
     * @return the server, or nothing when none is left.
     */
    std::optional<Target> choose(const std::vector<ServerId> &except, TimePoint now);

    /** A call to a server ended. */
    void finished(const ServerId &id, TargetOutcome outcome, const std::optional<LoadReport> &load,
                  TimePoint now);

private:
    /** What this daemon knows of a server beside its announcement. */
    struct State
    {
        Target target;
        std::uint32_t underWay = 0;
        LoadReport load;
        TimePoint loadAt{INT64_MIN / 2};
        unsigned failures = 0;
        unsigned ejections = 0;
        TimePoint ejectedUntil{0};
    };

    double loadOf(const State &state, TimePoint now) const;
    double weightOf(const State &state, TimePoint now) const;
    void eject(State &state, TimePoint now);
    std::vector<State *> candidates(const std::vector<ServerId> &except, TimePoint now);
    std::vector<State *> preferLocal(const std::vector<State *> &all, TimePoint now) const;
    State *lesserOfTwo(const std::vector<State *> &states, TimePoint now);

    const RoutingOptions m_options;
    Random m_random;
    std::map<ServerId, State> m_targets;
};

} // namespace cornelwell
