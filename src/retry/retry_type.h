/** @file retry_type.h How far an attempt of a call got. */
#pragma once

#include "base/result_code_type.h"

#include <cstdint>

namespace cornelwell {

/** What is known of a request after an attempt. */
enum class RunState : std::uint8_t
{
    Answered, ///< It was run and its whole answer is here.
    NotRun,   ///< It is proved that no backend server began it.
    Unknown,  ///< It may have been run.
    Count,    ///< Number of states; not a state.
};

/** @return the name of the state, as in the header `Cornelwell-Outcome`. */
const char *runStateName(RunState state);

/** What the retry rules look at. */
struct AttemptResult
{
    RunState state = RunState::Unknown; ///< How far it got.
    ResultCode code = ResultCode::Ok;   ///< Why it failed.
    bool retryElsewhere = false;        ///< True when another server may do better.
};

/** Bounds of retries. */
struct RetryOptions
{
    double tokensPerCall = 0.1; ///< Retries earned by each call.
    double tokensMax = 10.0;    ///< Retries saved up at most.
    unsigned attemptsMax = 3;   ///< Attempts of one call, the first included.
};

} // namespace cornelwell
