/** @file rollout_type.h Roll-outs of a service's software version: orders, states, evidence. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cornelwell {

/** Phase of a roll-out. */
enum class RolloutPhase : std::uint8_t
{
    None,       ///< The order has no status of its own yet.
    Active,     ///< The share of the target version is being raised.
    Completed,  ///< The target version serves all requests; final.
    RolledBack, ///< The target version was found bad; final.
    Count,      ///< Number of phases; not a phase.
};

/** @return the name of the phase, as in the status of the store's object. */
const char *rolloutPhaseName(RolloutPhase phase);
/** @return the phase of that name; None for an unknown name. */
RolloutPhase rolloutPhaseOf(const std::string &name);
/** @return true for a phase that is never left. */
constexpr bool isFinal(RolloutPhase phase)
{
    return phase == RolloutPhase::Completed || phase == RolloutPhase::RolledBack;
}

/** An operator's order with its status, as the store's object holds them. */
struct RolloutOrder
{
    std::string name;                        ///< Name of the object.
    std::uint64_t revision = 0;              ///< Revision of the object.
    ServiceName service;                     ///< Service whose traffic moves.
    std::string target;                      ///< Software version that it moves to.
    Duration ramp;                           ///< Time limit, from the order on.
    RolloutPhase phase = RolloutPhase::None; ///< None also when the status is of another order.
    unsigned stage = 0;                      ///< Stage in force.
    Duration elapsed;                        ///< Time since the order when the stage was written.
    std::vector<std::string> baseline;       ///< Versions that served before the order.
};

/** State of a roll-out, as daemons tell it to each other. */
struct RolloutState
{
    ServiceName service;               ///< Service.
    std::string target;                ///< Target version.
    std::vector<std::string> baseline; ///< Versions that served before the order.
    RolloutPhase phase = RolloutPhase::None;
    unsigned stage = 0;         ///< Stage in force.
    std::uint64_t era = 0;      ///< Era of the store that gave the revision.
    std::uint64_t revision = 0; ///< Revision of the store's object.
    Duration ramp;              ///< Time limit of the order.
    Duration elapsed;           ///< Time since the order.
    Duration confirmationAge;   ///< Time since an evaluator knew that no newer state exists.
    bool suspended = false;     ///< An evaluator found the target version bad; no verdict yet.
    bool hold = false;          ///< The sender is an evaluator that lets no stage rise.
};

constexpr std::size_t EVIDENCE_BUCKETS = 16; ///< Bucket i has times from 2^(i-1) to 2^i ms.

/** Cumulative counts of a server's answers on one route. */
struct RouteEvidence
{
    std::string route;                                   ///< Name of the route.
    std::uint64_t answers = 0;                           ///< Requests that the server ended.
    std::uint64_t failures = 0;                          ///< Those that it failed on its own.
    std::array<std::uint64_t, EVIDENCE_BUCKETS> times{}; ///< Processing times.
};

/** Cumulative counts of one server since it became warm. */
struct ServerEvidence
{
    std::string instance;              ///< Identity of the server's incarnation.
    std::string version;               ///< Its software version.
    std::vector<RouteEvidence> routes; ///< Counts by route.
};

/** Which servers of a service are eligible for a request; see RolloutRegistry. */
struct VersionRule
{
    /** Versions that requests of the baseline's part go to; empty: none. */
    std::vector<std::string> baseline;
    std::string target;          ///< Version of the order.
    bool hasTarget = false;      ///< An order is in force, so that target is set.
    bool targetAllowed = false;  ///< The target may serve when no baseline server is ready.
    unsigned sharePerMille = 0;  ///< Share of the requests that go to the target.
    std::set<ServerId> canaries; ///< Daemons of the target servers that get the target's share.
};

} // namespace cornelwell
