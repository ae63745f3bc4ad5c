/** @file call_sender.cpp The caller's side of the call path. */
#include "proxy/call_sender.h"

#include "base/endpoint_func.h"
#include "proxy/call_func.h"

namespace cornelwell {

namespace {

constexpr Duration RETRY_SOON = {200}; ///< Advice when the cause is likely to pass soon.
constexpr Duration RELAY_GRACE
    = {20}; ///< The server's daemon has this much to tell that time ran out.
constexpr Duration CONNECT_MAX = {500}; ///< Longest wait for a connection to a daemon.

TargetOutcome targetOutcome(const CallResult &result)
{
    const ResultCode code = result.attempt.code;
    if (code == ResultCode::CallOverloaded || code == ResultCode::CallDeadline)
        return TargetOutcome::Overloaded;
    const bool unreachable
        = code == ResultCode::CallNoServer || code == ResultCode::CallServerFailed;
    return unreachable ? TargetOutcome::Unreachable : TargetOutcome::Answered;
}

} // namespace

CallSender::CallSender(SenderParts parts, std::size_t connectionsPerServer,
                       std::size_t bodyBytesMax)
    : m_parts(parts)
    , m_bodyBytesMax(bodyBytesMax)
    , m_client(parts.clock, connectionsPerServer, parts.cuts)
    , m_budget(RetryOptions())
{}

CallResult CallSender::send(const OutgoingCall &call)
{
    CallResult result = sendToServers(call);
    if (call.entry->entry.idempotent || result.attempt.state != RunState::NotRun)
        return result;
    return proveNotRun(call, std::move(result));
}

/**
 * A keyed request may be a repeat: that this try was refused says nothing about an earlier one.
 * Only the absence of a claim proves that the request was not run.
 */
CallResult CallSender::proveNotRun(const OutgoingCall &call, CallResult result)
{
    if (result.attempt.code == ResultCode::CallKeyReused)
        return result;
    const std::string key(call.request.headers.get(header::KEY));
    const auto read = m_parts.store.read(claimObject(call.entry->entry.service, key));
    if (!read && read.error().code == ResultCode::PlatformNotFound)
        return result;
    CallResult unknown = unknownOutcome(result.attempt.code, result.detail, false);
    unknown.retryAfter = result.retryAfter;
    if (!read)
        return unknown;
    const auto claim = decodeClaim(read.value().text);
    if (!claim || claim.value().key != key)
        return unknown;
    // The holder of the claim itself said so: it knows.
    if (claim.value().server == result.server)
        return result;
    unknown.attempt.code = ResultCode::CallOutcomeUnknown;
    unknown.claimedBy = formatEndpoint(claim.value().relay);
    return follow(call, unknown);
}

CallResult CallSender::sendToServers(const OutgoingCall &call)
{
    const Entry &entry = call.entry->entry;
    const std::shared_ptr<ServiceRouter> router = m_parts.view.router(entry.service);
    if (!router)
        return notRun(ResultCode::CallNoServer,
                      "no server of '" + entry.service.text() + "' is known", RETRY_SOON, false);
    m_budget.recordCall();
    std::vector<ServerId> tried = limitedServers(entry.name, m_parts.clock.now());
    unsigned attempts = 0;
    // Before the first answer: what is said when every server's part of the limit is known to be
    // used up.
    const ResultCode none = tried.empty() ? ResultCode::CallNoServer : ResultCode::CallLimitReached;
    CallResult result = notRun(none, {}, RETRY_SOON, false);
    while (true) {
        const TimePoint now = m_parts.clock.now();
        if (now >= call.context.deadline)
            return attempts == 0 ? notRun(ResultCode::CallDeadline, {}, RETRY_SOON, false) : result;
        const std::optional<Target> target = router->choose(tried, now);
        if (!target)
            return result;
        tried.push_back(target->id);
        attempts++;
        result = attempt(call, *target);
        router->finished(target->id, targetOutcome(result), result.load, m_parts.clock.now());
        if (!result.claimedBy.empty())
            return follow(call, result);
        if (result.attempt.code == ResultCode::CallLimitReached) {
            // Another server's part may have room; its refusal was cheap and proves that nothing
            // ran.
            learnLimit(entry.name, target->id, m_parts.clock.now() + result.retryAfter);
            continue;
        }
        if (!m_budget.tryAcquire(result.attempt, entry.idempotent, attempts))
            return result;
        m_parts.metrics.count("call_retries_total", "service=\"" + entry.service.text() + "\"");
        note(EventKind::CallRetried, call, result);
    }
}

std::vector<ServerId> CallSender::limitedServers(const EntryName &entry, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(m_limitedMutex);
    std::vector<ServerId> servers;
    for (auto at = m_limited.begin(); at != m_limited.end();) {
        if (at->second <= now) {
            at = m_limited.erase(at);
            continue;
        }
        if (at->first.first == entry)
            servers.push_back(at->first.second);
        ++at;
    }
    return servers;
}

void CallSender::learnLimit(const EntryName &entry, const ServerId &server, TimePoint until)
{
    const std::lock_guard<std::mutex> lock(m_limitedMutex);
    m_limited[{entry, server}] = until;
}

CallResult CallSender::attempt(const OutgoingCall &call, const Target &target)
{
    m_parts.metrics.count("call_attempts_total");
    if (target.id == m_parts.identity.server)
        return m_parts.receiver.run(call);
    CallResult result = overHttp(call, target.relay);
    result.server = target.id;
    if (result.attempt.code == ResultCode::CallNoServer && !result.load && m_refused)
        m_refused(target.id);
    return result;
}

CallResult CallSender::overHttp(const OutgoingCall &call, const Endpoint &relay)
{
    HttpBounds bounds;
    bounds.deadline = call.context.deadline + RELAY_GRACE;
    // A keyed request runs to its end even when its caller left, so that a repeat finds its answer.
    bounds.callerSocket = call.entry->entry.idempotent ? call.callerSocket : -1;
    bounds.bodyBytesMax = m_bodyBytesMax;
    bounds.connectMax = CONNECT_MAX;
    return parseRelayResponse(
        m_client.execute(relay, relayRequest(call, m_parts.clock.now()), bounds));
}

/** The key was claimed by another daemon: that one alone knows what became of the request. */
CallResult CallSender::follow(const OutgoingCall &call, const CallResult &claimed)
{
    const auto relay = parseEndpoint(claimed.claimedBy);
    if (!relay)
        return claimed;
    const bool mine = relay.value() == m_parts.identity.relay;
    CallResult result = mine ? m_parts.receiver.run(call) : overHttp(call, relay.value());
    // Not reached, or another life of the daemon: an earlier run cannot be ruled out.
    const bool reached
        = result.attempt.state != RunState::NotRun || result.load.has_value() || mine;
    if (!reached || !result.claimedBy.empty())
        return unknownOutcome(ResultCode::CallOutcomeUnknown,
                              "the daemon that claimed the key is gone", false);
    return result;
}

void CallSender::note(EventKind kind, const OutgoingCall &call, const CallResult &result)
{
    m_parts.timeline.record(kind, call.context.id, call.entry->entry.name.text(),
                            result.server.text() + " " + result.detail, result.attempt.code);
}

} // namespace cornelwell
