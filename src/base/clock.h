/** @file clock.h The clock interface and its implementation by the VM's clocks. */
#pragma once

#include "base/clock_type.h"

namespace cornelwell {

/** Source of the current time; tests use a virtual one. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** @return the monotonic time, for timeouts and intervals. */
    virtual TimePoint now() const = 0;

    /**
     * @return the monotonic time including the time for which the VM was suspended, for leases;
     * its epoch differs from that of now().
     */
    virtual TimePoint bootNow() const { return now(); }

    /** @return the wall clock time since 1970 (UTC), for display only; it may be set back. */
    virtual TimePoint wallNow() const = 0;
};

/** Reads the clocks of the VM. */
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    TimePoint bootNow() const override;
    TimePoint wallNow() const override;
};

} // namespace cornelwell
