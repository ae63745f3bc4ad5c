/** @file limit_type.h A server's part of a voted limit. */
#pragma once

#include "base/clock_type.h"

#include <cstdint>

namespace cornelwell {

/** What one server may run of an entry. */
struct LimitPart
{
    bool rateLimited = false;        ///< True when starts are counted.
    std::uint32_t ratePerSecond = 0; ///< Starts in any second.
    bool runLimited = false;         ///< True when runs are counted.
    std::uint32_t concurrency = 0;   ///< Runs at once.
};

/** The answer to a request that wants to start. */
struct LimitAnswer
{
    bool granted = false; ///< True when it may start; it ends with finish.
    Duration retryAfter;  ///< When there may be room again.
};

} // namespace cornelwell
