/** @file shutdown_schedule_test.cpp Requests at each moment of a shutdown. */
#include "node/shutdown_schedule.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint BEGUN{100000};

TimePoint after(std::int64_t ms)
{
    return BEGUN + Duration{ms};
}

} // namespace

// Guards against requests that come late in the grace, are passed on, and are cut off at its end:
// every request accepted after the notice time has its deadline before the process ends.
TEST_CASE("no request that is accepted late in the grace outlives the process", "[node]")
{
    for (const Duration grace : {seconds(1), seconds(3), seconds(6), seconds(30)}) {
        ShutdownSchedule schedule;
        CHECK(schedule.accepts(after(1000000), grace, BEGUN));
        schedule.begin(BEGUN);
        for (std::int64_t at = 0; at < grace.ms; at += 50) {
            for (std::int64_t left = 50; left < 2 * grace.ms; left += 50) {
                INFO("grace " << grace.ms << ", at " << at << ", time left " << left);
                const TimePoint now = after(at);
                const TimePoint deadline = after(at + left);
                const bool accepted = schedule.accepts(deadline, grace, now);
                // It ends by its deadline while the loop still runs.
                const bool endsInTime = !schedule.isOver(grace, deadline - Duration{1});
                if (schedule.callersKnow(grace, now))
                    CHECK(accepted == endsInTime);
                else
                    CHECK(accepted);
            }
        }
        CHECK(schedule.isOver(grace, after(grace.ms - 500)));
        CHECK_FALSE(schedule.isOver(grace, after(grace.ms - 501)));
    }
}

// Guards against a process that waits for its notice time although the platform knows already, and
// against readiness checks before the shutdown that count.
TEST_CASE("two denied readiness checks tell the platform of a shutdown", "[node]")
{
    ShutdownSchedule schedule;
    schedule.recordNotReady();
    schedule.recordNotReady();
    schedule.begin(BEGUN);
    CHECK_FALSE(schedule.callersKnow(seconds(6), after(1000)));
    schedule.recordNotReady();
    CHECK_FALSE(schedule.callersKnow(seconds(6), after(1000)));
    schedule.recordNotReady();
    CHECK(schedule.callersKnow(seconds(6), after(1000)));
    ShutdownSchedule silent;
    silent.begin(BEGUN);
    CHECK_FALSE(silent.callersKnow(seconds(6), after(2299)));
    CHECK(silent.callersKnow(seconds(6), after(2300)));
}
