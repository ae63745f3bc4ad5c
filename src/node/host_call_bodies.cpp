/** @file host_call_bodies.cpp Calls whose large body is transferred before they are queued. */
#include "node/host_call_executor.h"

namespace cornelwell {

namespace {

HostReason reasonOf(InputVerdict verdict)
{
    switch (verdict) {
    case InputVerdict::TooLate:
        return HostReason::TooLate;
    case InputVerdict::Busier:
        return HostReason::Busier;
    default:
        return HostReason::Full;
    }
}

} // namespace

HostOutcome HostCallExecutor::notRunOutcome(HostReason reason, Duration retryAfter)
{
    HostOutcome outcome;
    outcome.state = RunState::NotRun;
    outcome.reason = reason;
    outcome.retryAfter = retryAfter;
    return outcome;
}

HostLoad HostCallExecutor::load() const
{
    HostLoad load = m_scheduler.load(m_loop.now());
    load.linkInBytesCommitted = m_bodies.scheduler().committedBytes();
    return load;
}

/** @return bytes of large bodies that arrived whole and wait for the server. */
std::uint64_t HostCallExecutor::waitingBodyBytes() const
{
    std::uint64_t bytes = 0;
    for (const auto &[id, call] : m_calls) {
        if (!call.running && call.call.request.body.size() >= BULK_BYTES_MIN)
            bytes += call.call.request.body.size();
    }
    return bytes;
}

/** Refuses the call, or accepts the transfer of its body. */
void HostCallExecutor::beginTransfer(const HostCall &call, const LinkCall &linkCall)
{
    const TimePoint now = m_loop.now();
    if (const auto refusal = m_scheduler.checkOffer(call, now)) {
        completeCall(call.id, notRunOutcome(refusal->reason, refusal->retryAfter));
        return;
    }
    InputTransfer request;
    request.id = call.id;
    request.bytes = linkCall.bodyBytesToFollow;
    request.rank = call.rank;
    request.due = m_scheduler.latestStart(call);
    request.softDue = m_scheduler.latestSoftStart(call);
    request.waitMax = call.queueWaitMax;
    request.acceptsLate = call.isRetry;
    request.otherDataCentre = linkCall.otherDataCentre;
    const std::uint64_t backlog = m_bodies.scheduler().committedBytes();
    const std::uint64_t held = waitingBodyBytes();
    const InputAdmission admission = m_bodies.begin(call, request, held);
    if (admission.verdict == InputVerdict::Accepted)
        return;
    const HostReason reason = reasonOf(admission.verdict);
    m_log.logRequest("transfer_refused", true, [&](LogFields &fields) {
        fields.add("request", linkCall.requestId);
        fields.add("reason", hostReasonName(reason));
        fields.add("bytes", request.bytes);
        fields.add("backlog", backlog);
        fields.add("held", held);
        fields.add("wait_ms", admission.wait.ms);
        fields.add("left_ms", (call.deadline - now).ms);
    });
    completeCall(call.id, notRunOutcome(reason, admission.wait));
}

void HostCallExecutor::addBodyPart(const CallOrigin &origin, const std::string &bytes)
{
    const auto known = m_byOrigin.find(origin);
    if (known != m_byOrigin.end())
        m_bodies.addPart(known->second, bytes);
}

void HostCallExecutor::bodyGranted(HostCallId id, std::uint64_t bytes)
{
    const auto found = m_calls.find(id);
    if (found != m_calls.end())
        m_listener.bodyGranted(CallOrigin(found->second.origin), bytes);
}

/** Submits the call under the number that it got when it was offered. */
void HostCallExecutor::bodyWhole(HostCall call, std::string body)
{
    const auto found = m_calls.find(call.id);
    if (found == m_calls.end())
        return;
    found->second.call.request.body = std::move(body);
    call.bodyTransferred = true;
    // Another server would need the body again, which costs more than the wait.
    call.queueWaitMax = Duration{-1};
    execute(m_scheduler.submit(std::move(call), m_loop.now()));
    startQueueTimer();
}

void HostCallExecutor::bodyBrokenOff(const HostCall &call, HostReason reason, std::uint64_t arrived)
{
    const auto found = m_calls.find(call.id);
    if (found == m_calls.end())
        return;
    logBrokenOff(found->second, reason, arrived);
    completeCall(call.id, notRunOutcome(reason, {0}));
}

void HostCallExecutor::logBrokenOff(const Call &call, HostReason reason, std::uint64_t arrived)
{
    m_log.logRequest("transfer_broken_off", true, [&](LogFields &fields) {
        fields.add("request", call.call.requestId);
        fields.add("from", call.origin.daemon.text());
        fields.add("reason", hostReasonName(reason));
        fields.add("bytes", call.call.bodyBytesToFollow);
        fields.add("arrived", arrived);
        fields.add("backlog", m_bodies.scheduler().committedBytes());
        fields.add("after_ms", (m_loop.now() - call.arrived).ms);
    });
}

/** Breaks off all transfers when the server takes no calls any more. */
void HostCallExecutor::breakOffTransfers()
{
    if (m_bodies.scheduler().empty())
        return;
    const HostState state = m_scheduler.state();
    if (state == HostState::Ready)
        return;
    m_bodies.breakOff(state == HostState::Draining ? HostReason::ServerDraining
                      : state == HostState::Down   ? HostReason::ConnectFailed
                                                   : HostReason::NoServer,
                      false);
}

} // namespace cornelwell
