/** @file manual_clock.h A clock that a test sets. */
#pragma once

#include "base/clock.h"

namespace cornelwell {

/** Stands still until it is moved. */
class ManualClock final : public Clock
{
public:
    TimePoint time{1000000}; ///< The time on both clocks.

    TimePoint now() const override { return time; }
    TimePoint wallNow() const override { return time; }
};

} // namespace cornelwell
