/** @file retry_test.cpp When a call may be sent again. */
#include "retry/retry_budget.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

TEST_CASE("only proof or idempotence allows another attempt", "[retry]")
{
    RetryBudget budget{RetryOptions()};
    const AttemptResult notRun{RunState::NotRun, ResultCode::CallOverloaded, true};
    const AttemptResult unknown{RunState::Unknown, ResultCode::CallServerFailed, true};
    const AttemptResult final{RunState::NotRun, ResultCode::CallKeyReused, false};
    CHECK(budget.tryAcquire(notRun, false, 1));
    CHECK_FALSE(budget.tryAcquire(unknown, false, 1));
    CHECK(budget.tryAcquire(unknown, true, 1));
    CHECK_FALSE(budget.tryAcquire(final, true, 1));
    CHECK_FALSE(budget.tryAcquire({RunState::Answered, ResultCode::Ok, true}, true, 1));
    CHECK_FALSE(budget.tryAcquire(notRun, true, 3));
}

TEST_CASE("a failing service is asked at most a tenth more often than it is called", "[retry]")
{
    RetryBudget budget{RetryOptions()};
    int attempts = 0;
    for (int call = 0; call < 1000; call++) {
        budget.recordCall();
        unsigned tries = 1;
        while (budget.tryAcquire({RunState::NotRun, ResultCode::CallNoServer, true}, true, tries))
            tries++;
        attempts += static_cast<int>(tries);
    }
    CHECK(attempts <= 1110);
}
