/** @file host_scheduler_transfers.cpp Calls whose body is transferred before they are submitted. */
#include "hosting/host_scheduler.h"

namespace cornelwell {

std::optional<HostDecision> HostScheduler::checkOffer(HostCall call, TimePoint now) const
{
    call.bulkBytes = expectedBulkBytes(call);
    HostCallId displaced = 0; // Decided again when the body is whole and the call is submitted.
    const HostReason reason = checkAdmission(call, now, displaced);
    if (reason == HostReason::None)
        return std::nullopt;
    return makeRefusal(call.id, reason, expectedDelay(call, bound(), now));
}

TimePoint HostScheduler::latestStart(const HostCall &call) const
{
    return call.deadline
           - Duration{
               static_cast<std::int64_t>(expectedProcessingMs(call.route) * PROCESSING_SHARE_MIN)};
}

TimePoint HostScheduler::latestSoftStart(const HostCall &call) const
{
    return call.softDeadline
           - Duration{static_cast<std::int64_t>(expectedProcessingMs(call.route))};
}

} // namespace cornelwell
