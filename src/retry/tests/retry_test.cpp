/** @file retry_test.cpp Tests of RetryBudget. */
#include "retry/retry_budget.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

TEST_CASE("a call is retried only if it was not run or is idempotent", "[retry]")
{
    RetryBudget budget{RetryOptions()};
    const AttemptResult notRun{RunState::NotRun, ResultCode::CallOverloaded, true};
    const AttemptResult unknown{RunState::Unknown, ResultCode::CallServerFailed, true};
    const AttemptResult notRetryable{RunState::NotRun, ResultCode::CallKeyReused, false};
    CHECK(budget.tryAcquire(notRun, false, 1));
    CHECK_FALSE(budget.tryAcquire(unknown, false, 1));
    CHECK(budget.tryAcquire(unknown, true, 1));
    CHECK_FALSE(budget.tryAcquire(notRetryable, true, 1));
    CHECK_FALSE(budget.tryAcquire({RunState::Answered, ResultCode::Ok, true}, true, 1));
    CHECK_FALSE(budget.tryAcquire(notRun, true, 3));
}

TEST_CASE("retries add at most a tenth to the load of a failing service", "[retry]")
{
    RetryBudget budget{RetryOptions()};
    int attempts = 0;
    for (int call = 0; call < 1000; call++) {
        budget.recordCall();
        unsigned callAttempts = 1;
        while (budget.tryAcquire({RunState::NotRun, ResultCode::CallNoServer, true}, true,
                                 callAttempts))
            callAttempts++;
        attempts += static_cast<int>(callAttempts);
    }
    CHECK(attempts <= 1110);
}
