/** @file retry_type.h Results of attempts of a call, and the options of retries. */
#pragma once

#include "base/result_code_type.h"

#include <cstdint>

namespace cornelwell {

/** What is known about the execution of a request after an attempt. */
enum class RunState : std::uint8_t
{
    Answered, ///< A backend server ran the request and its complete answer was received.
    NotRun,   ///< It is proven that no backend server started the request.
    Unknown,  ///< A backend server may have run the request.
    Count,    ///< Number of states; not a state.
};

/** @return the name of the state, as in the header `Cornelwell-Outcome`. */
const char *runStateName(RunState state);

/** Result of an attempt, as far as the retry rules need it. */
struct AttemptResult
{
    RunState state = RunState::Unknown; ///< Whether the request was run.
    ResultCode code = ResultCode::Ok;   ///< Why the attempt failed.
    bool retryElsewhere = false;        ///< Whether another server may succeed.
};

/** Bounds of retries. */
struct RetryOptions
{
    double tokensPerCall = 0.1; ///< Tokens that each call adds; a retry costs one token.
    double tokensMax = 10.0;    ///< Tokens that the bucket holds; it starts full.
    unsigned attemptsMax = 3;   ///< Attempts of one call, including the first.
};

} // namespace cornelwell
