/** @file host_call_executor.cpp Calls on the local server, detection of crashes, kept outcomes. */
#include "node/host_call_executor.h"

#include "base/result_code_func.h"
#include "exchange/message_func.h"

#include <algorithm>

namespace cornelwell {

namespace {

/** How long an outcome is kept for its sender, from the later of its end and its deadline. */
constexpr Duration OUTCOME_LIFETIME{5000};
constexpr std::size_t MAX_KEPT_OUTCOMES = 4096; ///< The oldest outcome is removed above this.
/** A queue is checked this often, so that its refusals reach the senders before their deadlines. */
constexpr Duration QUEUE_CHECK_INTERVAL{40};
/** A call that the server has not answered this long after its deadline is ended. */
constexpr Duration OVERDUE_TIME{1500};
/** The server is probed when it shows no activity for this multiple of its expected work time. */
constexpr double UNRESPONSIVE_WORK_FACTOR = 2.5;
constexpr Duration UNRESPONSIVE_TIME_MIN{400};  ///< Shortest such time.
constexpr Duration UNRESPONSIVE_TIME_MAX{1200}; ///< Longest such time.
constexpr Duration PROBE_INTERVAL{1000};        ///< Shortest time between two such probes.
/** Requests that broke off within this time before a crash are suspected of it. */
constexpr Duration CRASH_SUSPECT_TIME{400};

InputSchedulerOptions inputOptions(const OutputScheduler &link)
{
    InputSchedulerOptions options;
    options.bytesPerSecond = link.bytesPerSecond();
    return options;
}

HostOutcome mayHaveRunOutcome(HostReason reason)
{
    HostOutcome outcome;
    outcome.state = RunState::Unknown;
    outcome.reason = reason;
    outcome.sentToServer = true;
    return outcome;
}

} // namespace

HostCallExecutor::HostCallExecutor(EventLoop &loop, const CallFields &fields,
                                   HostCallListener &listener, DecisionLog &log,
                                   const OutputScheduler &link, HostSchedulerOptions options)
    : m_loop(loop)
    , m_fields(fields)
    , m_listener(listener)
    , m_log(log)
    , m_scheduler(options, &link)
    , m_bodies(loop, inputOptions(link), *this)
    , m_pool(loop, fields,
             [this](HostCallId id, const ServerResult &result) { handleResult(id, result); })
{}

HostCallExecutor::~HostCallExecutor()
{
    m_loop.cancel(m_queueTimer);
}

void HostCallExecutor::handleReport(const ServerReport &report)
{
    const HostLoad before = load();
    const HostDecisions decisions = m_scheduler.handleReport(report, m_loop.now());
    const HostLoad after = load();
    m_listener.reportHandled(report, m_scheduler.reportVerdict());
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
        m_listener.serverStateChanged();
    }
    logPaceChange();
    execute(decisions);
}

void HostCallExecutor::handleDeregistration(const ServerReport &report)
{
    const HostState before = load().state;
    const HostDecisions decisions
        = m_scheduler.handleDeregistration(report.instance, report.startTimeMs, m_loop.now());
    announceLeaving(before);
    execute(decisions);
}

void HostCallExecutor::handleRestrictions(const ServerId &peer,
                                          const ServerRestrictions &restrictions)
{
    const HostState before = load().state;
    if (!m_scheduler.isNews(restrictions, m_loop.now()))
        return;
    m_log.logStateChange("server_restrictions", [&](LogFields &fields) {
        fields.add("peer", peer.text());
        fields.add("instance", restrictions.instance);
        fields.add("leaving", std::int64_t{restrictions.leaving ? 1 : 0});
        fields.add("limit_per_s", restrictions.requestsPerSecond);
    });
    const HostDecisions decisions = m_scheduler.handleRestrictions(restrictions, m_loop.now());
    announceLeaving(before);
    execute(decisions);
}

/** Logs when the bound of the calls at the server is narrowed below its slots, or is open again. */
void HostCallExecutor::logPaceChange()
{
    const bool narrowed = m_scheduler.bound() < m_scheduler.slots();
    if (narrowed == m_narrowed)
        return;
    m_narrowed = narrowed;
    m_log.logStateChange("pace", [&](LogFields &fields) {
        const ConcurrencyController &pace = m_scheduler.pace();
        fields.add("instance", m_scheduler.instance());
        fields.add("state", narrowed ? "narrowed" : "opened");
        fields.add("reason", paceReasonName(pace.reason()));
        fields.add("bound", std::uint64_t{m_scheduler.bound()});
        fields.add("slots", std::uint64_t{m_scheduler.slots()});
        fields.add("slowness", pace.slowness());
        fields.add("running", std::uint64_t{m_scheduler.running()});
        fields.add("waiting", std::uint64_t{m_scheduler.queued()});
    });
}

