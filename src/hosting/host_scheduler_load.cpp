/** @file host_scheduler_load.cpp Expected processing times and waits, and the load for the peers.
 */
#include "hosting/host_scheduler.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr double MS_PER_SECOND = 1000;
constexpr double PROCESSING_PER_AGE = 1.2; ///< Mean processing time over mean age, roughly.
constexpr std::size_t AGE_SAMPLES_MIN = 4; ///< With fewer running calls their mean age is not used.

} // namespace

double HostScheduler::expectedProcessingMs(const std::string &route) const
{
    const auto found = m_processingMsByRoute.find(route);
    if (found != m_processingMsByRoute.end())
        return found->second;
    return m_meanProcessingMs > 0 ? m_meanProcessingMs : m_options.initialProcessingMs;
}

/**
 * @return mean processing time in ms. The age of running calls raises it before they end, since a
 * server that has become slow completes none.
 */
double HostScheduler::meanProcessingMs(TimePoint now) const
{
    const double baselineMs
        = m_meanProcessingMs > 0 ? m_meanProcessingMs : m_options.initialProcessingMs;
    if (!m_options.usesRunningAges || m_running.size() < AGE_SAMPLES_MIN)
        return baselineMs;
    const auto count = static_cast<double>(m_running.size());
    const double ageMs
        = static_cast<double>(now.ms) - static_cast<double>(m_startTimeSumMs) / count;
    return std::max(baselineMs, ageMs * PROCESSING_PER_AGE);
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

/** @param concurrency Calls that run at once at the server. */
Duration HostScheduler::expectedWait(const HostCall &call, unsigned concurrency,
                                     TimePoint now) const
{
    const std::size_t ahead = m_queue.callsAhead(call);
    const Duration limitWait = m_rateLimiter.waitFor(ahead + 1, now);
    const std::size_t busy = m_running.size() + ahead + 1;
    if (busy <= concurrency || concurrency == 0)
        return limitWait;
    const double slotWaitMs
        = static_cast<double>(busy - concurrency) * meanProcessingMs(now) / concurrency;
    return std::max(limitWait, Duration{static_cast<std::int64_t>(slotWaitMs)});
}

/** @return expected size of the call's answer when it is large and leaves over the link, else 0. */
std::uint64_t HostScheduler::expectedBulkBytes(const HostCall &call) const
{
    const auto found = m_answerBytesByRoute.find(call.route);
    if (!call.overLink || found == m_answerBytesByRoute.end() || found->second < BULK_BYTES_MIN)
        return 0;
    return static_cast<std::uint64_t>(found->second);
}

/** @return time in which the link carries large answers of this size; 0 when it is unknown. */
double HostScheduler::linkTimeMs(std::uint64_t bytes) const
{
    if (m_link == nullptr || m_link->flowBytesPerSecond() <= 0)
        return 0;
    return static_cast<double>(bytes) * MS_PER_SECOND / m_link->flowBytesPerSecond();
}

std::uint64_t HostScheduler::linkBytesCommitted() const
{
    return m_bulkBytesExpected + (m_link == nullptr ? 0 : m_link->backlogBytes());
}

/** @return expected wait for a slot and the limit, or for the link when that one is longer. */
Duration HostScheduler::expectedDelay(const HostCall &call, unsigned concurrency,
                                      TimePoint now) const
{
    const Duration slotWait = expectedWait(call, concurrency, now);
    if (call.bulkBytes == 0)
        return slotWait;
    // The link carries earlier answers while this call waits for a slot and runs.
    const double linkWaitMs = linkTimeMs(linkBytesCommitted()) - expectedProcessingMs(call.route);
    return {std::max(slotWait.ms, static_cast<std::int64_t>(linkWaitMs))};
}

HostLoad HostScheduler::load(TimePoint now) const
{
    HostLoad load;
    load.instance = m_server.instance;
    load.startTimeMs = m_server.startTimeMs;
    load.service = m_server.service;
    load.version = m_server.version;
    load.state = m_state;
    load.slots = bound();
    load.running = static_cast<unsigned>(m_running.size());
    load.queued = static_cast<unsigned>(m_queue.size());
    load.workMs
        = m_meanProcessingMs > 0 || m_running.size() >= AGE_SAMPLES_MIN ? meanProcessingMs(now) : 0;
    load.failureRate = m_failureRate;
    load.cold = now < m_coldUntil;
    if (m_link != nullptr)
        load.linkBytesPerSecond = static_cast<std::uint64_t>(m_link->flowBytesPerSecond());
    load.linkBytesCommitted = linkBytesCommitted();
    load.requestsPerSecond = m_rateLimiter.perSecond();
    load.limitWaitMs = static_cast<double>(m_rateLimiter.waitFor(m_queue.size() + 1, now).ms);
    return load;
}

} // namespace cornelwell
