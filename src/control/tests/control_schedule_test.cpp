/** @file control_schedule_test.cpp Random schedules of faults; the promises about versions hold at
 * each step. */
#include "fake_fleet.h"
#include "sample_entries.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace cornelwell;

namespace {

constexpr std::size_t DAEMONS = 9;
constexpr int STEPS = 60;
constexpr std::uint64_t SEEDS = 40;
const char *const PLACES[] = {"dc-1", "dc-2", "dc-3", "platform"};

/** One random fault or its end, or a change by an operator. */
void disturb(FakeFleet &fleet, Random &random, int step)
{
    const std::size_t daemon = random.below(DAEMONS);
    const std::string from = PLACES[random.below(4)];
    const std::string to = PLACES[random.below(4)];
    switch (random.below(10)) {
    case 0:
        if (fleet.isUp(daemon))
            fleet.kill(daemon);
        break;
    case 1:
    case 2:
        if (!fleet.isUp(daemon))
            fleet.start(daemon);
        break;
    case 3:
        if (fleet.isUp(daemon))
            fleet.setPaused(daemon, random.chance(500));
        break;
    case 4:
        fleet.setCut(from, to, random.chance(400));
        break;
    case 5:
        fleet.platformDown = random.chance(300);
        break;
    case 6:
        fleet.faults.dropPerMille = static_cast<unsigned>(random.below(3)) * 50;
        fleet.faults.duplicatePerMille = static_cast<unsigned>(random.below(2)) * 100;
        fleet.faults.delayMax = {1 + static_cast<std::int64_t>(random.below(200))};
        break;
    case 7:
        fleet.platformStalePerMille = static_cast<unsigned>(random.below(2)) * 200;
        break;
    default:
        fleet.propose("entry-" + std::to_string(step));
    }
}

void healAll(FakeFleet &fleet)
{
    for (const char *from : PLACES) {
        for (const char *to : PLACES)
            fleet.setCut(from, to, false);
    }
    fleet.platformDown = false;
    fleet.platformStalePerMille = 0;
    fleet.faults = NetworkFaults();
    for (std::size_t i = 0; i < DAEMONS; i++) {
        fleet.setPaused(i, false);
        if (!fleet.isUp(i))
            fleet.start(i);
    }
}

/** Disturbs a fleet, then heals it; the fleet checks each version that is applied. */
void runSchedule(std::uint64_t seed)
{
    INFO("seed " << seed);
    FakeFleet fleet(seed);
    Random random(seed * 7919);
    for (std::size_t i = 0; i < DAEMONS; i++)
        fleet.addDaemon(PLACES[i % 3]);
    fleet.startAll();
    for (int step = 0; step < STEPS; step++) {
        fleet.run({static_cast<std::int64_t>(random.below(2500))});
        disturb(fleet, random, step);
    }
    healAll(fleet);
    const Revision newest = fleet.propose("last");
    fleet.run(seconds(60));
    CHECK(fleet.leastRevision() == newest);
    CHECK(fleet.tablesAgree());
    CHECK(fleet.revertsOverRestart == 0);
    for (std::size_t i = 0; i < DAEMONS; i++)
        CHECK(fleet.node(i).membership().members().size() == DAEMONS);
}

} // namespace

TEST_CASE("under random faults no version goes back or is torn, and all daemons end on the newest",
          "[control]")
{
    for (std::uint64_t seed = 1; seed <= SEEDS; seed++)
        runSchedule(seed);
    // Found later: a new daemon without peers ran the first, stale answer of the platform.
    for (const std::uint64_t seed : {213, 243, 318})
        runSchedule(seed);
}

TEST_CASE("more schedules, by hand", "[.][schedules]")
{
    const char *const first = std::getenv("CORNELWELL_FIRST_SEED");
    const std::uint64_t begin = first != nullptr ? std::strtoull(first, nullptr, 10) : 1;
    for (std::uint64_t seed = begin; seed < begin + SEEDS; seed++)
        runSchedule(seed);
}
