/** @file quarantine.cpp Counts the distinct crashes of each request over the whole fleet. */
#include "retry/quarantine.h"

#include <algorithm>

namespace cornelwell {

void Quarantine::removeExpired(TimePoint now)
{
    for (auto item = m_reports.begin(); item != m_reports.end();)
        item = now - item->second.crashedAt > m_options.reportLifetime ? m_reports.erase(item)
                                                                       : std::next(item);
}

bool Quarantine::add(const CrashReport &report, TimePoint now)
{
    if (m_reports.count(Key(report.server, report.sequence)) != 0)
        return false;
    removeExpired(now);
    if (report.age > m_options.reportLifetime || m_reports.size() >= m_options.reportsMax)
        return false;
    return m_reports
        .emplace(Key(report.server, report.sequence), StoredReport{report, now - report.age})
        .second;
}

void Quarantine::release(std::uint64_t fingerprint)
{
    for (auto item = m_reports.begin(); item != m_reports.end();)
        item = item->second.report.fingerprint == fingerprint ? m_reports.erase(item)
                                                              : std::next(item);
}

std::map<std::uint64_t, unsigned> Quarantine::crashCounts() const
{
    std::map<std::uint64_t, unsigned> counts;
    for (const auto &item : m_reports)
        counts[item.second.report.fingerprint]++;
    return counts;
}

std::vector<std::uint64_t> Quarantine::quarantinedFingerprints(TimePoint now)
{
    removeExpired(now);
    std::vector<std::uint64_t> fingerprints;
    for (const auto &count : crashCounts()) {
        if (count.second >= m_options.crashThreshold)
            fingerprints.push_back(count.first);
    }
    return fingerprints;
}

std::vector<CrashReport> Quarantine::reports(TimePoint now)
{
    removeExpired(now);
    std::vector<CrashReport> all;
    for (const auto &item : m_reports) {
        CrashReport report = item.second.report;
        report.age = now - item.second.crashedAt;
        all.push_back(std::move(report));
    }
    return all;
}

std::vector<CrashReport> Quarantine::reportsForPeer(TimePoint now)
{
    std::vector<CrashReport> chosen = reports(now);
    if (chosen.size() <= m_options.reportsPerPeer)
        return chosen;
    const std::map<std::uint64_t, unsigned> counts = crashCounts();
    std::stable_sort(chosen.begin(), chosen.end(), [&](const CrashReport &a, const CrashReport &b) {
        const unsigned crashesOfA = counts.at(a.fingerprint);
        const unsigned crashesOfB = counts.at(b.fingerprint);
        return crashesOfA != crashesOfB ? crashesOfA > crashesOfB : a.age < b.age;
    });
    chosen.resize(m_options.reportsPerPeer);
    return chosen;
}

} // namespace cornelwell
