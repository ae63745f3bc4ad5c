/** @file clock.cpp The steady clock and the wall clock of the VM. */
#include "base/clock.h"

#include <chrono>

namespace cornelwell {

TimePoint SystemClock::now() const
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

TimePoint SystemClock::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

} // namespace cornelwell
