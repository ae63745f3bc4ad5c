/** @file odd_status_test.cpp What follows an answer of a server with a status that is none of HTTP.
 */
#include "dispatch/dispatcher.h"
#include "node/host_call_executor.h"
#include "run_loop.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cornelwell;

namespace {

const CallFields FIELDS = {"Id",          "Deadline", "Instance", "Not-Run",    "Seal",  "Caller",
                           "Retry-After", "Limit",    "Leaving",  "Credential", "Tenant"};
constexpr TimePoint NOW{100000};

struct Listener : HostCallListener
{
    void callCompleted(const CallOrigin &origin, const HostOutcome &outcome) override
    {
        outcomes[origin.offer] = outcome;
    }
    void bodyGranted(const CallOrigin &, std::uint64_t) override {}
    void serverStateChanged() override {}
    void requestSuspectedOfCrash(std::uint64_t, const std::string &) override { crashes++; }

    std::map<OfferId, HostOutcome> outcomes;
    unsigned crashes = 0;
};

/** The daemon beside a server that follows a script. */
struct Host
{
    Host()
    {
        log.setIdentity("vm", "east");
        ServerReport report;
        report.instance = "i";
        report.service = ServiceName("desk");
        report.address = server.endpoint();
        report.slots = 4;
        report.sequence = 1;
        report.startTimeMs = 1;
        executor.handleReport(report);
    }

    /** @return the outcome of a request at the server. */
    HostOutcome run(bool idempotent)
    {
        LinkCall call;
        call.offer = ++lastOffer;
        call.request.path = "/";
        call.requestId = "r";
        call.route = "r";
        call.deadlineLeft = call.softDeadlineLeft = seconds(20);
        call.idempotent = idempotent;
        executor.offer({ServerId("a"), 1, lastOffer}, call);
        runUntil(loop, [&] { return listener.outcomes.count(lastOffer) != 0; });
        REQUIRE(listener.outcomes.count(lastOffer) != 0);
        return listener.outcomes[lastOffer];
    }

    EventLoop loop;
    ScriptedServer server{loop};
    DecisionLog log{loop.clock(), {DecisionLogLevel::Off, 1, 0, 1}};
    Listener listener;
    OutputScheduler link{OutputSchedulerOptions()};
    HostCallExecutor executor{loop, FIELDS, listener, log, link};
    OfferId lastOffer = 0;
};

/** The daemon that took the request, with two servers to choose from. */
struct Sender
{
    Sender()
    {
        for (const char *name : {"first", "second"}) {
            table.addOrUpdate(
                {ServerId(name), DataCentreId("east"), {"127.0.0.1", 1}, ServiceName("desk"), 1},
                true);
            Peer &peer = *table.find(ServerId(name));
            peer.linked = true;
            peer.lastMessageAt = NOW;
            peer.load.instance = name;
            peer.load.service = ServiceName("desk");
            peer.load.state = HostState::Ready;
            peer.load.slots = 4;
            peer.load.workMs = 100;
        }
    }

    DispatchActions begin(bool idempotent)
    {
        auto route = std::make_shared<Route>();
        route->name = "r";
        route->idempotent = idempotent;
        route->attemptsMax = 3;
        route->timeout = {1000};
        RequestAttributes attributes;
        attributes.route = route;
        attributes.service = ServiceName("desk");
        attributes.deadline = NOW + Duration{1000};
        attributes.callerDeadline = NOW + Duration{1200};
        attributes.softDeadline = NOW + Duration{500};
        return dispatcher.begin(1, attributes, NOW);
    }

    PeerTable table{
        {ServerId("me"), DataCentreId("east"), {"127.0.0.1", 1}, ServiceName("other"), 1},
        PeerOptions()};
    ServiceRetryBudget budget{{0.1, 40, seconds(10)}};
    Dispatcher dispatcher{table, budget, [] { return HostLoad(); }, DispatchOptions(), 1};
};

} // namespace

// Guards against a status of 000 that is passed on, that a caller waits out, or after which an
// unsafe request runs a second time.
TEST_CASE("after a status that is none of HTTP only what may be repeated is tried again", "[node]")
{
    const std::string status = GENERATE("000", "001", "099", "600", "999");
    const bool claimsNotRun = GENERATE(false, true);
    Host host;
    host.server.script.parts
        = {"HTTP/1.1 " + status + " Odd\r\nId: r\r\nSeal: s\r\n"
           + (claimsNotRun ? "Not-Run: 1\r\n" : "") + "Content-Length: 2\r\n\r\nok"};
    SECTION("an unsafe request")
    {
        const HostOutcome outcome = host.run(false);
        CHECK(outcome.state == RunState::Unknown);
        CHECK(outcome.reason == HostReason::Garbled);
        Sender sender;
        const auto offers = sender.begin(false);
        const auto actions
            = sender.dispatcher.offerEnded(std::get<SendOffer>(offers.at(0)).offer, outcome, NOW);
        REQUIRE(actions.size() == 1);
        // 502 promises nothing; 503 would promise that the request has not run.
        CHECK(std::get<SendLocalReply>(actions[0]).status == 502);
    }
    SECTION("an idempotent request")
    {
        const HostOutcome outcome = host.run(true);
        CHECK(outcome.state == RunState::Unknown);
        Sender sender;
        const auto offers = sender.begin(true);
        const SendOffer first = std::get<SendOffer>(offers.at(0));
        const auto retried = sender.dispatcher.offerEnded(first.offer, outcome, NOW);
        REQUIRE(retried.size() == 1);
        const SendOffer second = std::get<SendOffer>(retried[0]);
        CHECK(second.daemon != first.daemon);
        const auto last = sender.dispatcher.offerEnded(second.offer, outcome, NOW);
        REQUIRE(last.size() == 1);
        CHECK(std::get<SendLocalReply>(last[0]).status == 502);
    }
}

TEST_CASE("a status that is none of HTTP counts as a failure of the server, not as its end",
          "[node]")
{
    Host host;
    host.server.script.parts = {"HTTP/1.1 000 Odd\r\nId: r\r\nSeal: s\r\n\r\n"};
    for (int i = 0; i < 5; i++)
        host.run(true);
    CHECK(host.executor.load().failureRate > 0.2);
    CHECK(host.executor.load().state == HostState::Ready);
    CHECK(host.executor.load().running == 0);
    CHECK(host.listener.crashes == 0);
    // Each answer ended its connection, and later ones are read as before.
    CHECK(host.server.connections() == 5);
    host.server.script.parts
        = {"HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"};
    CHECK(host.run(true).state == RunState::Answered);
}
