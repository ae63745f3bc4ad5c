/** @file token_bucket.cpp Refill, decay and lapse. */
#include "quota/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr double MS_PER_SECOND = 1000;
/** Tolerance for sums of rates, so that a bucket refilled by exactly one token has one. */
constexpr double ROUNDING = 1e-6;

double secondsOf(Duration duration)
{
    return static_cast<double>(std::max<std::int64_t>(0, duration.ms)) / MS_PER_SECOND;
}

} // namespace

void TokenBucket::configure(double perSecond, double depth, TimePoint now)
{
    m_tokens = std::min(tokens(now), depth);
    m_at = now;
    m_perSecond = perSecond;
    m_depth = depth;
}

void TokenBucket::empty(TimePoint now)
{
    m_tokens = 0;
    m_at = now;
}

double TokenBucket::tokens(TimePoint now) const
{
    return std::min(m_depth, m_tokens + secondsOf(now - m_at) * m_perSecond);
}

unsigned TokenBucket::take(unsigned wanted, TimePoint now)
{
    const double available = tokens(now);
    const unsigned taken
        = std::min(wanted, static_cast<unsigned>(std::max(0.0, available + ROUNDING)));
    m_tokens = available - taken;
    m_at = now;
    return taken;
}

void TokenBucket::remove(double removed, TimePoint now)
{
    m_tokens = std::max(0.0, tokens(now) - removed);
    m_at = now;
}

void TokenBucket::add(double added, TimePoint now)
{
    m_tokens = std::min(m_depth, tokens(now) + added);
    m_at = now;
}

void RateEstimate::add(double events, TimePoint now)
{
    m_perSecond = perSecond(now) + events / secondsOf(m_span);
    m_at = now;
}

double RateEstimate::perSecond(TimePoint now) const
{
    return m_perSecond * std::exp(-secondsOf(now - m_at) / secondsOf(m_span));
}

void FallbackBucket::enter(TimePoint now)
{
    m_active = true;
    m_tokens = 0;
    m_at = now;
}

bool FallbackBucket::take(double perSecond, Duration lifetime, TimePoint now)
{
    const Duration elapsed = now - m_at;
    const double end = m_phase + secondsOf(elapsed) * perSecond;
    const double begin = end - secondsOf(std::min(elapsed, lifetime)) * perSecond;
    const unsigned issued = static_cast<unsigned>(std::floor(end) - std::floor(begin));
    if (elapsed > lifetime)
        m_tokens = 0;
    const auto tokensMax
        = static_cast<unsigned>(std::max(1.0, std::ceil(secondsOf(lifetime) * perSecond)));
    m_tokens = std::min(m_tokens + issued, tokensMax);
    m_phase = end - std::floor(end);
    m_at = now;
    if (m_tokens == 0)
        return false;
    m_tokens--;
    return true;
}

Duration FallbackBucket::untilNext(double perSecond) const
{
    return {static_cast<std::int64_t>((1 - m_phase) / perSecond * MS_PER_SECOND) + 1};
}

} // namespace cornelwell