/** Logs that the server leaves, and tells the peers, unless its state is still @p before. */
void HostCallExecutor::announceLeaving(HostState before)
{
    if (load().state == before)
        return;
    m_log.logStateChange("server", [&](LogFields &fields) {
        fields.add("instance", m_scheduler.instance());
        fields.add("state", "gone");
        fields.add("before", hostStateName(before));
    });
    m_listener.serverStateChanged();
}

void HostCallExecutor::beginShutdown()
{
    execute(m_scheduler.beginShutdown(m_loop.now()));
    m_bodies.breakOff(HostReason::DaemonLeaving, true);
}

void HostCallExecutor::offer(const CallOrigin &origin, LinkCall call)
{
    const TimePoint now = m_loop.now();
    const HostCallId id = ++m_lastCallId;
    HostCall hosted;
    hosted.id = id;
    hosted.route = call.route;
    hosted.rank = call.rank;
    hosted.deadline = now + call.deadlineLeft;
    hosted.softDeadline = now + call.softDeadlineLeft;
    hosted.instance = call.instance;
    hosted.isRetry = call.isRetry;
    hosted.overLink = call.overLink;
    hosted.queueWaitMax = call.queueWaitMax;
    hosted.tenant = call.tenant;
    m_byOrigin[origin] = id;
    const Call &added
        = m_calls
              .emplace(id, Call{origin, std::move(call), now, hosted.deadline, false, {0}, false})
              .first->second;
    if (added.call.bodyBytesToFollow > 0) {
        beginTransfer(hosted, added.call);
        return;
    }
    execute(m_scheduler.submit(hosted, now));
    startQueueTimer();
}

/** Checks the queue until it is empty, and as soon as the server's limit admits a call. */
void HostCallExecutor::startQueueTimer()
{
    if (m_scheduler.queued() == 0)
        return;
    const TimePoint now = m_loop.now();
    const Duration limitDelay = m_scheduler.nextStartDelay(now);
    const Duration delay
        = limitDelay.ms > 0 ? std::min(limitDelay, QUEUE_CHECK_INTERVAL) : QUEUE_CHECK_INTERVAL;
    if (m_queueTimer != 0 && m_queueTimerAt <= now + delay)
        return;
    m_loop.cancel(m_queueTimer);
    m_queueTimerAt = now + delay;
    m_queueTimer = m_loop.after(delay, [this] {
        m_queueTimer = 0;
        execute(m_scheduler.tick(m_loop.now()));
        startQueueTimer();
    });
}

/** Ends calls that their server neither answers nor ends, so that they do not hold slots and
 * connections for good. Whether they ran is unknown. */
void HostCallExecutor::endOverdueCalls()
{
    const TimePoint now = m_loop.now();
    std::vector<HostCallId> overdue;
    for (const auto &[id, call] : m_calls) {
        if (call.running && now - call.deadline > OVERDUE_TIME)
            overdue.push_back(id);
    }
    for (const HostCallId id : overdue) {
        const Call &call = m_calls.at(id);
        m_listener.requestMeasured(call.call.route, HostFinish::Broken, now - call.started, false);
        m_pool.abort(id);
        const HostDecisions decisions
            = m_scheduler.complete(id, HostFinish::Broken, now - m_calls.at(id).arrived, now);
        completeCall(id, mayHaveRunOutcome(HostReason::Broken));
        execute(decisions);
    }
}

void HostCallExecutor::execute(const HostDecisions &decisions)
{
    for (const HostDecision &decision : decisions) {
        if (decision.verdict == HostVerdict::Start)
            start(decision.id);
        else
            completeCall(decision.id, notRunOutcome(decision.reason, decision.retryAfter));
    }
    breakOffTransfers();
}

/** A call is sent to the server at most once, so its request is not copied. */
HttpRequest HostCallExecutor::takeServerRequest(Call &call) const
{
    HttpRequest request = std::move(call.call.request);
    const Duration left = call.deadline - m_loop.now();
    request.headers.add(m_fields.deadline, std::to_string(std::max<std::int64_t>(1, left.ms)));
    request.headers.add(m_fields.instance, m_scheduler.instance());
    return request;
}

void HostCallExecutor::start(HostCallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    found->second.running = true;
    found->second.started = m_loop.now();
    m_pool.send(m_scheduler.address(),
                {id, takeServerRequest(found->second), found->second.call.requestId});
}

