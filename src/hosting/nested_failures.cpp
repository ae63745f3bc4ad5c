/** @file nested_failures.cpp Matches failures by time: calls of a server do not name their cause.
 */
#include "hosting/nested_failures.h"

namespace cornelwell {

namespace {

constexpr Duration WITHIN{40};        ///< A server fails this soon after the call that it needed.
constexpr std::size_t TIMES_MAX = 64; ///< Failed calls that are remembered.

} // namespace

void NestedFailures::record(TimePoint now)
{
    m_times.push_back(now);
    if (m_times.size() > TIMES_MAX)
        m_times.pop_front();
}

bool NestedFailures::takeMatch(TimePoint now)
{
    while (!m_times.empty() && now - m_times.front() > WITHIN)
        m_times.pop_front();
    if (m_times.empty())
        return false;
    m_times.pop_front();
    return true;
}

} // namespace cornelwell
