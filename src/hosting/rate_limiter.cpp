/** @file rate_limiter.cpp Token bucket and sliding window. */
#include "hosting/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr double MS_PER_SECOND = 1000;
constexpr std::size_t STARTS_MAX = 8192; ///< Starts remembered; bounds memory.

Duration roundUp(double ms)
{
    return {static_cast<std::int64_t>(std::ceil(ms))};
}

} // namespace

void RateLimiter::setLimit(std::optional<double> perSecond, TimePoint now, Duration firstWait)
{
    if (!perSecond) {
        m_perSecond = 0;
        return;
    }
    const double limit = std::max(*perSecond, m_options.perSecondMin);
    if (m_perSecond == 0) {
        const double firstTokens = 1 - static_cast<double>(firstWait.ms) * limit / MS_PER_SECOND;
        m_tokens = std::min(0.0, firstTokens);
        m_tokensAt = now;
        m_limitedSince = now;
    } else if (limit != m_perSecond) {
        m_tokens = tokens(now);
        m_tokensAt = now;
    }
    m_perSecond = limit;
}

void RateLimiter::reset()
{
    m_perSecond = 0;
    m_starts.clear();
}

/** @return how long a start may count in a window. */
Duration RateLimiter::rememberedSpan() const
{
    return m_perSecond > 0 ? m_options.window : m_options.window - m_options.settleTime;
}

void RateLimiter::recordStart(TimePoint now)
{
    if (m_perSecond > 0) {
        m_tokens = tokens(now) - 1;
        m_tokensAt = now;
    }
    m_starts.push_back(now);
    while (!m_starts.empty()
           && (now - m_starts.front() >= rememberedSpan() || m_starts.size() > STARTS_MAX))
        m_starts.pop_front();
}

double RateLimiter::tokens(TimePoint now) const
{
    const double burstMs = static_cast<double>(m_options.burst.ms);
    const double most = std::max(1.0, m_perSecond * burstMs / MS_PER_SECOND);
    const auto elapsedMs = static_cast<double>((now - m_tokensAt).ms);
    return std::min(most, m_tokens + elapsedMs * m_perSecond / MS_PER_SECOND);
}

Duration RateLimiter::waitFor(std::size_t position, TimePoint now) const
{
    if (m_perSecond == 0)
        return {0};
    const double missing = static_cast<double>(position) - tokens(now);
    const Duration tokenWait = roundUp(std::max(0.0, missing) * MS_PER_SECOND / m_perSecond);
    return std::max(tokenWait, windowWait(position, now));
}

/** @return time until enough starts have left the window for the request at this place. */
Duration RateLimiter::windowWait(std::size_t position, TimePoint now) const
{
    const TimePoint countedFrom = std::max(
        now - m_options.window, m_limitedSince - (m_options.window - m_options.settleTime));
    const auto first = std::upper_bound(m_starts.begin(), m_starts.end(), countedFrom);
    const auto counted = static_cast<std::size_t>(std::distance(first, m_starts.end()));
    const double windowMs = static_cast<double>(m_options.window.ms);
    const auto allowed = static_cast<std::size_t>(
        m_options.windowFactor * m_perSecond * windowMs / MS_PER_SECOND + m_options.windowSlack);
    if (counted + position <= allowed)
        return {0};
    const std::size_t mustLeave = std::min(counted, counted + position - allowed);
    if (mustLeave == 0)
        return {0};
    return *(first + static_cast<std::ptrdiff_t>(mustLeave - 1)) + m_options.window - now;
}

} // namespace cornelwell
