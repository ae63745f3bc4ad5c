/** @file limit_window.cpp Parts by number, and an exact sliding window. */
#include "limits/limit_window.h"

namespace cornelwell {

namespace {

/** A start counts a little longer than a second, for it reaches the backend server a little later.
 */
constexpr Duration WINDOW = {1050};
constexpr Duration RUN_RETRY = {50}; ///< Advice when all runs of the part are under way.

/** Part of @p whole that number @p index of @p count has: the parts add up to the whole. */
std::uint32_t slice(std::uint32_t whole, std::uint32_t index, std::uint32_t count)
{
    if (index == 0 || index > count)
        return 0;
    const std::uint64_t upper = static_cast<std::uint64_t>(whole) * index / count;
    const std::uint64_t lower = static_cast<std::uint64_t>(whole) * (index - 1) / count;
    return static_cast<std::uint32_t>(upper - lower);
}

} // namespace

LimitPart partOf(const VotedLimits &limits, std::uint32_t index)
{
    LimitPart part;
    part.rateLimited = limits.ratePerSecond != 0;
    part.ratePerSecond = slice(limits.ratePerSecond, index, limits.servers);
    part.runLimited = limits.concurrency != 0;
    part.concurrency = slice(limits.concurrency, index, limits.servers);
    return part;
}

LimitAnswer LimitWindow::start(const LimitPart &part, TimePoint now)
{
    while (!m_starts.empty() && now - m_starts.front() >= WINDOW)
        m_starts.pop_front();
    if (part.rateLimited && m_starts.size() >= part.ratePerSecond)
        return {false, m_starts.empty() ? WINDOW : m_starts.front() + WINDOW - now};
    if (part.runLimited && m_running >= part.concurrency)
        return {false, RUN_RETRY};
    if (part.rateLimited)
        m_starts.push_back(now);
    m_running++;
    return {true, {0}};
}

void LimitWindow::finish()
{
    if (m_running > 0)
        m_running--;
}

} // namespace cornelwell
