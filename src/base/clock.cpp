/** @file clock.cpp Reads the machine's clocks. */
#include "base/clock.h"

#include <chrono>

namespace cornelwell {

TimePoint SystemClock::now() const
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(since).count()};
}

TimePoint SystemClock::wallNow() const
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(since).count()};
}

} // namespace cornelwell
