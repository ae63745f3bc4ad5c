/** @file hosting_test.cpp Order of a server's reports, slots, and which calls wait. */
#include "hosting/host_scheduler.h"
#include "hosting/nested_failures.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

ServerReport report(const std::string &instance, std::int64_t born, std::uint64_t sequence,
                    bool draining = false)
{
    ServerReport one;
    one.instance = instance;
    one.service = ServiceName("desk");
    one.slots = 2;
    one.startTimeMs = born;
    one.sequence = sequence;
    one.draining = draining;
    return one;
}

HostCall call(HostCallId id, std::int64_t goalMs = 500, std::int64_t deadlineMs = 1200,
              unsigned rank = 5)
{
    HostCall one;
    one.id = id;
    one.route = "r";
    one.rank = rank;
    one.softDeadline = NOW + Duration{goalMs};
    one.deadline = NOW + Duration{deadlineMs};
    return one;
}

bool starts(const HostDecisions &decisions, HostCallId id)
{
    return decisions.size() == 1 && decisions[0].id == id
           && decisions[0].verdict == HostVerdict::Start;
}

bool refuses(const HostDecisions &decisions, HostCallId id, HostReason reason)
{
    return decisions.size() == 1 && decisions[0].id == id
           && decisions[0].verdict == HostVerdict::Refuse && decisions[0].reason == reason;
}

/** A gate whose server has two slots and takes 100 ms for a call. */
HostScheduler readyGate()
{
    HostScheduler gate{HostSchedulerOptions()};
    gate.handleReport(report("a", 10, 1), NOW);
    for (HostCallId id = 1000; id < 1100; id++) {
        gate.submit(call(id), NOW);
        gate.complete(id, HostFinish::Served, {100}, NOW);
    }
    return gate;
}

} // namespace

TEST_CASE("nothing is handed over before a server reports, nor after it leaves", "[hosting]")
{
    HostScheduler gate{HostSchedulerOptions()};
    CHECK(refuses(gate.submit(call(1), NOW), 1, HostReason::NoServer));
    gate.handleReport(report("a", 10, 1), NOW);
    CHECK(starts(gate.submit(call(2), NOW), 2));
    gate.handleReport(report("a", 10, 2, true), NOW);
    CHECK(refuses(gate.submit(call(3), NOW), 3, HostReason::ServerDraining));
    gate.handleReport(report("a", 10, 1), NOW);
    CHECK(gate.load(NOW).state == HostState::Draining);
}

TEST_CASE("a late report of a server that left does not bring it back", "[hosting]")
{
    SECTION("the leave is the first that is heard of it: the daemon has just started")
    {
        HostScheduler gate{HostSchedulerOptions()};
        gate.handleDeregistration("a", 0, NOW);
        gate.handleReport(report("a", 10, 16), NOW + Duration{2000});
        CHECK(refuses(gate.submit(call(1), NOW), 1, HostReason::NoServer));
    }
    SECTION("it is known")
    {
        HostScheduler gate = readyGate();
        gate.handleDeregistration("a", 0, NOW);
        gate.handleReport(report("a", 10, 99), NOW + Duration{500});
        CHECK(gate.load(NOW).state == HostState::Draining);
        gate.handleReport(report("a", 11, 1), NOW + Duration{3000});
        CHECK(gate.load(NOW).state == HostState::Ready);
    }
}

TEST_CASE("reports are ordered by start and sequence", "[hosting]")
{
    HostScheduler gate = readyGate();
    gate.handleReport(report("b", 20, 1), NOW);
    CHECK(gate.instance() == "b");
    gate.handleReport(report("a", 10, 200), NOW);
    CHECK(gate.instance() == "b");
    CHECK(refuses(
        [&] {
            HostCall meant = call(1);
            meant.instance = "a";
            return gate.submit(meant, NOW);
        }(),
        1, HostReason::InstanceChanged));
}

TEST_CASE("a server that does not listen gets nothing until it reports again", "[hosting]")
{
    HostScheduler gate = readyGate();
    gate.submit(call(1), NOW);
    gate.submit(call(2), NOW);
    gate.submit(call(3), NOW);
    CHECK(refuses(gate.handleServerDown(NOW), 3, HostReason::ConnectFailed));
    CHECK(refuses(gate.submit(call(4), NOW), 4, HostReason::NoServer));
    gate.handleReport(report("a", 10, 2), NOW);
    CHECK(gate.load(NOW).state == HostState::Ready);
}

