/** @file nested_failures.h Which failures of a server come from calls that it made: the decision.
 */
#pragma once

#include "base/clock_type.h"

#include <deque>

namespace cornelwell {

/** Remembers failed calls of the server; a failure of the server soon after comes from one. */
class NestedFailures
{
public:
    /** A call that the server made was answered with a failure. */
    void record(TimePoint now);
    /**
     * The server answered a request with a failure.
     * @return true when a call that it had made explains it; each explains one failure.
     */
    bool takeMatch(TimePoint now);

private:
    std::deque<TimePoint> m_times;
};

} // namespace cornelwell
