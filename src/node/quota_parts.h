/** @file quota_parts.h The quota classes of a daemon and what belongs to them. */
#pragma once

#include "dispatch/dispatch_type.h"
#include "fleet/fleet_type.h"
#include "loop/event_loop.h"
#include "quota/quota_client.h"
#include "quota/quota_coordinator.h"

#include <optional>
#include <unordered_map>

namespace cornelwell {

/** State of the quotas of one daemon. */
struct QuotaParts
{
    QuotaParts(const DaemonRecord &self, TimePoint now)
        : fleet(self.name)
        , client(fleet, QuotaOptions())
        , coordinator(fleet, self.dataCentre, QuotaOptions(), now)
    {}

    QuotaFleet fleet;
    QuotaClient client;
    QuotaCoordinator coordinator;
    bool active = false;      ///< The version in force has tenants with a quota.
    bool fleetListed = false; ///< The store has listed all daemons since the start.
    TimePoint fleetChangedAt{0};
    std::unordered_map<PendingRequestId, RequestAttributes> waiting; ///< Requests without a token.
    TimerId clientTimer = 0; ///< Ends waits; set while there are any.
    bool coordinatorTimer = false;
    std::optional<Duration> suspended; ///< Time that the monotonic clock has not counted so far.
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
};

} // namespace cornelwell
