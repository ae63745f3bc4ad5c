/** @file admission_type.h What admission decides about a request. */
#pragma once

#include "base/clock_type.h"
#include "base/result_code_type.h"

#include <cstdint>

namespace cornelwell {

/** Number of a request at the gate, unique within the process. */
using TicketId = std::uint64_t;

/** What happens to a request that asks for a slot. */
enum class AdmissionVerdict : std::uint8_t
{
    Run,    ///< It has a slot now.
    Wait,   ///< It waits in the queue; it is told later.
    Refuse, ///< It is refused and was not run.
};

/** The answer to a request that asks for a slot. */
struct AdmissionAnswer
{
    AdmissionVerdict verdict = AdmissionVerdict::Refuse; ///< What happens.
    TicketId ticket = 0;                                 ///< Its number when it runs or waits.
    ResultCode code = ResultCode::Ok;                    ///< Why it is refused.
    Duration retryAfter;                                 ///< When to come back.
};

/** Sizes of the gate. */
struct AdmissionOptions
{
    std::uint32_t slots = 8;       ///< Requests that the backend server runs at once.
    std::uint32_t queueMax = 32;   ///< Requests that wait.
    Duration firstEstimate = {20}; ///< Time of a request until one was measured.
};

} // namespace cornelwell