TEST_CASE("slots bound what runs; better ranks go first; what cannot meet its goal is refused",
          "[hosting]")
{
    HostScheduler gate = readyGate();
    CHECK(starts(gate.submit(call(1), NOW), 1));
    CHECK(starts(gate.submit(call(2), NOW), 2));
    CHECK(gate.submit(call(3), NOW).empty());
    CHECK(gate.submit(call(4, 500, 1200, 1), NOW).empty());
    CHECK(refuses(gate.submit(call(5, 120), NOW), 5, HostReason::Full));
    CHECK(starts(gate.complete(1, HostFinish::Served, {100}, NOW), 4));
    CHECK(gate.load(NOW).queued == 1);
    CHECK(gate.load(NOW).running == 2);
}

TEST_CASE("a sender's longest wait is kept, and told apart from a full server", "[hosting]")
{
    HostScheduler gate = readyGate();
    gate.submit(call(1), NOW);
    gate.submit(call(2), NOW);
    HostCall picky = call(3);
    picky.waitMax = {0};
    CHECK(refuses(gate.submit(picky, NOW), 3, HostReason::Busier));
    picky.id = 4;
    picky.waitMax = {-1};
    CHECK(gate.submit(picky, NOW).empty());
}

TEST_CASE("of one rank those go first that can still meet their goal; the others are told",
          "[hosting]")
{
    HostScheduler gate = readyGate();
    gate.submit(call(1), NOW);
    gate.submit(call(2), NOW);
    CHECK(gate.submit(call(3, 210), NOW).empty());
    CHECK(gate.submit(call(4, 900), NOW).empty());
    const TimePoint later = NOW + Duration{150};
    CHECK(starts(gate.complete(1, HostFinish::Served, {100}, later), 4));
    gate.submit(call(5, 900), later);
    CHECK(refuses(gate.tick(later), 3, HostReason::Full));
}

TEST_CASE("what came back after its goal may wait for a gap, not longer", "[hosting]")
{
    HostScheduler gate = readyGate();
    gate.submit(call(1), NOW);
    gate.submit(call(2), NOW);
    HostCall back = call(3, -100);
    CHECK(refuses(gate.submit(back, NOW), 3, HostReason::Full));
    back.id = 4;
    back.isRetry = true;
    CHECK(gate.submit(back, NOW).empty());
    for (HostCallId id = 5; id < 8; id++)
        gate.submit(call(id), NOW);
    back.id = 9;
    CHECK(refuses(gate.submit(back, NOW), 9, HostReason::Full));
}

TEST_CASE("calls that run for long raise the expected wait before they end", "[hosting]")
{
    HostScheduler gate{HostSchedulerOptions()};
    ServerReport wide = report("a", 10, 1);
    wide.slots = 4;
    gate.handleReport(wide, NOW);
    for (HostCallId id = 1; id <= 4; id++)
        gate.submit(call(id), NOW);
    const TimePoint later = NOW + Duration{2000};
    CHECK(gate.load(later).workMs > 2000);
    HostCall next = call(5);
    next.softDeadline = later + Duration{500};
    next.deadline = later + Duration{5000};
    CHECK(refuses(gate.submit(next, later), 5, HostReason::Full));
}

TEST_CASE("a call without time is refused at once, one that waits when its time is over",
          "[hosting]")
{
    HostScheduler gate = readyGate();
    CHECK(refuses(gate.submit(call(1, 30, 30), NOW), 1, HostReason::TooLate));
    gate.submit(call(2), NOW);
    gate.submit(call(3), NOW);
    CHECK(gate.submit(call(4), NOW).empty());
    CHECK(refuses(gate.tick(NOW + Duration{1190}), 4, HostReason::TooLate));
    CHECK_FALSE(gate.cancelQueued(4));
}

TEST_CASE("a daemon that stops hands back what waits and takes nothing new", "[hosting]")
{
    HostScheduler gate = readyGate();
    gate.submit(call(1), NOW);
    gate.submit(call(2), NOW);
    gate.submit(call(3), NOW);
    CHECK(refuses(gate.beginShutdown(NOW), 3, HostReason::DaemonLeaving));
    CHECK(refuses(gate.submit(call(4), NOW), 4, HostReason::DaemonLeaving));
    CHECK(gate.complete(1, HostFinish::Served, {100}, NOW).empty());
}

TEST_CASE("a failed call of the server explains one failure soon after it", "[hosting]")
{
    NestedFailures failures;
    const TimePoint now{5000};
    CHECK_FALSE(failures.takeMatch(now));
    failures.record(now);
    CHECK(failures.takeMatch(now + Duration{5}));
    CHECK_FALSE(failures.takeMatch(now + Duration{6}));
    failures.record(now);
    CHECK_FALSE(failures.takeMatch(now + seconds(1)));
}
