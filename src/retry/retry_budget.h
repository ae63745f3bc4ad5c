/** @file retry_budget.h Decides whether a failed attempt of a call may be retried. */
#pragma once

#include "retry/retry_type.h"

#include <mutex>

namespace cornelwell {

/**
 * Token bucket that calls fill and retries drain, so that retries cannot multiply the load of a
 * failing service. Thread-safe.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryOptions options) : m_options(options), m_tokens(options.tokensMax) {}

    /** Adds the share of a token that a new call earns. */
    void recordCall();

    /**
     * Checks the retry rules and takes a token when they allow a retry.
     * @param result Result of the last attempt.
     * @param idempotent Whether running the request twice does no harm.
     * @param attempts Attempts made so far.
     * @return true when the call may be sent again.
     */
    bool tryAcquire(const AttemptResult &result, bool idempotent, unsigned attempts);

private:
    const RetryOptions m_options;
    std::mutex m_mutex; ///< Guards m_tokens.
    double m_tokens;
};

} // namespace cornelwell
