/** @file host_scheduler.cpp Order of reports, slots, and a queue bounded by what can end in time.
 */
#include "hosting/host_scheduler.h"

#include <algorithm>
#include <iterator>

namespace cornelwell {

namespace {

constexpr double WORK_SMOOTHING = 0.1;   ///< Weight of a new measurement of work.
constexpr double FAIL_SMOOTHING = 0.05;  ///< Weight of a new result.
constexpr std::size_t LOOK_AHEAD = 32;   ///< Waiting calls of a rank that are compared.
constexpr double AGE_FACTOR = 1.2;       ///< Mean time over mean age of running calls, about.
constexpr std::size_t AGES_MIN = 4;      ///< Fewer running calls tell nothing.
constexpr double LEAST_OF_WORK = 0.4;    ///< With less of the usual time left a call is not begun.
constexpr std::size_t ROUTES_MAX = 1024; ///< Routes whose time is remembered.
constexpr Duration GONE_FOR{
    20000}; ///< Late reports of a server that left are refused for this long.
constexpr std::size_t GONE_MAX = 64; ///< Servers that left, remembered.

constexpr const char *REASON_NAMES[] = {"none",           "full",        "busier",
                                        "too_late",       "no_server",   "server_draining",
                                        "daemon_leaving", "server_shed", "instance_changed",
                                        "connect_failed", "broken",      "garbled",
                                        "link_lost",      "cancelled",   "quarantined",
                                        "forgotten"};
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

bool HostScheduler::isNewer(const ServerReport &report, TimePoint now) const
{
    const auto gone = m_gone.find(report.instance);
    if (gone != m_gone.end() && now < gone->second.until
        && (gone->second.born == 0 || report.startTimeMs <= gone->second.born))
        return false;
    if (m_server.instance.empty())
        return true;
    if (report.startTimeMs != m_server.startTimeMs)
        return report.startTimeMs > m_server.startTimeMs;
    return report.instance != m_server.instance || report.sequence > m_server.sequence;
}

HostDecisions HostScheduler::handleReport(const ServerReport &report, TimePoint now)
{
    if (!isNewer(report, now))
        return {};
    if (report.instance != m_server.instance || report.startTimeMs != m_server.startTimeMs) {
        m_failShare = 0;
        m_workMs.clear();
        m_meanMs = 0;
    }
    m_server = report;
    m_coldUntil = now + report.warmUpLeft;
    m_state = report.draining ? HostState::Draining : HostState::Ready;
    if (m_state == HostState::Draining)
        return refuseAll(HostReason::ServerDraining);
    return startWaiting(now);
}

HostDecisions HostScheduler::handleDeregistration(const std::string &instance, std::int64_t born,
                                                  TimePoint now)
{
    const bool current
        = instance == m_server.instance && (born == 0 || born >= m_server.startTimeMs);
    if (m_gone.size() >= GONE_MAX)
        m_gone.erase(m_gone.begin());
    Gone &gone = m_gone[instance];
    gone.born = std::max({gone.born, born, current ? m_server.startTimeMs : 0});
    gone.until = now + GONE_FOR;
    if (!current)
        return {};
    m_state = HostState::Draining;
    return refuseAll(HostReason::ServerDraining);
}

HostDecisions HostScheduler::handleServerDown(TimePoint now)
{
    (void)now;
    if (m_state == HostState::Ready)
        m_state = HostState::Down;
    return refuseAll(HostReason::ConnectFailed);
}

HostDecisions HostScheduler::handleInstanceChanged(TimePoint now)
{
    (void)now;
    m_state = HostState::None;
    return refuseAll(HostReason::InstanceChanged);
}

HostDecisions HostScheduler::beginShutdown(TimePoint now)
{
    (void)now;
    m_leaving = true;
    return refuseAll(HostReason::DaemonLeaving);
}

HostDecisions HostScheduler::refuseAll(HostReason reason)
{
    HostDecisions decisions;
    for (const auto &[key, call] : m_queue)
        decisions.push_back(refuse(call.id, reason, {0}));
    m_queue.clear();
    return decisions;
}

HostDecision HostScheduler::refuse(HostCallId id, HostReason reason, Duration wait) const
{
    return {id, HostVerdict::Refuse, reason, {std::max(m_options.retryAfterMin.ms, wait.ms)}};
}

double HostScheduler::workMs(const std::string &route) const
{
    const auto found = m_workMs.find(route);
    if (found != m_workMs.end())
        return found->second;
    return m_meanMs > 0 ? m_meanMs : m_options.firstWorkMs;
}

/** @return mean time of a request now: calls that run for long are seen before they end. */
double HostScheduler::meanMs(TimePoint now) const
{
    const double known = m_meanMs > 0 ? m_meanMs : m_options.firstWorkMs;
    if (m_running.size() < AGES_MIN)
        return known;
    const auto count = static_cast<double>(m_running.size());
    const double age = static_cast<double>(now.ms) - static_cast<double>(m_startedSum) / count;
    return std::max(known, age * AGE_FACTOR);
}

TimePoint HostScheduler::oldestStart() const
{
    TimePoint oldest = NEVER;
    for (const auto &[id, call] : m_running) {
        if (call.started < oldest)
            oldest = call.started;
    }
    return oldest;
}

Duration HostScheduler::waitFor(unsigned rank, TimePoint now) const
{
    const auto behind = m_queue.lower_bound(QueueKey{rank + 1, 0});
    const auto ahead = static_cast<std::size_t>(std::distance(m_queue.begin(), behind));
    const std::size_t busy = m_running.size() + ahead + 1;
    if (busy <= m_server.slots || m_server.slots == 0)
        return {0};
    const double wait = static_cast<double>(busy - m_server.slots) * meanMs(now) / m_server.slots;
    return {static_cast<std::int64_t>(wait)};
}

HostReason HostScheduler::refusal(HostCall &call, TimePoint now) const
{
    if (m_leaving)
        return HostReason::DaemonLeaving;
    if (m_state == HostState::Draining)
        return HostReason::ServerDraining;
    if (m_state != HostState::Ready)
        return HostReason::NoServer;
    if (!call.instance.empty() && call.instance != m_server.instance)
        return HostReason::InstanceChanged;
    const double work = workMs(call.route);
    const Duration least{static_cast<std::int64_t>(work * LEAST_OF_WORK)};
    if (now + least > call.deadline)
        return HostReason::TooLate;
    const Duration wait = waitFor(call.rank, now);
    if (wait.ms == 0)
        return HostReason::None;
    if (call.waitMax.ms >= 0 && wait > call.waitMax)
        return HostReason::Busier;
    const Duration whole = wait + Duration{static_cast<std::int64_t>(work)};
    if (m_queue.size() >= m_options.queueMax || now + whole > call.deadline)
        return HostReason::Full;
    // What came back too late for its goal fills gaps; it does not push out what is still in time.
    if (call.isRetry && now + whole > call.softDeadline)
        call.softDeadline = now + m_options.lateWait + Duration{static_cast<std::int64_t>(work)};
    if (now + whole > call.softDeadline)
        return HostReason::Full;
    return HostReason::None;
}

HostDecisions HostScheduler::submit(HostCall call, TimePoint now)
{
    const HostReason reason = refusal(call, now);
    if (reason != HostReason::None)
        return {refuse(call.id, reason, waitFor(call.rank, now))};
    m_queue.emplace(QueueKey{call.rank, call.id}, call);
    return startWaiting(now);
}

/** @return the first call of the best rank that can still meet its goal, else the first at all. */
std::map<HostScheduler::QueueKey, HostCall>::iterator HostScheduler::nextWaiting(TimePoint now)
{
    const auto first = m_queue.begin();
    std::size_t seen = 0;
    for (auto item = first;
         item != m_queue.end() && item->first.first == first->first.first && seen < LOOK_AHEAD;
         ++item, ++seen) {
        const Duration work{static_cast<std::int64_t>(workMs(item->second.route))};
        if (now + work <= item->second.softDeadline)
            return item;
    }
    return first;
}

HostDecisions HostScheduler::startWaiting(TimePoint now)
{
    HostDecisions decisions;
    while (m_state == HostState::Ready && !m_queue.empty() && m_running.size() < m_server.slots) {
        const auto first = nextWaiting(now);
        HostCall call = std::move(first->second);
        m_queue.erase(first);
        const Duration least{static_cast<std::int64_t>(workMs(call.route) * LEAST_OF_WORK)};
        if (now + least > call.deadline) {
            decisions.push_back(refuse(call.id, HostReason::TooLate, {0}));
            continue;
        }
        decisions.push_back({call.id, HostVerdict::Start, HostReason::None, {0}});
        call.started = now;
        m_startedSum += now.ms;
        m_running.emplace(call.id, std::move(call));
    }
    return decisions;
}

HostDecisions HostScheduler::complete(HostCallId id, HostFinish how, Duration work, TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return {};
    if (how == HostFinish::Served) {
        if (m_workMs.size() >= ROUTES_MAX)
            m_workMs.clear();
        smooth(m_workMs[found->second.route], static_cast<double>(work.ms), WORK_SMOOTHING);
        smooth(m_meanMs, static_cast<double>(work.ms), WORK_SMOOTHING);
    }
    if (how != HostFinish::Cancelled)
        m_failShare += FAIL_SMOOTHING * ((how == HostFinish::Served ? 0.0 : 1.0) - m_failShare);
    m_startedSum -= found->second.started.ms;
    m_running.erase(found);
    return startWaiting(now);
}

bool HostScheduler::cancelQueued(HostCallId id)
{
    const auto found = std::find_if(m_queue.begin(), m_queue.end(),
                                    [&](const auto &item) { return item.first.second == id; });
    if (found == m_queue.end())
        return false;
    m_queue.erase(found);
    return true;
}

HostDecisions HostScheduler::tick(TimePoint now)
{
    HostDecisions decisions;
    for (auto item = m_queue.begin(); item != m_queue.end();) {
        const HostCall &call = item->second;
        const Duration work{static_cast<std::int64_t>(workMs(call.route))};
        // Better told soon: its caller may still come back in time.
        if (now + work > call.softDeadline && m_queue.size() * 2 > m_server.slots) {
            decisions.push_back(refuse(call.id, HostReason::Full, {0}));
            item = m_queue.erase(item);
            continue;
        }
        const Duration least{static_cast<std::int64_t>(workMs(item->second.route) * LEAST_OF_WORK)};
        if (now + least <= item->second.deadline) {
            ++item;
            continue;
        }
        decisions.push_back(refuse(item->second.id, HostReason::TooLate, {0}));
        item = m_queue.erase(item);
    }
    return decisions;
}

HostLoad HostScheduler::load(TimePoint now) const
{
    HostLoad load;
    load.instance = m_server.instance;
    load.service = m_server.service;
    load.state = m_state;
    load.slots = m_server.slots;
    load.running = static_cast<unsigned>(m_running.size());
    load.queued = static_cast<unsigned>(m_queue.size());
    load.workMs = m_meanMs > 0 || m_running.size() >= AGES_MIN ? meanMs(now) : 0;
    load.failureRate = m_failShare;
    load.cold = now < m_coldUntil;
    return load;
}

} // namespace cornelwell
