/** @file rate_limiter.h Times at which a server that has named a limit may get requests. */
#pragma once

#include "base/clock_type.h"

#include <cstddef>
#include <optional>

namespace cornelwell {

/** How a limit is followed. */
struct RateLimiterOptions
{
    Duration burst{500}; ///< Requests that the limit allows in this time may start at once.
    /** Lowest limit in force, in requests a second; the end of a limit is learnt from answers only.
     */
    double perSecondMin = 0.25;
};

/** Limits the starts of requests at one server by a token bucket. Does no input or output. */
class RateLimiter
{
public:
    explicit RateLimiter(RateLimiterOptions options) : m_options(options) {}

    /** Sets or removes the limit. @param perSecond Requests a second; nothing: no limit. */
    void setLimit(std::optional<double> perSecond, TimePoint now);
    /** Records that a request starts. */
    void recordStart(TimePoint now);
    /**
     * @param position Place in the order of the next starts; the next one has 1.
     * @param now Time.
     * @return time until the request at this place may start; 0 without a limit.
     */
    Duration waitFor(std::size_t position, TimePoint now) const;
    /** @return true when a request may start now. */
    bool mayStart(TimePoint now) const { return waitFor(1, now).ms <= 0; }
    /** @return limit in force, in requests a second; 0 without a limit. */
    double perSecond() const { return m_perSecond; }

private:
    double tokens(TimePoint now) const;

    const RateLimiterOptions m_options;
    double m_perSecond = 0; ///< Limit in force; 0: none.
    double m_tokens = 0;    ///< Requests that may start at m_tokensAt.
    TimePoint m_tokensAt{0};
};

} // namespace cornelwell
