/** @file host_scheduler.cpp Order of reports, slots, and a queue bounded by deadlines. */
#include "hosting/host_scheduler.h"

#include <algorithm>
#include <iterator>

namespace cornelwell {

namespace {

constexpr double PROCESSING_SMOOTHING = 0.1; ///< Weight of a new processing time in its mean.
constexpr double FAILURE_SMOOTHING = 0.05;   ///< Weight of a new result in the failure rate.
constexpr std::size_t ROUTES_MAX = 1024;     ///< Routes with a processing time; bounds memory.
/** Delayed reports of a server whose start is not known are ignored for this long. */
constexpr Duration DEREGISTRATION_KEPT{20000};
constexpr std::size_t DEREGISTRATIONS_MAX = 64; ///< Deregistrations kept; bounds memory.

constexpr const char *REASON_NAMES[] = {"none",           "full",           "busier",
                                        "too_late",       "no_server",      "server_draining",
                                        "daemon_leaving", "server_shed",    "instance_changed",
                                        "connect_failed", "broken",         "garbled",
                                        "link_lost",      "cancelled",      "quarantined",
                                        "forgotten",      "route_unusable", "unknown_key",
                                        "undecided",      "unconfirmed"};
static_assert(std::size(REASON_NAMES) == static_cast<std::size_t>(HostReason::Count),
              "a name for each reason");

void smooth(double &mean, double sample, double weight)
{
    mean = mean == 0 ? sample : mean + weight * (sample - mean);
}

} // namespace

const char *hostReasonName(HostReason reason)
{
    return REASON_NAMES[static_cast<std::size_t>(reason)];
}

bool HostScheduler::isDeregistered(const std::string &instance, std::int64_t startTimeMs,
                                   TimePoint now) const
{
    const auto known = m_deregistrations.find(instance);
    if (known == m_deregistrations.end())
        return false;
    // A start that is known never comes back; without one, the next start cannot be told from it.
    const Deregistration &deregistration = known->second;
    return deregistration.startTimeMs == 0 ? now - deregistration.recordedAt < DEREGISTRATION_KEPT
                                           : startTimeMs <= deregistration.startTimeMs;
}

/** Forgets what was learnt of the registered server, for another one. */
void HostScheduler::resetServer(TimePoint now)
{
    m_failureRate = 0;
    m_processingMsByRoute.clear();
    m_meanProcessingMs = 0;
    m_advisory = {};
    m_advisoryHeard = false;
    m_rateLimiter.setLimit(std::nullopt, now);
}

bool HostScheduler::isRegistered(const ServerRestrictions &restrictions) const
{
    return !m_server.instance.empty() && restrictions.instance == m_server.instance
           && restrictions.startTimeMs == m_server.startTimeMs;
}

bool HostScheduler::isNews(const ServerRestrictions &restrictions, TimePoint now) const
{
    if (restrictions.instance.empty())
        return false;
    if (restrictions.leaving)
        return !isDeregistered(restrictions.instance, restrictions.startTimeMs, now)
               && !(isRegistered(restrictions) && m_state == HostState::Draining);
    const double limit = restrictions.requestsPerSecond;
    if (limit <= 0)
        return false;
    if (isRegistered(restrictions))
        return !m_advisoryHeard
               && (m_rateLimiter.perSecond() == 0 || limit < m_rateLimiter.perSecond());
    const bool toldBefore = restrictions.instance == m_toldLimit.instance
                            && restrictions.startTimeMs == m_toldLimit.startTimeMs;
    const bool mayRegister
        = m_server.instance.empty() || restrictions.startTimeMs > m_server.startTimeMs;
    return mayRegister && (!toldBefore || limit < m_toldLimit.requestsPerSecond);
}

HostDecisions HostScheduler::handleRestrictions(const ServerRestrictions &restrictions,
                                                TimePoint now)
{
    if (!isNews(restrictions, now))
        return {};
    if (restrictions.leaving)
        return handleDeregistration(restrictions.instance, restrictions.startTimeMs, now);
    if (isRegistered(restrictions))
        setLimit(restrictions.requestsPerSecond, now);
    else
        m_toldLimit = restrictions;
    return {};
}

HostDecisions HostScheduler::handleReport(const ServerReport &report, TimePoint now)
{
    m_reportVerdict = isDeregistered(report.instance, report.startTimeMs, now)
                          ? ReportVerdict::Departed
                          : m_reportOrder.judge(report, m_server, m_state, now);
    if (m_reportVerdict != ReportVerdict::Current)
        return {};
    m_reportOrder.recordCurrent(now);
    const bool isOther
        = report.instance != m_server.instance || report.startTimeMs != m_server.startTimeMs;
    if (isOther)
        resetServer(now);
    m_server = report;
    m_coldUntil = now + report.warmUpLeft;
    if (m_options.pace && !report.draining) {
        m_pace.handleReport(report.slots, m_coldUntil, now);
        if (isOther)
            m_pace.forgetTimes();
        if (isOther || m_state != HostState::Ready)
            m_pace.begin(isOther ? PaceReason::Started : PaceReason::Recovered, now);
    }
    m_state = report.draining ? HostState::Draining : HostState::Ready;
    if (isRegistered(m_toldLimit)) {
        setLimit(m_toldLimit.requestsPerSecond, now);
        m_toldLimit = {};
    }
    if (m_state == HostState::Draining)
        return refuseQueued(HostReason::ServerDraining);
    return startQueued(now);
}

/** Drops the oldest deregistration, first of those of servers that were never registered here. */
void HostScheduler::dropDeregistration()
{
    const auto isDroppedBefore = [](const auto &a, const auto &b) {
        return std::pair(a.second.wasRegistered, a.second.recordedAt)
               < std::pair(b.second.wasRegistered, b.second.recordedAt);
    };
    m_deregistrations.erase(
        std::min_element(m_deregistrations.begin(), m_deregistrations.end(), isDroppedBefore));
}

HostDecisions HostScheduler::handleDeregistration(const std::string &instance,
                                                  std::int64_t startTimeMs, TimePoint now)
{
    const bool current = instance == m_server.instance
                         && (startTimeMs == 0 || startTimeMs >= m_server.startTimeMs);
    if (m_deregistrations.size() >= DEREGISTRATIONS_MAX)
        dropDeregistration();
    Deregistration &kept = m_deregistrations[instance];
    kept.startTimeMs
        = std::max({kept.startTimeMs, startTimeMs, current ? m_server.startTimeMs : 0});
    kept.recordedAt = now;
    kept.wasRegistered = kept.wasRegistered || current;
    if (!current)
        return {};
    m_state = HostState::Draining;
    return refuseQueued(HostReason::ServerDraining);
}

HostDecisions HostScheduler::handleServerDown(TimePoint now)
{
    (void)now;
    if (m_state == HostState::Ready)
        m_state = HostState::Down;
    return refuseQueued(HostReason::ConnectFailed);
}

bool HostScheduler::isAtRegisteredServer(const HostCall &call) const
{
    return call.instance == m_server.instance && call.serverStartTimeMs == m_server.startTimeMs;
}

bool HostScheduler::isAtRegisteredServer(HostCallId id) const
{
    const auto found = m_running.find(id);
    return found != m_running.end() && isAtRegisteredServer(found->second);
}

HostDecisions HostScheduler::handleInstanceChanged(TimePoint now)
{
    (void)now;
    m_reportOrder.recordDisproved(m_server);
    m_state = HostState::None;
    return refuseQueued(HostReason::InstanceChanged);
}

HostDecisions HostScheduler::beginShutdown(TimePoint now)
{
    (void)now;
    m_shuttingDown = true;
    return refuseQueued(HostReason::DaemonLeaving);
}

HostDecisions HostScheduler::refuseQueued(HostReason reason)
{
    HostDecisions decisions;
    for (const HostCall &call : m_queue.removeAll()) {
        decisions.push_back(makeRefusal(call.id, reason, {0}));
        m_bulkBytesExpected -= call.bulkBytes;
    }
    return decisions;
}

HostDecision HostScheduler::makeRefusal(HostCallId id, HostReason reason, Duration wait) const
{
    return {id, HostVerdict::Refuse, reason, {std::max(m_options.retryAfterMin.ms, wait.ms)}};
}

/** @param[out] displaced Call that has to leave the full queue for this one; 0: none. */
HostReason HostScheduler::checkAdmission(HostCall &call, TimePoint now, HostCallId &displaced) const
{
    if (m_shuttingDown && !call.bodyTransferred)
        return HostReason::DaemonLeaving;
    if (m_state == HostState::Draining)
        return HostReason::ServerDraining;
    if (m_state != HostState::Ready)
        return HostReason::NoServer;
    if (!call.instance.empty() && call.instance != m_server.instance)
        return HostReason::InstanceChanged;
    const double processingMs = expectedProcessingMs(call.route);
    const Duration minTime{static_cast<std::int64_t>(processingMs * PROCESSING_SHARE_MIN)};
    if (now + minTime > call.deadline)
        return HostReason::TooLate;
    Duration wait = expectedDelay(call, bound(), now);
    if (wait.ms == 0)
        return HostReason::None;
    if (call.queueWaitMax.ms >= 0 && wait > call.queueWaitMax)
        return HostReason::Busier;
    // The bound of the pace delays calls, but does not refuse what a free slot can serve in time.
    if (m_options.pace && m_pace.allowsUrgent())
        wait = expectedDelay(call, m_server.slots, now);
    const Duration total
        = wait + Duration{static_cast<std::int64_t>(processingMs + linkTimeMs(call.bulkBytes))};
    if (now + total > call.deadline)
        return HostReason::Full;
    if (m_queue.size() >= m_options.queueMax) {
        const HostCall *other = m_queue.displacedBy(call);
        if (other == nullptr)
            return HostReason::Full;
        displaced = other->id;
    }
    // A retry that misses its soft deadline only fills gaps; it must not displace calls in time.
    if (call.isRetry && now + total > call.softDeadline)
        call.softDeadline
            = now + m_options.lateRetryWaitMax + Duration{static_cast<std::int64_t>(processingMs)};
    if (m_options.refusesBySoftDeadline && now + total > call.softDeadline)
        return HostReason::Full;
    return HostReason::None;
}

HostDecisions HostScheduler::submit(HostCall call, TimePoint now)
{
    call.bulkBytes = expectedBulkBytes(call);
    m_queue.recordSubmitted(call);
    HostCallId displaced = 0;
    const HostReason reason = checkAdmission(call, now, displaced);
    if (reason != HostReason::None)
        return {makeRefusal(call.id, reason, expectedDelay(call, bound(), now))};
    HostDecisions decisions;
    if (const auto other = displaced != 0 ? m_queue.remove(displaced) : std::nullopt) {
        m_bulkBytesExpected -= other->bulkBytes;
        m_displacedCalls++;
        decisions.push_back(
            makeRefusal(displaced, HostReason::Full, expectedDelay(*other, bound(), now)));
    }
    m_bulkBytesExpected += call.bulkBytes;
    const double costMs = expectedProcessingMs(call.route);
    m_queue.add(std::move(call), costMs);
    HostDecisions started = startQueued(now);
    if (decisions.empty())
        return started;
    decisions.insert(decisions.end(), started.begin(), started.end());
    return decisions;
}

const HostCall *HostScheduler::nextQueued(TimePoint now) const
{
    return m_queue.next(now,
                        [this](const std::string &route) { return expectedProcessingMs(route); });
}

HostDecisions HostScheduler::startQueued(TimePoint now)
{
    HostDecisions decisions;
    while (m_state == HostState::Ready && !m_queue.empty() && m_running.size() < m_server.slots
           && m_rateLimiter.mayStart(now)) {
        const HostCall *chosen = nextQueued(now);
        if (m_running.size() >= bound()) {
            if (!m_pace.allowsUrgent())
                break;
            chosen = m_queue.nextUrgent(now + m_options.paceMargin, [this](const auto &route) {
                return expectedProcessingMs(route);
            });
            if (chosen == nullptr)
                break;
        }
        const HostCall &next = *chosen;
        const double processingMs = expectedProcessingMs(next.route);
        const Duration minTime{static_cast<std::int64_t>(processingMs * PROCESSING_SHARE_MIN)};
        if (now + minTime > next.deadline) {
            decisions.push_back(makeRefusal(next.id, HostReason::TooLate, {0}));
            cancelQueued(next.id);
            continue;
        }
        HostCall call = m_queue.takeForStart(next, processingMs);
        decisions.push_back({call.id, HostVerdict::Start, HostReason::None, {0}});
        m_rateLimiter.recordStart(now);
        call.started = now;
        call.instance = m_server.instance;
        call.serverStartTimeMs = m_server.startTimeMs;
        m_startTimeSumMs += now.ms;
        call.runningAtStart = static_cast<unsigned>(m_running.size()) + 1;
        if (m_options.pace)
            m_pace.recordStart(call.runningAtStart, now);
        m_running.emplace(call.id, std::move(call));
    }
    return decisions;
}

HostDecisions HostScheduler::handleAdvisory(HostCallId id, const ServerAdvisory &advisory,
                                            TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || !isAtRegisteredServer(found->second))
        return {};
    m_advisoryHeard = true;
    // An answer without a limit may have overtaken the one that named it.
    if (advisory.requestsPerSecond || found->second.started >= m_limitNamedAt)
        setLimit(advisory.requestsPerSecond, now);
    if (advisory.leaving) {
        m_advisory.leaving = true;
        return handleDeregistration(m_server.instance, m_server.startTimeMs, now);
    }
    return startQueued(now);
}

