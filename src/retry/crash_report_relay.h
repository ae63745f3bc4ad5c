/** @file crash_report_relay.h Crash reports that wait to be passed on together. */
#pragma once

#include "retry/quarantine_type.h"

#include <vector>

namespace cornelwell {

/**
 * Collects the crash reports that are new to this daemon. A failure of many servers brings hundreds
 * of them in a moment, which leave together.
 */
class CrashReportRelay
{
public:
    /** How long reports wait for others; short against the time between crashes by a request. */
    static constexpr Duration BATCH_DELAY{100};

    /**
     * Adds a new report.
     * @param report The report; its age holds at @p now.
     * @param now Current time.
     * @return true when the caller has to call takeBatch() after BATCH_DELAY.
     */
    bool add(const CrashReport &report, TimePoint now);
    /** @return the reports to pass on, with their ages at @p now. */
    std::vector<CrashReport> takeBatch(TimePoint now);

private:
    struct Waiting
    {
        CrashReport report;
        TimePoint since;
    };

    std::vector<Waiting> m_waiting;
};

} // namespace cornelwell
