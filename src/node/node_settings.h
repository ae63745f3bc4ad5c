/** @file node_settings.h Settings of the daemon of one server's VM on its event loop. */
#pragma once

#include "fleet/fleet_type.h"
#include "retry/service_retry_budget.h"

#include <string>

namespace cornelwell {

/** Where the daemon listens. */
struct NodeListeners
{
    Endpoint calls;   ///< Callers, and the server beside it for calls of its own.
    Endpoint ready;   ///< The platform's question whether the daemon serves.
    Endpoint reports; ///< Reports of the server beside it.
    Endpoint metrics; ///< Metrics in the Prometheus text form; port 0 for none.
};

/** All settings. */
struct NodeSettings
{
    DaemonRecord self;                 ///< Name, data centre, link address, service.
    NodeListeners listen;              ///< Listeners.
    Endpoint server;                   ///< The server beside the daemon.
    Endpoint store;                    ///< The platform's store.
    ServiceRetryBudgetOptions repeats; ///< Budget of repeats, of the whole fleet.
    Duration grace = seconds(6);       ///< From SIGTERM to the end of patience.
};

} // namespace cornelwell
