/** @file quarantine.h Quarantine of requests that crashed backend servers. */
#pragma once

#include "retry/quarantine_type.h"

#include <map>
#include <vector>

namespace cornelwell {

/**
 * Collects crash reports of the whole fleet, as far as they reached this daemon, and decides which
 * requests are refused because they crashed backend servers repeatedly. Not thread-safe.
 */
class Quarantine
{
public:
    explicit Quarantine(QuarantineOptions options) : m_options(options) {}

    /**
     * Adds a report.
     * @return true when the report is new, so that it should be forwarded to peers; false when it
     * is known, expired, or the store of reports is full.
     */
    bool add(const CrashReport &report, TimePoint now);

    /** Removes all reports of a request, which ends its quarantine. */
    void release(std::uint64_t fingerprint);

    /** @return fingerprints of the requests to refuse. */
    std::vector<std::uint64_t> quarantinedFingerprints(TimePoint now);

    /** @return all reports with their age at @p now, for a peer that has just connected. */
    std::vector<CrashReport> reports(TimePoint now);
    /**
     * @return reports for a peer of many that connects: at most QuarantineOptions::reportsPerPeer,
     * those of the requests with the most crashes first.
     */
    std::vector<CrashReport> reportsForPeer(TimePoint now);

private:
    using Key = std::pair<ServerId, std::uint64_t>; ///< Server and sequence of a report.

    /** A report with the time of the crash on this daemon's clock. */
    struct StoredReport
    {
        CrashReport report;
        TimePoint crashedAt;
    };

    void removeExpired(TimePoint now);
    std::map<std::uint64_t, unsigned> crashCounts() const;

    const QuarantineOptions m_options;
    std::map<Key, StoredReport> m_reports;
};

} // namespace cornelwell
