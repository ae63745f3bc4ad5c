/** @file shutdown_schedule.h What a daemon accepts during its shutdown, and when it ends. */
#pragma once

#include "base/clock_type.h"

namespace cornelwell {

/**
 * Times of a graceful shutdown. At first the daemon goes on serving, since callers do not know of
 * it yet. Then it accepts only requests that end, answered or by their deadline, before the process
 * does; all others are refused as not run, so that the end cuts none off. Does no input or output.
 */
class ShutdownSchedule
{
public:
    /** Begins the shutdown. */
    void begin(TimePoint now);
    /** @return true once it has begun. */
    bool hasBegun() const { return m_begun; }
    /** Records that the platform was told that the daemon is not ready. */
    void recordNotReady() { m_notReadyReplies += m_begun ? 1 : 0; }
    /**
     * @param deadline Deadline of a new request.
     * @param grace Longest time from the signal to the exit of the process.
     * @param now Current time.
     * @return true when the request may be accepted.
     */
    bool accepts(TimePoint deadline, Duration grace, TimePoint now) const;
    /** @return true when the platform and the callers know of the shutdown. */
    bool callersKnow(Duration grace, TimePoint now) const;
    /** @return true when the process has to end, whatever is in progress. */
    bool isOver(Duration grace, TimePoint now) const;

private:
    TimePoint end(Duration grace) const;
    TimePoint noticeEnd(Duration grace) const;

    bool m_begun = false;
    TimePoint m_begunAt{0};
    unsigned m_notReadyReplies = 0;
};

} // namespace cornelwell
