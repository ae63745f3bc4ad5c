/** @file crash_report_relay.cpp Batches of crash reports. */
#include "retry/crash_report_relay.h"

namespace cornelwell {

bool CrashReportRelay::add(const CrashReport &report, TimePoint now)
{
    m_waiting.push_back({report, now});
    return m_waiting.size() == 1;
}

std::vector<CrashReport> CrashReportRelay::takeBatch(TimePoint now)
{
    std::vector<CrashReport> batch;
    for (Waiting &waiting : m_waiting) {
        batch.push_back(std::move(waiting.report));
        batch.back().age = batch.back().age + (now - waiting.since);
    }
    m_waiting.clear();
    return batch;
}

} // namespace cornelwell
