/** @file limit_window.h A server's part of the voted limits of one entry: the decision. */
#pragma once

#include "catalogue/entry_type.h"
#include "limits/limit_type.h"

#include <deque>

namespace cornelwell {

/**
 * Splits a voted limit over the numbered servers of a service. The parts add up to the limit
 * exactly, whoever lives, is paused or is cut off: no server needs to ask another one.
 * @param limits The voted limits.
 * @param index Number of the server, from 1; 0 for none, which has no part.
 */
LimitPart partOf(const VotedLimits &limits, std::uint32_t index);

/** Starts of the last second and runs under way. Not safe for threads. */
class LimitWindow
{
public:
    /** A request wants to start. @param part The server's part, as the version in force has it. */
    LimitAnswer start(const LimitPart &part, TimePoint now);

    /** A request that was granted ended. */
    void finish();

private:
    std::deque<TimePoint> m_starts;
    std::uint32_t m_running = 0;
};

} // namespace cornelwell
