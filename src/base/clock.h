/** @file clock.h The clock interface and the clock of the machine. */
#pragma once

#include "base/clock_type.h"

namespace cornelwell {

/** Where the time comes from; tests replace it by a virtual one. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** @return the monotonic time: for timeouts, never set back. */
    virtual TimePoint now() const = 0;

    /** @return the time of day in milliseconds since 1970: for people, never for decisions. */
    virtual TimePoint wallNow() const = 0;
};

/** The machine's own clocks. */
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    TimePoint wallNow() const override;
};

} // namespace cornelwell