void HostScheduler::setLimit(std::optional<double> requestsPerSecond, TimePoint now)
{
    m_advisory.requestsPerSecond = requestsPerSecond;
    m_rateLimiter.setLimit(requestsPerSecond, now);
    if (requestsPerSecond)
        m_limitNamedAt = now;
}

HostDecisions HostScheduler::complete(HostCallId id, HostFinish finish, Duration processingTime,
                                      TimePoint now, std::size_t answerBytes)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return {};
    if (finish == HostFinish::Served) {
        if (m_processingMsByRoute.size() >= ROUTES_MAX) {
            m_processingMsByRoute.clear();
            m_answerBytesByRoute.clear();
        }
        smooth(m_answerBytesByRoute[found->second.route], static_cast<double>(answerBytes),
               PROCESSING_SMOOTHING);
        smooth(m_processingMsByRoute[found->second.route], static_cast<double>(processingTime.ms),
               PROCESSING_SMOOTHING);
        smooth(m_meanProcessingMs, static_cast<double>(processingTime.ms), PROCESSING_SMOOTHING);
    }
    if (finish != HostFinish::Cancelled)
        m_failureRate
            += FAILURE_SMOOTHING * ((finish == HostFinish::Served ? 0.0 : 1.0) - m_failureRate);
    if (m_options.pace)
        recordEndInPace(found->second, finish, processingTime, now);
    m_startTimeSumMs -= found->second.started.ms;
    m_bulkBytesExpected -= found->second.bulkBytes;
    m_running.erase(found);
    return startQueued(now);
}

