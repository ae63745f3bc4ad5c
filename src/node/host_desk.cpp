/** @file host_desk.cpp Hand-over to the server, crashes, and outcomes kept for senders. */
#include "node/host_desk.h"

#include "exchange/message_func.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr Duration KEEP_OUTCOME{5000}; ///< Outcomes are kept for senders this long.
constexpr std::size_t KEEP_MAX = 4096; ///< Outcomes kept.
constexpr double SILENT_WORKS = 2.5;   ///< Times the usual work after which silence is looked into,
constexpr Duration SILENT_MIN{400};    ///< at least this,
constexpr Duration SILENT_MAX{1200};   ///< and at most this.
constexpr Duration PROBE_PAUSE{1000};  ///< Between two looks.
constexpr Duration SUSPECT_FOR{400};   ///< Calls broken within this before a crash are suspects.

HostOutcome notRunOutcome(HostReason reason, Duration retryAfter)
{
    HostOutcome outcome;
    outcome.state = RunState::NotRun;
    outcome.reason = reason;
    outcome.retryAfter = retryAfter;
    return outcome;
}

} // namespace

HostDesk::HostDesk(EventLoop &loop, const CallFields &fields, HostDeskListener &listener,
                   DecisionLog &log)
    : m_loop(loop)
    , m_fields(fields)
    , m_listener(listener)
    , m_log(log)
    , m_gate(HostSchedulerOptions())
    , m_pool(loop, fields, [this](HostCallId id, const ServerResult &result) { ended(id, result); })
{}

void HostDesk::report(const ServerReport &report)
{
    const HostLoad before = load();
    const HostDecisions decisions = m_gate.handleReport(report, m_loop.now());
    const HostLoad after = load();
    if (before.instance != after.instance)
        m_pool.closeIdle();
    if (before.instance != after.instance || before.state != after.state) {
        m_log.logStateChange("server", [&](LogFields &fields) {
            fields.add("instance", after.instance);
            fields.add("state", hostStateName(after.state));
            fields.add("before", hostStateName(before.state));
            fields.add("sequence", report.sequence);
            fields.add("slots", std::uint64_t{report.slots});
        });
        m_listener.hostChanged();
    }
    carryOut(decisions);
}

void HostDesk::leave(const ServerReport &report)
{
    const HostState before = load().state;
    const HostDecisions decisions
        = m_gate.handleDeregistration(report.instance, report.startTimeMs, m_loop.now());
    if (load().state != before) {
        m_log.logStateChange("server", [&](LogFields &fields) {
            fields.add("instance", report.instance);
            fields.add("state", "gone");
            fields.add("before", hostStateName(before));
        });
        m_listener.hostChanged();
    }
    carryOut(decisions);
}

void HostDesk::beginLeaving()
{
    carryOut(m_gate.beginShutdown(m_loop.now()));
}

void HostDesk::offer(const CallOrigin &origin, LinkCall call)
{
    const TimePoint now = m_loop.now();
    const HostCallId id = ++m_lastCall;
    HostCall hosted;
    hosted.id = id;
    hosted.route = call.route;
    hosted.rank = call.rank;
    hosted.deadline = now + call.deadlineLeft;
    hosted.softDeadline = now + call.softDeadlineLeft;
    hosted.instance = call.instance;
    hosted.isRetry = call.isRetry;
    hosted.queueWaitMax = call.queueWaitMax;
    m_byOrigin[origin] = id;
    m_calls.emplace(id, Call{origin, std::move(call), now, hosted.deadline, false, false});
    carryOut(m_gate.submit(hosted, now));
}

void HostDesk::carryOut(const HostDecisions &decisions)
{
    for (const HostDecision &decision : decisions) {
        if (decision.verdict == HostVerdict::Start)
            start(decision.id);
        else
            finish(decision.id, notRunOutcome(decision.reason, decision.retryAfter));
    }
}

HttpRequest HostDesk::serverRequest(const Call &call) const
{
    HttpRequest request = call.call.request;
    const Duration left = call.deadline - m_loop.now();
    request.headers.add(m_fields.deadline, std::to_string(std::max<std::int64_t>(1, left.ms)));
    request.headers.add(m_fields.instance, m_gate.instance());
    return request;
}

void HostDesk::start(HostCallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    found->second.running = true;
    m_pool.send(m_gate.address(), {id, serverRequest(found->second), found->second.call.requestId});
}

void HostDesk::ended(HostCallId id, const ServerResult &result)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const TimePoint now = m_loop.now();
    HostOutcome outcome = result.outcome;
    outcome.processingTime = result.processingTime;
    if (result.finish == HostFinish::Failed)
        outcome.nestedFailure = m_innerFailures.takeMatch(now);
    const bool broken = outcome.reason == HostReason::Broken;
    if (broken)
        m_suspects.emplace_back(
            now, std::make_pair(found->second.call.fingerprint, found->second.call.route));
    HostDecisions decisions = m_gate.complete(id, result.finish, result.processingTime, now);
    finish(id, outcome);
    carryOut(decisions);
    if (result.connectionRefused) {
        serverDown();
    } else if (result.instanceChanged) {
        carryOut(m_gate.handleInstanceChanged(now));
        m_pool.closeIdle();
        m_listener.hostChanged();
    } else if (broken) {
        probeServer();
    }
}

