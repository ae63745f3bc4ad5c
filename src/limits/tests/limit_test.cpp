/** @file limit_test.cpp Parts of voted limits, and the window. */
#include "base/random.h"
#include "limits/limit_window.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace cornelwell;

TEST_CASE("the parts add up to the voted limit, for any limit and any number of servers",
          "[limits]")
{
    for (std::uint32_t servers = 1; servers <= 40; servers++) {
        for (std::uint32_t rate = 1; rate <= 120; rate += 7) {
            VotedLimits limits;
            limits.ratePerSecond = rate;
            limits.concurrency = rate + 3;
            limits.servers = servers;
            std::uint32_t rates = 0;
            std::uint32_t runs = 0;
            for (std::uint32_t index = 0; index <= servers + 3; index++) {
                rates += partOf(limits, index).ratePerSecond;
                runs += partOf(limits, index).concurrency;
            }
            REQUIRE(rates == rate);
            REQUIRE(runs == rate + 3);
        }
    }
}

TEST_CASE("no second has more starts than the voted rate, also while the limit is lowered",
          "[limits]")
{
    constexpr std::uint32_t SERVERS = 7;
    for (std::uint64_t seed = 1; seed <= 20; seed++) {
        Random random(seed);
        VotedLimits limits;
        limits.servers = SERVERS;
        limits.ratePerSecond = 50;
        std::vector<LimitWindow> windows(SERVERS);
        std::vector<TimePoint> starts;
        TimePoint now{1000};
        TimePoint lowered = NEVER;
        for (int step = 0; step < 3000; step++) {
            now = now + milliseconds(static_cast<std::int64_t>(random.below(6)));
            if (step == 1500) {
                limits.ratePerSecond = 20;
                lowered = now;
            }
            const auto server = random.below(SERVERS);
            if (windows[server]
                    .start(partOf(limits, static_cast<std::uint32_t>(server) + 1), now)
                    .granted)
                starts.push_back(now);
        }
        for (std::size_t i = 0; i < starts.size(); i++) {
            const auto end
                = std::upper_bound(starts.begin(), starts.end(), starts[i] + milliseconds(999));
            const auto inSecond = static_cast<std::uint32_t>(end - starts.begin()) - i;
            REQUIRE(inSecond <= 50);
            if (starts[i] >= lowered + seconds(2))
                REQUIRE(inSecond <= 20);
        }
    }
}

TEST_CASE("runs at once stay within the part, and a refusal says when to come back", "[limits]")
{
    VotedLimits limits;
    limits.concurrency = 4;
    limits.servers = 2;
    LimitWindow window;
    const LimitPart part = partOf(limits, 1);
    CHECK(window.start(part, {0}).granted);
    CHECK(window.start(part, {0}).granted);
    const LimitAnswer refused = window.start(part, {0});
    CHECK_FALSE(refused.granted);
    CHECK(refused.retryAfter > Duration{0});
    window.finish();
    CHECK(window.start(part, {0}).granted);
    CHECK_FALSE(LimitWindow().start(partOf(limits, 0), {0}).granted);
}
