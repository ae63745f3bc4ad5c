/** @file loop_lag_test.cpp Lag of the event loop. */
#include "node/loop_lag.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

TEST_CASE("the loop is reported late once, and in time once it has caught up", "[node]")
{
    LoopLag lag({200}, TimePoint{1000});
    CHECK(lag.recordTick(TimePoint{1210}) == LoopLagChange::None);
    CHECK(lag.last().ms == 10);
    CHECK(lag.recordTick(TimePoint{1710}) == LoopLagChange::Late);
    CHECK(lag.last().ms == 300);
    // Between the two bounds the state stays as it is.
    CHECK(lag.recordTick(TimePoint{2010}) == LoopLagChange::None);
    CHECK(lag.recordTick(TimePoint{2220}) == LoopLagChange::InTime);
    CHECK(lag.takeLargest().ms == 300);
    CHECK(lag.takeLargest().ms == 0);
}
