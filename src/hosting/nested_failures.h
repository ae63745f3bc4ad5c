/** @file nested_failures.h Attributes failures of a server to failed calls that it made. */
#pragma once

#include "base/clock_type.h"

#include <deque>

namespace cornelwell {

/**
 * Remembers failed calls of the local server (nested failures), to tell whether its own failure
 * follows from one of them.
 */
class NestedFailures
{
public:
    /** Records that a call of the local server was answered with a failure. */
    void record(TimePoint now);
    /**
     * Looks for a nested failure that explains a failure of the local server now.
     * @return true when there is a recent one; it is removed, so that it explains one failure only.
     */
    bool takeMatch(TimePoint now);

private:
    std::deque<TimePoint> m_times; ///< Times of nested failures, oldest first.
};

} // namespace cornelwell
