/** @file bandwidth_test.cpp Load patterns of a slow link: bulk beside small messages, many flows.
 */
#include "bandwidth/output_scheduler.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cornelwell;

namespace {

constexpr std::uint64_t LINK_BYTES_PER_SECOND = 1'000'000;

OutputSchedulerOptions slowLink()
{
    OutputSchedulerOptions options;
    options.bytesPerSecond = LINK_BYTES_PER_SECOND;
    return options;
}

/** Grants of a span of time, one step per millisecond. */
std::map<OutputFlowId, std::size_t> grantsUntil(OutputScheduler &scheduler, TimePoint from,
                                                TimePoint until)
{
    std::map<OutputFlowId, std::size_t> sent;
    for (TimePoint now = from; now < until; now = now + Duration{1}) {
        while (const auto grant = scheduler.next(now))
            sent[grant->flow] += grant->bytes;
    }
    return sent;
}

} // namespace

TEST_CASE("bulk on a slow link never queues more than a burst and a frame", "[bandwidth]")
{
    OutputScheduler scheduler(slowLink());
    for (OutputFlowId flow = 1; flow <= 20; flow++)
        scheduler.add(flow, 500'000, 1);
    double linkQueueBytes = 0;
    double longestMs = 0;
    for (TimePoint now{1000}; now < TimePoint{4000}; now = now + Duration{1}) {
        linkQueueBytes = std::max(0.0, linkQueueBytes - LINK_BYTES_PER_SECOND / 1000.0);
        while (const auto grant = scheduler.next(now))
            linkQueueBytes += static_cast<double>(grant->bytes);
        longestMs = std::max(longestMs, linkQueueBytes * 1000 / LINK_BYTES_PER_SECOND);
    }
    // A small message that is written at any moment leaves after this wait.
    CHECK(longestMs < 30);
    CHECK(scheduler.backlogBytes() < 20 * 500'000 - 2'700'000);
}

TEST_CASE("flows share a slow link by weight, and an early large one does not starve others",
          "[bandwidth]")
{
    OutputScheduler scheduler(slowLink());
    scheduler.add(1, 10'000'000, 1);
    grantsUntil(scheduler, TimePoint{1000}, TimePoint{2000});
    scheduler.add(2, 10'000'000, 1);
    scheduler.add(3, 10'000'000, 2);
    const auto sent = grantsUntil(scheduler, TimePoint{2000}, TimePoint{4000});
    CHECK(sent.at(1) == Approx(sent.at(2)).margin(20'000));
    CHECK(sent.at(3) == Approx(2.0 * sent.at(2)).margin(40'000));
}

TEST_CASE("small messages leave at once and bulk makes up for them", "[bandwidth]")
{
    OutputScheduler scheduler(slowLink());
    scheduler.add(1, 10'000'000, 1);
    grantsUntil(scheduler, TimePoint{1000}, TimePoint{2000});
    std::size_t bulk = 0;
    for (TimePoint now{2000}; now < TimePoint{4000}; now = now + Duration{1}) {
        scheduler.recordSent(300, now);
        while (const auto grant = scheduler.next(now))
            bulk += grant->bytes;
    }
    CHECK(bulk + 2000 * 300 <= LINK_BYTES_PER_SECOND * 2 * 95 / 100);
    CHECK(bulk >= 1'200'000);
}

TEST_CASE("a burst of small messages delays bulk for a bounded time only", "[bandwidth]")
{
    OutputScheduler scheduler(slowLink());
    scheduler.recordSent(50'000'000, TimePoint{1000});
    scheduler.add(1, 100'000, 1);
    REQUIRE(scheduler.delay(TimePoint{1000}));
    CHECK(scheduler.delay(TimePoint{1000})->ms <= 501);
    CHECK_FALSE(scheduler.next(TimePoint{1000}));
    CHECK(scheduler.next(TimePoint{1502}));
}

TEST_CASE("the delay tells exactly when the next frame may leave", "[bandwidth]")
{
    OutputScheduler scheduler(slowLink());
    CHECK_FALSE(scheduler.delay(TimePoint{1000}));
    scheduler.add(1, 1'000'000, 1);
    TimePoint now{1000};
    for (int frame = 0; frame < 50; frame++) {
        while (scheduler.next(now))
            continue;
        const Duration delay = *scheduler.delay(now);
        REQUIRE(delay.ms > 0);
        CHECK_FALSE(scheduler.next(now + delay - Duration{1}));
        now = now + delay;
        REQUIRE(scheduler.next(now));
    }
}

TEST_CASE("a caller that does not read holds back only its own flow", "[bandwidth]")
{
    OutputScheduler scheduler(slowLink());
    scheduler.add(1, 50'000, 1);
    scheduler.add(2, 50'000, 1);
    scheduler.block(1);
    const auto sent = grantsUntil(scheduler, TimePoint{1000}, TimePoint{2000});
    CHECK(sent.count(1) == 0);
    CHECK(sent.at(2) == 50'000);
    CHECK(scheduler.backlogBytes() == 50'000);
    CHECK_FALSE(scheduler.delay(TimePoint{2000}));
    CHECK(scheduler.unblockAll());
    CHECK(scheduler.next(TimePoint{2000})->flow == 1);
    scheduler.remove(1);
    CHECK(scheduler.backlogBytes() == 0);
    CHECK_FALSE(scheduler.unblockAll());
    CHECK_FALSE(scheduler.next(TimePoint{2001}));
}

TEST_CASE("with an unknown rate nothing waits, and flows still take turns", "[bandwidth]")
{
    OutputScheduler scheduler{OutputSchedulerOptions()};
    scheduler.add(1, 100'000, 1);
    scheduler.add(2, 100'000, 1);
    const OutputFlowId first = scheduler.next(TimePoint{0})->flow;
    const OutputFlowId second = scheduler.next(TimePoint{0})->flow;
    CHECK(first != second);
    CHECK(scheduler.delay(TimePoint{0})->ms == 0);
    while (scheduler.next(TimePoint{0}))
        continue;
    CHECK(scheduler.backlogBytes() == 0);
}
