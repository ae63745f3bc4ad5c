/** @file router_test.cpp Choice of servers. */
#include "routing/router.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

Target target(const std::string &name, bool local = true)
{
    Target one;
    one.id = ServerId(name);
    one.local = local;
    one.slots = 8;
    return one;
}

/** Chooses and at once finishes many calls. @return calls by server. */
std::map<std::string, int> spread(Router &router, int calls, TimePoint now)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; i++) {
        const auto chosen = router.choose({}, now);
        REQUIRE(chosen);
        counts[chosen->id.text()]++;
        router.finished(chosen->id, TargetOutcome::Answered, std::nullopt, now);
    }
    return counts;
}

} // namespace

TEST_CASE("no server is no choice, tried ones are left out", "[routing]")
{
    Router router(RoutingOptions(), 1);
    CHECK_FALSE(router.choose({}, NOW));
    router.setTargets({target("a"), target("b")});
    CHECK(router.choose({ServerId("a")}, NOW)->id.text() == "b");
    CHECK_FALSE(router.choose({ServerId("a"), ServerId("b")}, NOW));
}

TEST_CASE("busy servers get less, and old reports count as none", "[routing]")
{
    Router router(RoutingOptions(), 1);
    router.setTargets({target("a"), target("b")});
    router.finished(ServerId("a"), TargetOutcome::Answered, LoadReport{20, 10}, NOW);
    CHECK(spread(router, 100, NOW)["a"] == 0);
    CHECK(spread(router, 100, NOW + seconds(1))["a"] > 20);
}

TEST_CASE("the own data centre comes first until it is full", "[routing]")
{
    Router router(RoutingOptions(), 1);
    router.setTargets({target("a"), target("far", false)});
    CHECK(spread(router, 50, NOW)["far"] == 0);
    int far = 0;
    for (int i = 0; i < 16; i++)
        far += router.choose({}, NOW)->id.text() == "far" ? 1 : 0;
    CHECK(far > 0);
}

TEST_CASE("a server that just became ready gets a growing share", "[routing]")
{
    Router router(RoutingOptions(), 1);
    Target cold = target("cold");
    cold.readySince = NOW;
    router.setTargets({target("warm"), cold});
    CHECK(spread(router, 200, NOW)["cold"] == 0);
    CHECK(spread(router, 200, NOW + seconds(3))["cold"] > 40);
}

TEST_CASE("unreachable servers are ejected, but never more than half, and come back", "[routing]")
{
    Router router(RoutingOptions(), 1);
    router.setTargets({target("a"), target("b"), target("c"), target("d")});
    for (const char *name : {"a", "b", "c"}) {
        for (int i = 0; i < 3; i++)
            router.finished(ServerId(name), TargetOutcome::Unreachable, std::nullopt, NOW);
    }
    const auto counts = spread(router, 200, NOW);
    CHECK(counts.count("a") == 0);
    CHECK(counts.count("b") == 0);
    CHECK(counts.count("c") == 1);
    CHECK(spread(router, 400, NOW + seconds(5))["a"] > 0);
}

TEST_CASE("when all servers are suspected they are still tried", "[routing]")
{
    Router router(RoutingOptions(), 1);
    Target doubted = target("a");
    doubted.suspected = true;
    router.setTargets({doubted});
    CHECK(router.choose({}, NOW));
}
