/** @file node_settings.h Settings of a daemon. */
#pragma once

#include "fleet/fleet_type.h"
#include "node/decision_settings.h"
#include "retry/service_retry_budget.h"

#include <string>

namespace cornelwell {

/** Addresses that the daemon listens on. */
struct NodeListeners
{
    Endpoint calls;   ///< Requests of callers, and nested calls of the local server.
    Endpoint ready;   ///< Readiness checks of the platform.
    Endpoint reports; ///< Reports of the local server.
    Endpoint metrics; ///< Metrics in the Prometheus text format; port 0 for none.
};

/** How long a request with a revoked key may still run. */
struct RevocationSettings
{
    bool strict = false;                 ///< The bound holds also on a daemon that is cut off.
    Duration bound = milliseconds(5000); ///< Longest time from a revocation to its last request.

    friend bool operator==(const RevocationSettings &a, const RevocationSettings &b)
    {
        return a.strict == b.strict && a.bound == b.bound;
    }
};

/** Settings of one daemon. */
struct NodeSettings
{
    DaemonRecord self;    ///< Name, data centre, link address and service of the daemon.
    NodeListeners listen; ///< Addresses that the daemon listens on.
    Endpoint server;      ///< Address of the local server.
    Endpoint store;       ///< Address of the platform's store.
    ServiceRetryBudgetOptions retryBudget; ///< Retry budget of the whole fleet.
    std::uint64_t linkBytesPerSecond = 0;  ///< Rate of the VM's network link; 0 when unknown.
    bool pace
        = false; ///< The answers of the local server bound its calls after a start or recovery.
    DecisionSettings decisions;    ///< Mechanisms in use.
    RevocationSettings revocation; ///< Bound for revoked keys.
    bool rollouts = false;         ///< The daemon carries out roll-outs.
    /** Longest time from the acknowledgement of a change until the daemon has to follow it. */
    Duration changeBound = milliseconds(2000);
    Duration grace = seconds(6); ///< Longest time from SIGTERM to the exit of the process.
};

} // namespace cornelwell
