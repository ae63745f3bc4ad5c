/** @file startup_reports.h Reports of the local server right after a start of the daemon. */
#pragma once

#include "hosting/hosting_type.h"

#include <optional>
#include <set>

namespace cornelwell {

/** What ends the hold of reports after a start of the daemon (docs/design/departures.md). */
struct StartupReportsOptions
{
    Duration witnessWait = {700};   ///< After this time one peer that knows the server is enough.
    unsigned witnessesExpected = 2; ///< Peers that know the server and end the wait at once.
    /** A server that goes on reporting for this long has not left before the start. */
    Duration reportingMin = {30000};
    Duration reportGapMax = {5000}; ///< Longest time between two reports of such a server.
};

/**
 * Holds back the local server's reports after a start of the daemon until it is known which servers
 * had left here before: a late report must not register such a server again. The record in the
 * store tells it, read by this daemon or by a peer, or else peers that knew the server of the
 * daemon's earlier incarnation; peers that have restarted too know nothing. The passing of time
 * tells nothing. Notices that end a server's use are not held.
 */
class StartupReports
{
public:
    /** @param options Bounds. @param startedAt Start of the daemon. */
    StartupReports(StartupReportsOptions options, TimePoint startedAt)
        : m_options(options), m_startedAt(startedAt)
    {}

    /** @return true when the report is held; it comes back from release(). */
    bool hold(const ServerReport &report, TimePoint now);
    /**
     * Handles a deregistration; a held report of the server is dropped, since the hold may last
     * longer than the departure of a server without a known start is kept.
     * @param startTimeMs Start of the server; 0 when the notice names none.
     * @return the start, from the held report when the notice names none.
     */
    std::int64_t handleDeregistration(const std::string &instance, std::int64_t startTimeMs);
    /** Handles the record of departures in the store. */
    void recordRead() { m_recordRead = true; }
    /** Handles a peer that has told what it knows of the server before the start. */
    void witnessHeard(const ServerId &peer) { m_witnesses.insert(peer); }
    /** @return the newest held report once the wait is over; nothing before, or the second time. */
    std::optional<ServerReport> release(TimePoint now);
    /** @return true once the record in the store was read; other evidence may be outdated. */
    bool isRecordKnown() const { return m_recordRead; }

private:
    void recordReporting(const ServerReport &report, TimePoint now);
    bool isOver(TimePoint now) const;

    const StartupReportsOptions m_options;
    const TimePoint m_startedAt;
    bool m_recordRead = false;
    std::set<ServerId> m_witnesses;
    std::optional<ServerReport> m_held;
    /** The last report of an unbroken, ordered sequence of one server. */
    std::optional<ServerReport> m_lastInOrder;
    TimePoint m_firstInOrderAt{0};
    TimePoint m_lastInOrderAt{0};
};

} // namespace cornelwell
