/** @file startup_reports.h Reports of the local server that arrive before peers were heard. */
#pragma once

#include "hosting/hosting_type.h"

#include <optional>

namespace cornelwell {

/** How long reports wait after the start of the daemon. */
struct StartupReportsOptions
{
    Duration waitMax = {700};   ///< Longest wait: peers may be out of reach.
    unsigned peersExpected = 2; ///< Peers whose state ends the wait.
};

/**
 * Holds back the local server's reports after a start of the daemon until peers have told which
 * server had deregistered here before: a late report must not register that server again. Notices
 * that end a server's use are not held.
 */
class StartupReports
{
public:
    /** @param options Bounds. @param startedAt Start of the daemon. */
    StartupReports(StartupReportsOptions options, TimePoint startedAt)
        : m_options(options), m_startedAt(startedAt)
    {}

    /** @return true when the report is held; it comes back from release(). */
    bool hold(const ServerReport &report, TimePoint now)
    {
        if (isOver(now) || report.draining)
            return false;
        const bool newer
            = !m_held || report.startTimeMs > m_held->startTimeMs
              || (report.startTimeMs == m_held->startTimeMs && report.sequence > m_held->sequence);
        if (newer)
            m_held = report;
        return true;
    }
    /** Handles the first state of a peer. */
    void peerHeard() { m_peersHeard++; }
    /** @return the newest held report once the wait is over; nothing before, or the second time. */
    std::optional<ServerReport> release(TimePoint now)
    {
        if (!isOver(now))
            return std::nullopt;
        std::optional<ServerReport> report;
        report.swap(m_held);
        return report;
    }

private:
    bool isOver(TimePoint now) const
    {
        return m_peersHeard >= m_options.peersExpected || now - m_startedAt >= m_options.waitMax;
    }

    const StartupReportsOptions m_options;
    const TimePoint m_startedAt;
    unsigned m_peersHeard = 0;
    std::optional<ServerReport> m_held;
};

} // namespace cornelwell
