/** @file loop_lag.h How late the event loop runs what is due. */
#pragma once

#include "base/clock_type.h"

#include <algorithm>

namespace cornelwell {

/** Whether the loop begins or ceases to be late. */
enum class LoopLagChange : std::uint8_t
{
    None,
    Late,
    InTime,
};

/** Measures the lag of a periodic tick: bytes that arrive wait about as long to be read. */
class LoopLag
{
public:
    /** @param interval Time between ticks. @param start Time from which the first tick counts. */
    LoopLag(Duration interval, TimePoint start) : m_interval(interval), m_lastTick(start) {}

    /** Handles a tick. @return whether the loop has become late or is in time again. */
    LoopLagChange recordTick(TimePoint now)
    {
        m_last = std::max(now - m_lastTick - m_interval, Duration{0});
        m_largest = std::max(m_largest, m_last);
        m_lastTick = now;
        const bool late = m_last >= (m_late ? IN_TIME_BELOW : LATE_FROM);
        if (late == m_late)
            return LoopLagChange::None;
        m_late = late;
        return late ? LoopLagChange::Late : LoopLagChange::InTime;
    }
    /** @return lag of the last tick. */
    Duration last() const { return m_last; }
    /** @return the largest lag since the last call. */
    Duration takeLargest()
    {
        const Duration largest = m_largest;
        m_largest = {0};
        return largest;
    }

private:
    /** A part of the 500 ms in which the end of a caller has to reach the servers. */
    static constexpr Duration LATE_FROM{150};
    static constexpr Duration IN_TIME_BELOW{50};

    Duration m_interval;
    TimePoint m_lastTick;
    Duration m_last;
    Duration m_largest;
    bool m_late = false;
};

} // namespace cornelwell
