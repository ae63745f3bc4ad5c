/** @file retry_advice.h When the caller of a refused request should retry. */
#pragma once

#include "base/clock_type.h"

namespace cornelwell {

/** What is known of a request that no server has run. */
struct RefusedRequest
{
    Duration hostAdvice{0};   ///< Shortest delay that a hosting daemon advised; 0: none.
    Duration expectedWork{0}; ///< Mean time of the route's requests at a server.
    TimePoint softDeadline{0};
    TimePoint callerDeadline{0};
};

/** Bounds of the advice. */
struct RetryAdviceOptions
{
    Duration fallback{150}; ///< Advice when no hosting daemon gave one.
    /** Callers accept an advice of up to this part of the time that they have left. */
    double callerShare = 1.0 / 3;
    /** A retry that can only miss its soft deadline is advised to wait for as long as its caller
     * accepts. It loses nothing by that, and a longer wait outlasts more of an overload. */
    bool lateAdvice = true;
};

/** @return the delay before a retry, without jitter. */
Duration retryAdvice(const RefusedRequest &request, const RetryAdviceOptions &options,
                     TimePoint now);

} // namespace cornelwell
