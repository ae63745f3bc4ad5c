/** @file report_order_test.cpp Which of several reports of a VM's server counts. */
#include "hosting/host_scheduler.h"
#include "hosting/report_order.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

ServerReport makeReport(const std::string &instance, std::int64_t startTimeMs,
                        std::uint64_t sequence)
{
    ServerReport report;
    report.instance = instance;
    report.service = ServiceName("desk");
    report.address = {"10.0.0.1", 80};
    report.slots = 2;
    report.startTimeMs = startTimeMs;
    report.sequence = sequence;
    return report;
}

/** Delivers a report of each 1.5 s. @return when the server was registered; NEVER if it was not. */
TimePoint reportUntilRegistered(HostScheduler &scheduler, const std::string &instance,
                                std::int64_t startTimeMs, std::uint64_t sequence)
{
    for (int i = 0; i < 20; i++) {
        const TimePoint at = NOW + Duration{1500 * (i + 1)};
        scheduler.handleReport(makeReport(instance, startTimeMs, sequence++), at);
        if (scheduler.reportVerdict() == ReportVerdict::Current)
            return at;
    }
    return NEVER;
}

} // namespace

TEST_CASE("the origin of a report is the VM's service and address", "[hosting]")
{
    const Endpoint address{"10.0.0.1", 80};
    const ServerReport report = makeReport("a", 10, 1);
    CHECK(checkReportOrigin(report, ServiceName("desk"), address) == ReportVerdict::Current);
    CHECK(checkReportOrigin(report, ServiceName("far"), address) == ReportVerdict::OtherService);
    CHECK(checkReportOrigin(report, ServiceName("desk"), {"10.0.0.1", 81})
          == ReportVerdict::OtherAddress);
    CHECK(checkReportOrigin(report, ServiceName(), {}) == ReportVerdict::Current);
}

// Guards against a start that outranks a sound server for good: a false one, or that of a server
// whose clock was ahead.
TEST_CASE("a registered server that has fallen silent gives way to one that goes on reporting",
          "[hosting]")
{
    HostScheduler scheduler{HostSchedulerOptions()};
    scheduler.handleReport(makeReport("false", 99999, 1), NOW);
    CHECK(reportUntilRegistered(scheduler, "sound", 10, 5) == NOW + Duration{6000});
    CHECK(scheduler.instance() == "sound");
}

// Guards against a sequence that outranks the server's own for good.
TEST_CASE("a sequence far ahead does not keep a server's later reports out", "[hosting]")
{
    HostScheduler scheduler{HostSchedulerOptions()};
    scheduler.handleReport(makeReport("a", 10, 1'000'000'000), NOW);
    scheduler.handleServerDown(NOW);
    REQUIRE(reportUntilRegistered(scheduler, "a", 10, 5) == NOW + Duration{6000});
    CHECK(scheduler.state() == HostState::Ready);
}

// Guards against late reports that register a crashed server in place of the one that runs.
TEST_CASE("late reports of an earlier server do not outrank one that reports", "[hosting]")
{
    HostScheduler scheduler{HostSchedulerOptions()};
    for (std::uint64_t i = 0; i < 20; i++) {
        const TimePoint at = NOW + Duration{static_cast<std::int64_t>(i) * 1500};
        scheduler.handleReport(makeReport("b", 20, i), at);
        CHECK(scheduler.reportVerdict() == ReportVerdict::Current);
        scheduler.handleReport(makeReport("a", 10, 100 + i), at + Duration{700});
        CHECK(scheduler.reportVerdict() == ReportVerdict::EarlierStart);
        scheduler.handleReport(makeReport("b", 20, i), at + Duration{800});
        CHECK(scheduler.reportVerdict() == ReportVerdict::EarlierReport);
    }
    CHECK(scheduler.instance() == "b");
}

// Guards against the return of a server that leaves: silence is no reason for it.
TEST_CASE("reports of a server that leaves stay set aside, however many there are", "[hosting]")
{
    HostScheduler scheduler{HostSchedulerOptions()};
    scheduler.handleReport(makeReport("a", 10, 50), NOW);
    ServerReport draining = makeReport("a", 10, 51);
    draining.draining = true;
    scheduler.handleReport(draining, NOW);
    CHECK(reportUntilRegistered(scheduler, "a", 10, 5) == NEVER);
    scheduler.handleDeregistration("a", 10, NOW);
    CHECK(reportUntilRegistered(scheduler, "a", 10, 60) == NEVER);
    CHECK(scheduler.reportVerdict() == ReportVerdict::Departed);
}

TEST_CASE("a server that another one has answered for gives way at once", "[hosting]")
{
    HostScheduler scheduler{HostSchedulerOptions()};
    scheduler.handleReport(makeReport("sound", 10, 1), NOW);
    scheduler.handleReport(makeReport("false", 99999, 1), NOW);
    CHECK(scheduler.instance() == "false");
    scheduler.handleInstanceChanged(NOW);
    scheduler.handleReport(makeReport("sound", 10, 2), NOW);
    CHECK(scheduler.instance() == "sound");
    scheduler.handleReport(makeReport("false", 99999, 2), NOW);
    CHECK(scheduler.reportVerdict() == ReportVerdict::Disproved);
    CHECK(scheduler.instance() == "sound");
    // Without a registered server that is ready it counts again: the answer may have been wrong.
    scheduler.handleServerDown(NOW);
    scheduler.handleReport(makeReport("false", 99999, 3), NOW);
    CHECK(scheduler.instance() == "false");
}

// Guards against an answer to a call of the previous server that takes the next one out of use.
TEST_CASE("a call at the previous server says nothing about the registered one", "[hosting]")
{
    HostScheduler scheduler{HostSchedulerOptions()};
    scheduler.handleReport(makeReport("a", 10, 1), NOW);
    HostCall call;
    call.id = 1;
    call.deadline = call.softDeadline = NOW + seconds(5);
    REQUIRE(scheduler.submit(call, NOW).size() == 1);
    CHECK(scheduler.isAtRegisteredServer(1));
    CHECK_FALSE(scheduler.isAtRegisteredServer(2));
    scheduler.handleReport(makeReport("b", 20, 1), NOW);
    CHECK_FALSE(scheduler.isAtRegisteredServer(1));
}

// Guards against deregistrations of other writers in great number, which drop that of a server.
TEST_CASE("many deregistrations of unknown servers do not bring a departed one back", "[hosting]")
{
    HostScheduler scheduler{HostSchedulerOptions()};
    scheduler.handleReport(makeReport("a", 10, 1), NOW);
    scheduler.handleDeregistration("a", 0, NOW);
    scheduler.handleReport(makeReport("b", 20, 1), NOW);
    for (int i = 0; i < 500; i++)
        scheduler.handleDeregistration("x" + std::to_string(i), 0, NOW + Duration{1 + i});
    scheduler.handleInstanceChanged(NOW + seconds(2));
    scheduler.handleReport(makeReport("a", 10, 2), NOW + seconds(2));
    CHECK(scheduler.reportVerdict() == ReportVerdict::Departed);
}
