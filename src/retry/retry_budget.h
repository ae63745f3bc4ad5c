/** @file retry_budget.h When a call is sent again: the decision. */
#pragma once

#include "retry/retry_type.h"

#include <mutex>

namespace cornelwell {

/** Retries are earned by calls, so that a failing service is not multiplied in load. Safe for
 * threads. */
class RetryBudget
{
public:
    explicit RetryBudget(RetryOptions options) : m_options(options), m_tokens(options.tokensMax) {}

    /** A call begins; it earns a part of a retry. */
    void recordCall();

    /**
     * Asks for one more attempt.
     * @param result How the last attempt ended.
     * @param idempotent True when running it twice does no harm.
     * @param attempts Attempts so far.
     * @return true when it may be sent again; a token is then used up.
     */
    bool tryAcquire(const AttemptResult &result, bool idempotent, unsigned attempts);

private:
    const RetryOptions m_options;
    std::mutex m_mutex;
    double m_tokens;
};

} // namespace cornelwell
