/** @file recent_refusals.cpp Refused requests by hash. */
#include "node/recent_refusals.h"

namespace cornelwell {

namespace {

constexpr std::size_t ITEMS_MAX = 4096; ///< Requests remembered.

} // namespace

void RecentRefusals::add(std::uint64_t fingerprint, TimePoint softDeadline, TimePoint until)
{
    Item &item = m_items[fingerprint];
    if (item.count == 0)
        item.softDeadline = softDeadline;
    item.until = until;
    item.count++;
    m_order.emplace_back(until, fingerprint);
    if (m_order.size() > ITEMS_MAX) {
        m_items.erase(m_order.front().second);
        m_order.pop_front();
    }
}

std::optional<TimePoint> RecentRefusals::take(std::uint64_t fingerprint, TimePoint now)
{
    while (!m_order.empty() && m_order.front().first <= now) {
        const auto old = m_items.find(m_order.front().second);
        if (old != m_items.end() && old->second.until <= now)
            m_items.erase(old);
        m_order.pop_front();
    }
    const auto found = m_items.find(fingerprint);
    if (found == m_items.end())
        return std::nullopt;
    const TimePoint softDeadline = found->second.softDeadline;
    if (--found->second.count == 0)
        m_items.erase(found);
    return softDeadline;
}

} // namespace cornelwell
