/** @file nested_routes_test.cpp Routes of nested calls among those of other callers. */
#include "base/random.h"
#include "callgraph/nested_routes.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr int STEPS = 20000;         ///< Milliseconds of virtual time.
constexpr unsigned CALLER_RANK = 10; ///< Of the requests that make the nested calls.
constexpr unsigned OTHER_RANK = 6;   ///< Of the other requests of the server.

/** A server whose requests end at random, beside callers and nested calls; all from one address. */
struct VmTraffic
{
    NestedRoutes routes;
    Random random{7};
    double endsPerMs = 0.04;
    double answersPerMs = 0.03;
    int millisecond = 0;

    bool happens(double perMs)
    {
        constexpr std::uint64_t SCALE = 1000000;
        return static_cast<double>(random.below(SCALE)) < perMs * SCALE;
    }
    /** @param nestedPerMs Answered nested calls; each is followed by the end of its request. */
    void run(int steps, double nestedPerMs)
    {
        for (int i = 0; i < steps; i++, millisecond++) {
            const TimePoint now{100000 + millisecond};
            if (happens(endsPerMs))
                routes.recordEnd(OTHER_RANK, now);
            if (happens(answersPerMs))
                routes.recordAnswer("caller", now);
            // An answer of the local server's own request follows its end at once.
            if (happens(answersPerMs)) {
                routes.recordEnd(OTHER_RANK, now);
                routes.recordAnswer("own", now);
            }
            if (happens(nestedPerMs)) {
                routes.recordAnswer("nested", now);
                routes.recordEnd(CALLER_RANK, now + Duration{1});
            }
        }
    }
};

} // namespace

// Guards against callers' requests that are taken for nested calls, and the other way round.
TEST_CASE("routes of nested calls are told from those of other callers", "[callgraph]")
{
    VmTraffic traffic;
    traffic.run(STEPS, 0.02);
    CHECK(traffic.routes.isNested("nested"));
    CHECK_FALSE(traffic.routes.isNested("caller"));
    CHECK_FALSE(traffic.routes.isNested("own"));
    CHECK_FALSE(traffic.routes.isNested("unknown"));
    CHECK(traffic.routes.nestedCount() == 1);
    CHECK(traffic.routes.lift("nested") > 0.6);
    CHECK(traffic.routes.callerRank("nested") == CALLER_RANK);
    CHECK_FALSE(traffic.routes.callerRank("caller"));
}

// Guards against a busy server, where an end follows nearly each answer by chance.
TEST_CASE("a busy server hides no nested calls and makes up none", "[callgraph]")
{
    VmTraffic traffic;
    traffic.endsPerMs = 0.3;
    traffic.answersPerMs = 0.2;
    traffic.run(STEPS, 0.05);
    CHECK_FALSE(traffic.routes.isNested("caller"));
    CHECK_FALSE(traffic.routes.isNested("own"));
}

// Guards against a guess from few answers, and against a belief that outlives its reason.
TEST_CASE("a route is nested after enough answers and no longer than they show it", "[callgraph]")
{
    NestedRoutes routes;
    TimePoint now{1000};
    const auto answers = [&](int count, bool ends) {
        for (int i = 0; i < count; i++, now = now + Duration{50}) {
            routes.recordAnswer("r", now);
            if (ends)
                routes.recordEnd(CALLER_RANK, now + Duration{2});
        }
        routes.recordAnswer("other", now);
    };
    answers(29, true);
    CHECK_FALSE(routes.isNested("r"));
    answers(10, true);
    CHECK(routes.isNested("r"));
    answers(200, false);
    CHECK_FALSE(routes.isNested("r"));
    NestedRoutesOptions off;
    off.enabled = false;
    NestedRoutes none(off);
    for (int i = 0; i < 100; i++) {
        none.recordAnswer("r", now + Duration{50 * i});
        none.recordEnd(CALLER_RANK, now + Duration{50 * i + 1});
    }
    CHECK_FALSE(none.isNested("r"));
}
