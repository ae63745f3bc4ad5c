/** @file quarantine.h Which requests are refused because they crashed backend servers: the
 * decision. */
#pragma once

#include "retry/quarantine_type.h"

#include <map>
#include <vector>

namespace cornelwell {

/** Crash reports of the whole fleet, as this daemon knows them. Not safe for threads. */
class Quarantine
{
public:
    explicit Quarantine(QuarantineOptions options) : m_options(options) {}

    /** Takes in a report. @return true when it is new and is to be told on. */
    bool add(const CrashReport &report, TimePoint now);

    /** Forgets the reports of a request. */
    void release(std::uint64_t fingerprint);

    /** @return fingerprints that are refused now. */
    std::vector<std::uint64_t> quarantinedFingerprints(TimePoint now);

    /** @return the reports with their age now, for a peer that is new. */
    std::vector<CrashReport> reports(TimePoint now);

private:
    using Key = std::pair<ServerId, std::uint64_t>;

    /** A report and when the crash was, on this daemon's clock. */
    struct Item
    {
        CrashReport report;
        TimePoint at;
    };

    void forgetOld(TimePoint now);

    const QuarantineOptions m_options;
    std::map<Key, Item> m_reports;
};

} // namespace cornelwell
