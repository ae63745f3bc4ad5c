/** @file rate_limiter.cpp Token bucket. */
#include "hosting/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr double MS_PER_SECOND = 1000;

} // namespace

void RateLimiter::setLimit(std::optional<double> perSecond, TimePoint now)
{
    // A bucket that starts empty makes up for requests from just before the limit.
    m_tokens = m_perSecond > 0 ? tokens(now) : 0;
    m_tokensAt = now;
    m_perSecond = perSecond ? std::max(*perSecond, m_options.perSecondMin) : 0;
}

void RateLimiter::recordStart(TimePoint now)
{
    if (m_perSecond == 0)
        return;
    m_tokens = tokens(now) - 1;
    m_tokensAt = now;
}

double RateLimiter::tokens(TimePoint now) const
{
    const auto burstMs = static_cast<double>(m_options.burst.ms);
    const double most = std::max(1.0, m_perSecond * burstMs / MS_PER_SECOND);
    const auto elapsedMs = static_cast<double>((now - m_tokensAt).ms);
    return std::min(most, m_tokens + elapsedMs * m_perSecond / MS_PER_SECOND);
}

Duration RateLimiter::waitFor(std::size_t position, TimePoint now) const
{
    if (m_perSecond == 0)
        return {0};
    const double missing = static_cast<double>(position) - tokens(now);
    return {
        static_cast<std::int64_t>(std::ceil(std::max(0.0, missing) * MS_PER_SECOND / m_perSecond))};
}

} // namespace cornelwell
