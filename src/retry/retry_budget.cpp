/** @file retry_budget.cpp Retries requests that were not run or are idempotent, within a budget. */
#include "retry/retry_budget.h"

#include <algorithm>
#include <iterator>

namespace cornelwell {

namespace {

constexpr unsigned SERVER_FAILURES_MAX = 2; ///< Server failures after which a call is not retried.

constexpr const char *RUN_STATE_NAMES[] = {"answered", "not-run", "unknown"};
static_assert(std::size(RUN_STATE_NAMES) == static_cast<std::size_t>(RunState::Count),
              "a name for each state");

} // namespace

const char *runStateName(RunState state)
{
    return RUN_STATE_NAMES[static_cast<std::size_t>(state)];
}

void RetryBudget::recordCall()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_tokens = std::min(m_tokens + m_options.tokensPerCall, m_options.tokensMax);
}

bool RetryBudget::tryAcquire(const AttemptResult &result, bool idempotent, unsigned attempts)
{
    const bool safe
        = result.state == RunState::NotRun || (result.state == RunState::Unknown && idempotent);
    if (!safe || !result.retryElsewhere || attempts >= m_options.attemptsMax)
        return false;
    // A request during which two servers failed may be the cause, so a third is not risked.
    if (result.code == ResultCode::CallServerFailed && attempts >= SERVER_FAILURES_MAX)
        return false;
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

} // namespace cornelwell
