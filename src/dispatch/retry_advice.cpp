/** @file retry_advice.cpp Advice by the load of the hosts and the times of the request. */
#include "dispatch/retry_advice.h"

#include <algorithm>

namespace cornelwell {

Duration retryAdvice(const RefusedRequest &request, const RetryAdviceOptions &options,
                     TimePoint now)
{
    const Duration advice = request.hostAdvice.ms > 0 ? request.hostAdvice : options.fallback;
    const Duration timeLeft = request.callerDeadline - now;
    if (timeLeft.ms <= 0)
        return advice;
    const Duration accepted{
        static_cast<std::int64_t>(static_cast<double>(timeLeft.ms) * options.callerShare)};
    if (options.lateAdvice && now + advice + request.expectedWork > request.softDeadline)
        return accepted;
    return std::min(advice, accepted);
}

} // namespace cornelwell
