/** @file quarantine.cpp Counts distinct crashes of one request over the fleet. */
#include "retry/quarantine.h"

namespace cornelwell {

void Quarantine::forgetOld(TimePoint now)
{
    for (auto at = m_reports.begin(); at != m_reports.end();)
        at = now - at->second.at > m_options.reportLifetime ? m_reports.erase(at) : std::next(at);
}

bool Quarantine::add(const CrashReport &report, TimePoint now)
{
    forgetOld(now);
    if (report.age > m_options.reportLifetime || m_reports.size() >= m_options.reportsMax)
        return false;
    return m_reports.emplace(Key(report.server, report.sequence), Item{report, now - report.age})
        .second;
}

void Quarantine::release(std::uint64_t fingerprint)
{
    for (auto at = m_reports.begin(); at != m_reports.end();)
        at = at->second.report.fingerprint == fingerprint ? m_reports.erase(at) : std::next(at);
}

std::vector<std::uint64_t> Quarantine::quarantinedFingerprints(TimePoint now)
{
    forgetOld(now);
    std::map<std::uint64_t, unsigned> counts;
    for (const auto &item : m_reports)
        counts[item.second.report.fingerprint]++;
    std::vector<std::uint64_t> refused;
    for (const auto &count : counts) {
        if (count.second >= m_options.crashThreshold)
            refused.push_back(count.first);
    }
    return refused;
}

std::vector<CrashReport> Quarantine::reports(TimePoint now)
{
    forgetOld(now);
    std::vector<CrashReport> all;
    for (const auto &item : m_reports) {
        CrashReport report = item.second.report;
        report.age = now - item.second.at;
        all.push_back(std::move(report));
    }
    return all;
}

} // namespace cornelwell
