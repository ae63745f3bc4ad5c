/** @file token_bucket.h Token bucket and rate estimate. Neither does input or output. */
#pragma once

#include "base/clock_type.h"

namespace cornelwell {

/** Tokens that refill at a rate up to a depth. */
class TokenBucket
{
public:
    /** Sets rate and depth; a bucket that has become smaller loses the tokens above its depth. */
    void configure(double perSecond, double depth, TimePoint now);
    /** Removes all tokens. */
    void empty(TimePoint now);
    /** @return tokens at a time. */
    double tokens(TimePoint now) const;
    /** Takes up to @p wanted whole tokens. @return the tokens taken. */
    unsigned take(unsigned wanted, TimePoint now);
    /** Removes tokens, as far as there are any. */
    void remove(double tokens, TimePoint now);
    /** Adds tokens; those above the depth are lost. */
    void add(double tokens, TimePoint now);
    /** @return refill in tokens a second. */
    double perSecond() const { return m_perSecond; }
    /** @return largest number of tokens. */
    double depth() const { return m_depth; }

private:
    double m_perSecond = 0;
    double m_depth = 0;
    double m_tokens = 0; ///< At m_at.
    TimePoint m_at{0};
};

/** Events a second, averaged exponentially. */
class RateEstimate
{
public:
    /** @param span Time constant of the average. */
    explicit RateEstimate(Duration span) : m_span(span) {}
    /** Counts events. */
    void add(double events, TimePoint now);
    /** @return events a second. */
    double perSecond(TimePoint now) const;

private:
    Duration m_span;
    double m_perSecond = 0; ///< At m_at.
    TimePoint m_at{0};
};

/**
 * The part of a quota that a daemon may use on its own while no coordinator answers. Tokens come at
 * even intervals whose phase depends on the daemon, and lapse: with many daemons and a small quota
 * each daemon would otherwise keep one token, which together are many times the burst.
 */
class FallbackBucket
{
public:
    /** @param phase Position in the interval at the start, from 0 to 1. */
    explicit FallbackBucket(double phase) : m_phase(phase) {}
    /** Starts without tokens. */
    void enter(TimePoint now);
    /** Ends the use of the bucket. */
    void leave() { m_active = false; }
    /** @return true while the bucket is in use. */
    bool isActive() const { return m_active; }
    /** @return true when a token was there and has been taken. */
    bool take(double perSecond, Duration lifetime, TimePoint now);
    /** @return time until the next token. */
    Duration untilNext(double perSecond) const;

private:
    double m_phase;
    TimePoint m_at{0};
    unsigned m_tokens = 0;
    bool m_active = false;
};

} // namespace cornelwell
