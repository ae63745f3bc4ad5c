/** @file recent_failures.cpp Expiry and lookup of requests answered without success. */
#include "node/recent_failures.h"

namespace cornelwell {

namespace {

constexpr std::size_t MAX_FAILURES = 4096; ///< Above this, the oldest failure is removed.
constexpr int SERVER_ERROR = 500;
constexpr int SERVICE_UNAVAILABLE = 503;

} // namespace

bool isRetryExpected(int status, bool idempotent)
{
    return status == SERVICE_UNAVAILABLE || (idempotent && status >= SERVER_ERROR);
}

void RecentFailures::add(std::uint64_t fingerprint, TimePoint softDeadline, TimePoint expiresAt)
{
    Failure &failure = m_failures[fingerprint];
    if (failure.count == 0)
        failure.softDeadline = softDeadline;
    failure.expiresAt = expiresAt;
    failure.count++;
    m_expiryOrder.emplace_back(expiresAt, fingerprint);
    if (m_expiryOrder.size() > MAX_FAILURES) {
        m_failures.erase(m_expiryOrder.front().second);
        m_expiryOrder.pop_front();
    }
}

std::optional<TimePoint> RecentFailures::take(std::uint64_t fingerprint, TimePoint now)
{
    while (!m_expiryOrder.empty() && m_expiryOrder.front().first <= now) {
        const auto expired = m_failures.find(m_expiryOrder.front().second);
        if (expired != m_failures.end() && expired->second.expiresAt <= now)
            m_failures.erase(expired);
        m_expiryOrder.pop_front();
    }
    const auto found = m_failures.find(fingerprint);
    if (found == m_failures.end())
        return std::nullopt;
    const TimePoint softDeadline = found->second.softDeadline;
    if (--found->second.count == 0)
        m_failures.erase(found);
    return softDeadline;
}

} // namespace cornelwell