void HostDesk::probeServer()
{
    m_pool.probe(m_gate.address(), [this](bool listens) {
        if (listens)
            return;
        serverDown();
        // What it had is lost with it; whoever may be repeated goes on elsewhere now.
        m_pool.failAll();
    });
}

/** A server that went away without a word is seen by its silence, and proved by a connection. */
void HostDesk::watchSilence()
{
    if (m_gate.running() == 0 || load().state != HostState::Ready)
        return;
    const TimePoint now = m_loop.now();
    const Duration usual{static_cast<std::int64_t>(load().workMs * SILENT_WORKS)};
    const Duration bound = usual < SILENT_MIN   ? SILENT_MIN
                           : usual < SILENT_MAX ? usual
                                                : SILENT_MAX;
    if (now - m_pool.lastActivity() < bound || now - m_gate.oldestStart() < bound
        || now < m_nextProbe)
        return;
    m_nextProbe = now + PROBE_PAUSE;
    probeServer();
}

void HostDesk::serverDown()
{
    const TimePoint now = m_loop.now();
    const HostState before = load().state;
    const HostDecisions decisions = m_gate.handleServerDown(now);
    m_pool.closeIdle();
    if (before == HostState::Ready) {
        m_log.logStateChange("server", [&](LogFields &fields) {
            fields.add("instance", m_gate.instance());
            fields.add("state", hostStateName(HostState::Down));
            fields.add("before", hostStateName(before));
            fields.add("suspects", std::uint64_t{m_suspects.size()});
        });
        for (const auto &[at, suspect] : m_suspects) {
            if (now - at <= SUSPECT_FOR)
                m_listener.requestCrashed(suspect.first, suspect.second);
        }
        m_suspects.clear();
        m_listener.hostChanged();
    }
    carryOut(decisions);
}

void HostDesk::finish(HostCallId id, const HostOutcome &outcome)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call call = std::move(found->second);
    m_calls.erase(found);
    m_byOrigin.erase(call.origin);
    const TimePoint now = m_loop.now();
    m_log.logRequest("hosted", outcome.state != RunState::Answered, [&](LogFields &fields) {
        fields.add("request", call.call.requestId);
        fields.add("from", call.origin.daemon.text());
        fields.add("offer", call.origin.offer);
        fields.add("route", call.call.route);
        fields.add("state", runStateName(outcome.state));
        fields.add("reason", hostReasonName(outcome.reason));
        fields.add("status", std::int64_t{outcome.response.status});
        fields.add("deep", std::int64_t{outcome.nestedFailure ? 1 : 0});
        fields.add("held_ms", (now - call.arrived).ms);
        fields.add("left_ms", (call.deadline - now).ms);
        fields.add("running", std::uint64_t{m_gate.running()});
        fields.add("waiting", std::uint64_t{m_gate.queued()});
    });
    if (!call.call.idempotent) {
        m_kept[call.origin] = {outcome, now + KEEP_OUTCOME};
        m_keptOrder.emplace_back(now + KEEP_OUTCOME, call.origin);
    }
    if (!call.cancelled)
        m_listener.callEnded(call.origin, outcome);
}

void HostDesk::cancel(const CallOrigin &origin, bool onlyIfQueued)
{
    const auto known = m_byOrigin.find(origin);
    if (known == m_byOrigin.end())
        return;
    const HostCallId id = known->second;
    Call &call = m_calls.at(id);
    if (call.running && onlyIfQueued)
        return;
    call.cancelled = true;
    if (!call.running) {
        m_gate.cancelQueued(id);
        finish(id, notRunOutcome(HostReason::Cancelled, {0}));
        return;
    }
    // What may not be repeated runs to its end: a half-done one helps nobody.
    if (!call.call.idempotent)
        return;
    m_pool.abort(id);
    const TimePoint now = m_loop.now();
    const HostDecisions decisions
        = m_gate.complete(id, HostFinish::Cancelled, now - call.arrived, now);
    HostOutcome outcome;
    outcome.state = RunState::Unknown;
    outcome.reason = HostReason::Cancelled;
    outcome.sentToServer = true;
    finish(id, outcome);
    carryOut(decisions);
}

void HostDesk::senderLost(const ServerId &daemon, std::uint64_t incarnation)
{
    std::vector<CallOrigin> lost;
    for (const auto &[origin, id] : m_byOrigin) {
        const Call &call = m_calls.at(id);
        if (origin.daemon == daemon && origin.incarnation == incarnation
            && (call.call.idempotent || !call.running))
            lost.push_back(origin);
    }
    for (const CallOrigin &origin : lost)
        cancel(origin);
}

std::optional<HostOutcome> HostDesk::ask(const CallOrigin &origin)
{
    if (m_byOrigin.count(origin) != 0)
        return std::nullopt;
    const auto kept = m_kept.find(origin);
    if (kept != m_kept.end())
        return kept->second.outcome;
    return notRunOutcome(HostReason::Forgotten, {0});
}

void HostDesk::tick()
{
    const TimePoint now = m_loop.now();
    carryOut(m_gate.tick(now));
    watchSilence();
    while (!m_keptOrder.empty()
           && (m_keptOrder.front().first <= now || m_keptOrder.size() > KEEP_MAX)) {
        m_kept.erase(m_keptOrder.front().second);
        m_keptOrder.pop_front();
    }
    while (!m_suspects.empty() && now - m_suspects.front().first > SUSPECT_FOR)
        m_suspects.pop_front();
}

} // namespace cornelwell