void HostCallExecutor::handleResult(HostCallId id, const ServerResult &result)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const TimePoint now = m_loop.now();
    HostOutcome outcome = result.outcome;
    outcome.processingTime = result.processingTime;
    if (result.finish == HostFinish::Failed)
        outcome.nestedFailure = m_nestedFailures.takeMatch(now);
    const bool broken = outcome.reason == HostReason::Broken;
    if (broken)
        m_crashSuspects.emplace_back(
            now, std::make_pair(found->second.call.fingerprint, found->second.call.route));
    if (outcome.sentToServer) {
        m_listener.requestEnded(found->second.call.rank);
        m_listener.requestMeasured(found->second.call.route, result.finish, result.processingTime,
                                   outcome.nestedFailure);
    }
    if (outcome.advisory)
        handleAdvisory(id, *outcome.advisory);
    const bool disproved = result.instanceChanged && m_scheduler.isAtRegisteredServer(id);
    HostDecisions decisions = m_scheduler.complete(id, result.finish, result.processingTime, now,
                                                   outcome.response.body.size());
    completeCall(id, outcome);
    execute(decisions);
    if (result.connectionRefused) {
        handleServerDown();
    } else if (disproved) {
        execute(m_scheduler.handleInstanceChanged(now));
        m_pool.closeIdle();
        m_listener.serverStateChanged();
    } else if (broken) {
        probeServer();
    }
}

void HostCallExecutor::handleAdvisory(HostCallId id, const Result<ServerAdvisory> &advisory)
{
    if (!advisory) {
        m_log.logStateChange("server_advisory_refused", [&](LogFields &fields) {
            fields.add("code", std::int64_t{resultCodeNumber(advisory.error().code)});
            fields.add("detail", advisory.error().detail);
            fields.add("value", advisory.error().where);
            fields.add("request", m_calls.at(id).call.requestId);
        });
        return;
    }
    const ServerAdvisory before = m_scheduler.advisory();
    const HostState stateBefore = load().state;
    const HostDecisions decisions = m_scheduler.handleAdvisory(id, advisory.value(), m_loop.now());
    const ServerAdvisory after = m_scheduler.advisory();
    if (before.requestsPerSecond != after.requestsPerSecond || before.leaving != after.leaving) {
        m_log.logStateChange("server_advisory", [&](LogFields &fields) {
            fields.add("instance", m_scheduler.instance());
            fields.add("limit_per_s", after.requestsPerSecond.value_or(0));
            fields.add("limit_before", before.requestsPerSecond.value_or(0));
            fields.add("leaving", std::int64_t{after.leaving ? 1 : 0});
            fields.add("request", m_calls.at(id).call.requestId);
        });
    }
    announceLeaving(stateBefore);
    execute(decisions);
}

void HostCallExecutor::probeServer()
{
    m_pool.probe(m_scheduler.address(), [this](bool listens) {
        if (listens)
            return;
        handleServerDown();
        // The requests at the server are lost; idempotent ones can be retried elsewhere now.
        m_pool.failAll();
    });
}

/** A server that stopped without closing its connections is detected by its inactivity and
 * confirmed by a probe. */
void HostCallExecutor::checkUnresponsiveServer()
{
    if (m_scheduler.running() == 0 || load().state != HostState::Ready)
        return;
    const TimePoint now = m_loop.now();
    const Duration expected{static_cast<std::int64_t>(load().workMs * UNRESPONSIVE_WORK_FACTOR)};
    const Duration maxInactivity = expected < UNRESPONSIVE_TIME_MIN   ? UNRESPONSIVE_TIME_MIN
                                   : expected < UNRESPONSIVE_TIME_MAX ? expected
                                                                      : UNRESPONSIVE_TIME_MAX;
    if (now - m_pool.lastActivity() < maxInactivity
        || now - m_scheduler.oldestStart() < maxInactivity || now < m_nextProbeAt)
        return;
    m_nextProbeAt = now + PROBE_INTERVAL;
    probeServer();
}

void HostCallExecutor::handleServerDown()
{
    const TimePoint now = m_loop.now();
    const HostState before = load().state;
    const HostDecisions decisions = m_scheduler.handleServerDown(now);
    m_pool.closeIdle();
    if (before == HostState::Ready) {
        m_log.logStateChange("server", [&](LogFields &fields) {
            fields.add("instance", m_scheduler.instance());
            fields.add("state", hostStateName(HostState::Down));
            fields.add("before", hostStateName(before));
            fields.add("suspects", std::uint64_t{m_crashSuspects.size()});
        });
        for (const auto &[at, suspect] : m_crashSuspects) {
            if (now - at <= CRASH_SUSPECT_TIME)
                m_listener.requestSuspectedOfCrash(suspect.first, suspect.second);
        }
        m_crashSuspects.clear();
        m_listener.serverStateChanged();
    }
    execute(decisions);
}

