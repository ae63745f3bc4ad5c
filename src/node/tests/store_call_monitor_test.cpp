/** @file store_call_monitor_test.cpp Tests of what operators see of failed calls of the store. */
#include "node/store_call_monitor.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

TEST_CASE("failures of store calls are reported when they last, again later, and when they end",
          "[node]")
{
    StoreCallHistory history;
    CHECK_FALSE(history.recordFailure({1000}));
    CHECK_FALSE(history.recordFailure({3999}));
    const auto first = history.recordFailure({4000});
    REQUIRE(first);
    CHECK(first->calls == 3);
    CHECK(first->since == TimePoint{1000});
    CHECK_FALSE(history.recordFailure({13999}));
    const auto second = history.recordFailure({14000});
    REQUIRE(second);
    CHECK(second->calls == 5);
    const auto ended = history.recordAnswer();
    REQUIRE(ended);
    CHECK(ended->calls == 5);
    CHECK_FALSE(history.recordAnswer());
    CHECK(history.failures().calls == 0);
}

TEST_CASE("a single failed call of the store is not reported, however long ago it was", "[node]")
{
    StoreCallHistory history;
    CHECK_FALSE(history.recordFailure({1000}));
    CHECK_FALSE(history.recordAnswer());
    CHECK_FALSE(history.recordFailure({60000}));
    CHECK(history.failures().since == TimePoint{60000});
}

TEST_CASE("calls of the store are counted by group and result, failing groups have their time",
          "[node]")
{
    const SystemClock clock;
    DecisionLogOptions options;
    options.level = DecisionLogLevel::Off;
    DecisionLog log(clock, options);
    Metrics metrics;
    StoreCallMonitor monitor(log, metrics);
    const Error malformed{ResultCode::PlatformProtocol, "malformed", {}};
    const Error gone{ResultCode::PlatformHistoryGone, "gone", {}};
    monitor.record(StoreCallGroup::RouteCalls, &malformed, {1000});
    monitor.record(StoreCallGroup::RouteCalls, &malformed, {2000});
    monitor.record(StoreCallGroup::FleetCalls, nullptr, {2000});
    // The store's statement that the history is gone is an answer.
    monitor.record(StoreCallGroup::RolloutCalls, &gone, {2000});
    monitor.setGauges({5000});
    const std::string text = metrics.text();
    const auto has = [&](const std::string &line) { return text.find(line) != std::string::npos; };
    CHECK(has("store_calls_total{group=\"routes\",result=\"PlatformProtocol\"} 2"));
    CHECK(has("store_calls_total{group=\"fleet\",result=\"Ok\"} 1"));
    CHECK(has("store_calls_failing_ms{group=\"routes\"} 4000"));
    CHECK(has("store_calls_failing_ms{group=\"fleet\"} 0"));
    CHECK(has("store_calls_failing_ms{group=\"rollouts\"} 0"));
    CHECK_FALSE(has("departures"));
}
