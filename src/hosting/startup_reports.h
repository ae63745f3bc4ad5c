/** @file startup_reports.h Reports of the local server right after a start of the daemon. */
#pragma once

#include "hosting/hosting_type.h"

#include <optional>
#include <set>

namespace cornelwell {

/** How long reports wait after the start of the daemon. */
struct StartupReportsOptions
{
    Duration witnessWait = {700};   ///< After this time one peer that knows the server is enough.
    unsigned witnessesExpected = 2; ///< Peers that know the server and end the wait at once.
    Duration waitMax = {4000};      ///< Longest wait: store and peers may be out of reach.
};

/**
 * Holds back the local server's reports after a start of the daemon until it is known which servers
 * had left here before: a late report must not register such a server again. The record in the
 * store tells it, or else peers that knew the server of the daemon's earlier incarnation; peers
 * that have restarted too know nothing. Notices that end a server's use are not held.
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
    /** Handles the record of departures in the store. */
    void recordRead() { m_recordRead = true; }
    /** Handles a peer that has told what it knows of the server before the start. */
    void witnessHeard(const ServerId &peer) { m_witnesses.insert(peer); }
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
        const Duration waited = now - m_startedAt;
        return m_recordRead || m_witnesses.size() >= m_options.witnessesExpected
               || (!m_witnesses.empty() && waited >= m_options.witnessWait)
               || waited >= m_options.waitMax;
    }

    const StartupReportsOptions m_options;
    const TimePoint m_startedAt;
    bool m_recordRead = false;
    std::set<ServerId> m_witnesses;
    std::optional<ServerReport> m_held;
};

} // namespace cornelwell
