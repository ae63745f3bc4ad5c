/** @file nested_failures.cpp Matches failures by time, as nested calls do not name their cause. */
#include "hosting/nested_failures.h"

namespace cornelwell {

namespace {

constexpr Duration MATCH_WINDOW{40};  ///< Longest time from a nested failure to its effect.
constexpr std::size_t TIMES_MAX = 64; ///< Nested failures kept; bounds memory.

} // namespace

void NestedFailures::record(TimePoint now)
{
    m_times.push_back(now);
    if (m_times.size() > TIMES_MAX)
        m_times.pop_front();
}

bool NestedFailures::takeMatch(TimePoint now)
{
    while (!m_times.empty() && now - m_times.front() > MATCH_WINDOW)
        m_times.pop_front();
    if (m_times.empty())
        return false;
    m_times.pop_front();
    return true;
}

} // namespace cornelwell
