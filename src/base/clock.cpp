/** @file clock.cpp The steady clock and the wall clock of the VM. */
#include "base/clock.h"

#include <chrono>
#include <ctime>

namespace cornelwell {

TimePoint SystemClock::now() const
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

TimePoint SystemClock::bootNow() const
{
    constexpr std::int64_t MS_PER_SECOND = 1000;
    constexpr std::int64_t NS_PER_MS = 1'000'000;
    timespec time = {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return {time.tv_sec * MS_PER_SECOND + time.tv_nsec / NS_PER_MS};
}

TimePoint SystemClock::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

} // namespace cornelwell