void HostCallExecutor::completeCall(HostCallId id, const HostOutcome &outcome)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call call = std::move(found->second);
    m_calls.erase(found);
    logPaceChange();
    m_byOrigin.erase(call.origin);
    const TimePoint now = m_loop.now();
    m_log.logRequest("hosted", outcome.state != RunState::Answered, [&](LogFields &fields) {
        const HostLoad load = m_scheduler.load(now);
        fields.add("request", call.call.requestId);
        fields.add("from", call.origin.daemon.text());
        fields.add("offer", call.origin.offer);
        fields.add("route", call.call.route);
        fields.add("state", runStateName(outcome.state));
        fields.add("reason", hostReasonName(outcome.reason));
        fields.add("status", std::int64_t{outcome.response.status});
        fields.add("deep", std::int64_t{outcome.nestedFailure ? 1 : 0});
        fields.add("held_ms", (now - call.arrived).ms);
        fields.add("at_server_ms", call.running ? (now - call.started).ms : 0);
        fields.add("left_ms", (call.deadline - now).ms);
        fields.add("running", std::uint64_t{m_scheduler.running()});
        fields.add("waiting", std::uint64_t{m_scheduler.queued()});
        fields.add("link_bytes", load.linkBytesCommitted);
        if (load.requestsPerSecond > 0)
            fields.add("limit_per_s", load.requestsPerSecond);
    });
    if (!call.call.idempotent)
        keepOutcome(call, outcome);
    if (!call.cancelled)
        m_listener.callCompleted(call.origin, outcome);
}

void HostCallExecutor::cancel(const CallOrigin &origin, bool onlyIfQueued)
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
        m_scheduler.cancelQueued(id);
        if (const auto arrived = m_bodies.drop(id))
            logBrokenOff(call, HostReason::Cancelled, *arrived);
        completeCall(id, notRunOutcome(HostReason::Cancelled, {0}));
        return;
    }
    // A call that is not idempotent runs to its end: an abort could leave its effects incomplete.
    if (!call.call.idempotent)
        return;
    m_pool.abort(id);
    const TimePoint now = m_loop.now();
    m_listener.requestMeasured(call.call.route, HostFinish::Cancelled, now - call.started, false);
    const HostDecisions decisions
        = m_scheduler.complete(id, HostFinish::Cancelled, now - call.arrived, now);
    completeCall(id, mayHaveRunOutcome(HostReason::Cancelled));
    execute(decisions);
}

void HostCallExecutor::handleSenderLost(const ServerId &daemon, std::uint64_t incarnation)
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

std::optional<HostOutcome> HostCallExecutor::findOutcome(const CallOrigin &origin)
{
    if (m_byOrigin.count(origin) != 0)
        return std::nullopt;
    const auto kept = m_keptOutcomes.find(origin);
    if (kept != m_keptOutcomes.end())
        return kept->second.outcome;
    return m_loop.now() < m_outcomesMissingUntil ? mayHaveRunOutcome(HostReason::Forgotten)
                                                 : notRunOutcome(HostReason::Forgotten, {0});
}

void HostCallExecutor::keepOutcome(const Call &call, const HostOutcome &outcome)
{
    const TimePoint now = m_loop.now();
    const TimePoint until = std::max(now, call.deadline) + OUTCOME_LIFETIME;
    m_keptOutcomes[call.origin] = {outcome, until};
    m_keptOutcomesInOrder.push_back(call.origin);
    while (m_keptOutcomesInOrder.size() > MAX_KEPT_OUTCOMES)
        dropOldestOutcome();
}

void HostCallExecutor::dropOldestOutcome()
{
    const auto oldest = m_keptOutcomes.find(m_keptOutcomesInOrder.front());
    if (oldest != m_keptOutcomes.end()) {
        if (oldest->second.until > m_loop.now() && oldest->second.outcome.state != RunState::NotRun)
            m_outcomesMissingUntil = std::max(m_outcomesMissingUntil, oldest->second.until);
        m_keptOutcomes.erase(oldest);
    }
    m_keptOutcomesInOrder.pop_front();
}

void HostCallExecutor::tick()
{
    const TimePoint now = m_loop.now();
    execute(m_scheduler.tick(now));
    checkUnresponsiveServer();
    endOverdueCalls();
    // A later outcome with an earlier end is dropped when the ones before it are.
    while (!m_keptOutcomesInOrder.empty()) {
        const auto oldest = m_keptOutcomes.find(m_keptOutcomesInOrder.front());
        if (oldest != m_keptOutcomes.end() && oldest->second.until > now)
            break;
        dropOldestOutcome();
    }
    while (!m_crashSuspects.empty() && now - m_crashSuspects.front().first > CRASH_SUSPECT_TIME)
        m_crashSuspects.pop_front();
}

} // namespace cornelwell
