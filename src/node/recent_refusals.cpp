/** @file recent_refusals.cpp Expiry and lookup of refused requests. */
#include "node/recent_refusals.h"

namespace cornelwell {

namespace {

constexpr std::size_t MAX_REFUSALS = 4096; ///< Above this, the oldest refusal is removed.

} // namespace

void RecentRefusals::add(std::uint64_t fingerprint, TimePoint softDeadline, TimePoint expiresAt)
{
    Refusal &refusal = m_refusals[fingerprint];
    if (refusal.count == 0)
        refusal.softDeadline = softDeadline;
    refusal.expiresAt = expiresAt;
    refusal.count++;
    m_expiryOrder.emplace_back(expiresAt, fingerprint);
    if (m_expiryOrder.size() > MAX_REFUSALS) {
        m_refusals.erase(m_expiryOrder.front().second);
        m_expiryOrder.pop_front();
    }
}

std::optional<TimePoint> RecentRefusals::take(std::uint64_t fingerprint, TimePoint now)
{
    while (!m_expiryOrder.empty() && m_expiryOrder.front().first <= now) {
        const auto expired = m_refusals.find(m_expiryOrder.front().second);
        if (expired != m_refusals.end() && expired->second.expiresAt <= now)
            m_refusals.erase(expired);
        m_expiryOrder.pop_front();
    }
    const auto found = m_refusals.find(fingerprint);
    if (found == m_refusals.end())
        return std::nullopt;
    const TimePoint softDeadline = found->second.softDeadline;
    if (--found->second.count == 0)
        m_refusals.erase(found);
    return softDeadline;
}

} // namespace cornelwell
