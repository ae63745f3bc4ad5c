/** @file startup_reports.cpp What tells a late report from one of a server that still runs. */
#include "hosting/startup_reports.h"

namespace cornelwell {

namespace {

bool isSameServer(const ServerReport &a, const ServerReport &b)
{
    return a.instance == b.instance && a.startTimeMs == b.startTimeMs;
}

} // namespace

bool StartupReports::hold(const ServerReport &report, TimePoint now)
{
    if (report.draining || isOver(now))
        return false;
    recordReporting(report, now);
    if (isOver(now))
        return false;
    const bool newer
        = !m_held || report.startTimeMs > m_held->startTimeMs
          || (report.startTimeMs == m_held->startTimeMs && report.sequence > m_held->sequence);
    if (newer)
        m_held = report;
    return true;
}

std::int64_t StartupReports::handleDeregistration(const std::string &instance,
                                                  std::int64_t startTimeMs)
{
    if (!m_held || m_held->instance != instance)
        return startTimeMs;
    const std::int64_t start = startTimeMs != 0 ? startTimeMs : m_held->startTimeMs;
    if (m_held->startTimeMs <= start)
        m_held.reset();
    return start;
}

std::optional<ServerReport> StartupReports::release(TimePoint now)
{
    if (!isOver(now))
        return std::nullopt;
    std::optional<ServerReport> report;
    report.swap(m_held);
    return report;
}

/** Late reports come in small numbers and out of order; a server that runs sends them in order, at
 * regular intervals. */
void StartupReports::recordReporting(const ServerReport &report, TimePoint now)
{
    const bool isKnown = m_lastInOrder && isSameServer(report, *m_lastInOrder);
    if (isKnown && report.sequence <= m_lastInOrder->sequence)
        return;
    if (!isKnown || now - m_lastInOrderAt > m_options.reportGapMax)
        m_firstInOrderAt = now;
    m_lastInOrder = report;
    m_lastInOrderAt = now;
}

bool StartupReports::isOver(TimePoint now) const
{
    return m_recordRead || m_witnesses.size() >= m_options.witnessesExpected
           || (!m_witnesses.empty() && now - m_startedAt >= m_options.witnessWait)
           || m_lastInOrderAt - m_firstInOrderAt >= m_options.reportingMin;
}

} // namespace cornelwell
