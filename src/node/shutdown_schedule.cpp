/** @file shutdown_schedule.cpp Notice time, and the end before the grace is over. */
#include "node/shutdown_schedule.h"

#include <algorithm>

namespace cornelwell {

namespace {

/** Callers are assumed to know of a shutdown this long after its start; at most half of the grace.
 */
constexpr Duration NOTICE_TIME{2300};
constexpr Duration GRACE_RESERVE{500}; ///< Part of the grace kept for the last responses.
/** Number of denied readiness checks after which the platform sends no more callers. */
constexpr unsigned NOT_READY_REPLIES_MIN = 2;

} // namespace

void ShutdownSchedule::begin(TimePoint now)
{
    m_begun = true;
    m_begunAt = now;
}

TimePoint ShutdownSchedule::end(Duration grace) const
{
    return m_begunAt + grace - GRACE_RESERVE;
}

TimePoint ShutdownSchedule::noticeEnd(Duration grace) const
{
    return m_begunAt + Duration{std::min(NOTICE_TIME.ms, grace.ms / 2)};
}

bool ShutdownSchedule::accepts(TimePoint deadline, Duration grace, TimePoint now) const
{
    return !m_begun || now < noticeEnd(grace) || deadline <= end(grace);
}

bool ShutdownSchedule::callersKnow(Duration grace, TimePoint now) const
{
    return m_begun && (now >= noticeEnd(grace) || m_notReadyReplies >= NOT_READY_REPLIES_MIN);
}

bool ShutdownSchedule::isOver(Duration grace, TimePoint now) const
{
    return m_begun && now >= end(grace);
}

} // namespace cornelwell
