/** @file rate_limiter.h Times at which a server that has named a limit may get requests. */
#pragma once

#include "base/clock_type.h"

#include <algorithm>
#include <deque>
#include <optional>

namespace cornelwell {

/** How strictly a limit is followed. */
struct RateLimiterOptions
{
    Duration burst{500}; ///< Requests that the limit allows in this time may start at once.
    /** Lowest limit in force, in requests a second; the end of a limit is learnt from answers only.
     */
    double perSecondMin = 0.25;
    Duration window{4000};     ///< The bound on starts holds in each span of this length.
    double windowFactor = 1.4; ///< That bound, over what the limit allows.
    double windowSlack = 4;    ///< Requests that the bound allows besides.
    /** The bound holds for windows that end this long after the limit was named, or later. */
    Duration settleTime{3000};
};

/**
 * Limits the starts of requests at one server: a token bucket at the limit's rate, and a bound on
 * the starts in a sliding window that also counts requests from before the limit was named. Does no
 * input or output.
 */
class RateLimiter
{
public:
    explicit RateLimiter(RateLimiterOptions options) : m_options(options)
    {
        m_options.settleTime = std::clamp(m_options.settleTime, Duration{0}, m_options.window);
    }

    /**
     * Sets or removes the limit.
     * @param perSecond Requests a second; nothing: no limit.
     * @param now Time.
     * @param firstWait Time until the first request may start, when a limit begins.
     */
    void setLimit(std::optional<double> perSecond, TimePoint now, Duration firstWait = {0});
    /** Forgets the limit and all starts, for another server. */
    void reset();
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
    Duration windowWait(std::size_t position, TimePoint now) const;
    Duration rememberedSpan() const;

    RateLimiterOptions m_options;
    double m_perSecond = 0; ///< Limit in force; 0: none.
    double m_tokens = 0;    ///< Requests that may start at m_tokensAt.
    TimePoint m_tokensAt{0};
    TimePoint m_limitedSince{0};
    std::deque<TimePoint> m_starts; ///< Starts that may count in a window, oldest first.
};

} // namespace cornelwell
