/** @file version_confirmation.cpp Renewal of the confirmation by the store and by peers. */
#include "replication/version_confirmation.h"

namespace cornelwell {

namespace {

/** Versions kept for peers that lag behind; a watcher takes over about two versions a second. */
constexpr std::size_t ENTRIES_MAX = 8;

} // namespace

void VersionConfirmation::confirm(TimePoint at)
{
    if (m_entries.empty())
        return;
    std::optional<TimePoint> &confirmedAt = m_entries.back().confirmedAt;
    if (!confirmedAt || *confirmedAt < at)
        confirmedAt = at;
}

void VersionConfirmation::storeCallSent(CallKind kind, TimePoint now)
{
    m_callKind = kind;
    m_callSentAt = now;
    m_callEra = m_era;
}

void VersionConfirmation::handleStoreAnswer(Revision version)
{
    handleApplied(version);
    if (!m_callSentAt || m_callKind == CallKind::StaleRead || m_callEra != m_era)
        return;
    if (m_callKind == CallKind::Read)
        m_readSinceEra = true;
    // Until then the revision from which a watch started cannot be relied on.
    if (m_readSinceEra)
        confirm(*m_callSentAt);
    m_callSentAt.reset();
}

void VersionConfirmation::handleApplied(Revision version)
{
    if (version == 0 || (!m_entries.empty() && version <= m_entries.back().version))
        return;
    m_entries.push_back({version, m_entries.empty() ? std::nullopt : m_entries.back().confirmedAt});
    if (m_entries.size() > ENTRIES_MAX)
        m_entries.pop_front();
}

void VersionConfirmation::handleEra(std::uint64_t era)
{
    if (era <= m_era)
        return;
    // The first era that is seen is the one in which all was known.
    if (m_era != 0) {
        for (Entry &entry : m_entries)
            entry.confirmedAt.reset();
        m_readSinceEra = false;
    } else if (m_callEra == 0) {
        m_callEra = era;
    }
    m_era = era;
}

bool VersionConfirmation::handleReport(TimePoint sentAt, const ConfirmationReport &report,
                                       Revision version, TimePoint now)
{
    handleApplied(version);
    if (report.version == 0 || report.version > version || report.storeEra != m_era
        || report.age < Duration{0} || sentAt > now)
        return false;
    const std::optional<Duration> before = age(now);
    confirm(sentAt - report.age);
    return !before || *age(now) < *before;
}

ConfirmationReport VersionConfirmation::reportFor(Revision version, TimePoint now) const
{
    for (auto entry = m_entries.rbegin(); entry != m_entries.rend(); ++entry) {
        if (entry->version <= version && entry->confirmedAt)
            return {entry->version, now - *entry->confirmedAt, m_era};
    }
    return {};
}

std::optional<Duration> VersionConfirmation::age(TimePoint now) const
{
    if (m_entries.empty() || !m_entries.back().confirmedAt)
        return std::nullopt;
    return now - *m_entries.back().confirmedAt;
}

} // namespace cornelwell