void HostScheduler::recordEndInPace(const HostCall &call, HostFinish finish,
                                    Duration processingTime, TimePoint now)
{
    if (!isAtRegisteredServer(call))
        return;
    // The time of a cancelled call may include its wait in the queue.
    if (finish != HostFinish::Served)
        processingTime = now - call.started;
    m_pace.recordEnd({call.route, finish, processingTime, call.started, call.runningAtStart}, now);
}

bool HostScheduler::cancelQueued(HostCallId id)
{
    const std::optional<HostCall> call = m_queue.remove(id);
    if (!call)
        return false;
    m_bulkBytesExpected -= call->bulkBytes;
    return true;
}

/**
 * @param call A queued call.
 * @param callsAhead Number of calls that are expected to start before it.
 * @param now Time.
 * @return why it is refused now rather than later; None to keep it.
 */
HostReason HostScheduler::checkQueued(const HostCall &call, std::size_t callsAhead,
                                      TimePoint now) const
{
    const double processingMs = expectedProcessingMs(call.route);
    const Duration minTime{static_cast<std::int64_t>(processingMs * PROCESSING_SHARE_MIN)};
    if (now + minTime > call.deadline)
        return HostReason::TooLate;
    // An early refusal leaves the caller time to retry.
    const Duration limitWait = m_rateLimiter.waitFor(callsAhead + 1, now);
    const bool congested = m_options.refusesBySoftDeadline
                           && (limitWait.ms > 0 || m_queue.size() * 2 > m_server.slots);
    const Duration processing{static_cast<std::int64_t>(processingMs)};
    return congested && now + limitWait + processing > call.softDeadline ? HostReason::Full
                                                                         : HostReason::None;
}

HostDecisions HostScheduler::tick(TimePoint now)
{
    HostDecisions decisions;
    m_queue.removeIf([&](const HostCall &call,
                         std::size_t callsAhead) { return checkQueued(call, callsAhead, now); },
                     [&](const HostCall &call, HostReason reason, std::size_t callsAhead) {
                         decisions.push_back(makeRefusal(
                             call.id, reason, m_rateLimiter.waitFor(callsAhead + 1, now)));
                         m_bulkBytesExpected -= call.bulkBytes;
                     });
    const HostDecisions started = startQueued(now);
    decisions.insert(decisions.end(), started.begin(), started.end());
    return decisions;
}

} // namespace cornelwell
