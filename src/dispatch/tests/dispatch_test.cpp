/** @file dispatch_test.cpp Choice of servers, repeats and final answers of one request. */
#include "dispatch/dispatcher.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

DaemonRecord record(const std::string &name, const std::string &centre)
{
    return {ServerId(name), DataCentreId(centre), {"127.0.0.1", 1}, ServiceName("desk"), 1};
}

/** A daemon `me` in `east` without a server, and peers with servers. */
struct Fixture
{
    PeerTable table{record("me", "east"), PeerOptions()};
    ServiceRetryBudget budget{{0.1, 40, seconds(10)}};
    Dispatcher dispatcher{table, budget, [] { return HostLoad(); }, DispatchOptions(), 1};
    PendingRequestId last = 0;

    void peer(const std::string &name, const std::string &centre = "east", unsigned running = 0,
              double workMs = 100)
    {
        table.addOrUpdate(record(name, centre), true);
        Peer &one = *table.find(ServerId(name));
        one.linked = true;
        one.lastMessageAt = NOW;
        one.load.instance = "i-" + name;
        one.load.service = ServiceName("desk");
        one.load.state = HostState::Ready;
        one.load.slots = 4;
        one.load.running = running;
        one.load.workMs = workMs;
    }

    DispatchActions begin(bool idempotent = true, unsigned attempts = 2, bool fromServer = false)
    {
        auto route = std::make_shared<Route>();
        route->name = "r";
        route->idempotent = idempotent;
        route->attemptsMax = attempts;
        route->timeout = {1000};
        RequestAttributes attributes;
        attributes.route = route;
        attributes.service = ServiceName("desk");
        attributes.deadline = NOW + Duration{1000};
        attributes.callerDeadline = NOW + Duration{1200};
        attributes.softDeadline = NOW + Duration{500};
        attributes.fromLocalServer = fromServer;
        return dispatcher.begin(++last, attributes, NOW);
    }
};

template<typename Action>
const Action &only(const DispatchActions &actions)
{
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<Action>(actions[0]));
    return std::get<Action>(actions[0]);
}

HostOutcome outcome(RunState state, HostReason reason, bool handed, int status = 0)
{
    HostOutcome one;
    one.state = state;
    one.reason = reason;
    one.sentToServer = handed;
    one.response.status = status;
    return one;
}

} // namespace

TEST_CASE("the own data centre first, unless it would miss the goal", "[dispatch]")
{
    Fixture fixture;
    fixture.peer("near", "east", 2);
    fixture.peer("far", "west");
    CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "near");
    fixture.table.find(ServerId("near"))->load.queued = 40;
    CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "far");
}

TEST_CASE("a slow, failing, silent or leaving server is passed over", "[dispatch]")
{
    Fixture fixture;
    fixture.peer("good", "east", 1, 100);
    fixture.peer("other", "east", 0, 100);
    Peer &other = *fixture.table.find(ServerId("other"));
    SECTION("slow")
    {
        other.load.workMs = 900;
    }
    SECTION("failing")
    {
        other.load.failureRate = 0.5;
    }
    SECTION("silent")
    {
        other.lastMessageAt = NOW - Duration{5000};
    }
    SECTION("leaving")
    {
        other.shuttingDown = true;
    }
    SECTION("draining")
    {
        other.load.state = HostState::Draining;
    }
    SECTION("another service")
    {
        other.load.service = ServiceName("registry");
    }
    SECTION("cold")
    {
        other.load.cold = true;
    }
    for (int i = 0; i < 5; i++) {
        fixture.table.find(ServerId("good"))->callsInFlight = 0;
        CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "good");
    }
}

TEST_CASE("refusals between daemons go on to others and spend no budget", "[dispatch]")
{
    Fixture fixture;
    fixture.peer("a");
    fixture.peer("b");
    const SendOffer first = only<SendOffer>(fixture.begin(false, 1));
    const auto second = fixture.dispatcher.offerEnded(
        first.offer, outcome(RunState::NotRun, HostReason::Full, false), NOW);
    CHECK(only<SendOffer>(second).daemon != first.daemon);
    const auto last = fixture.dispatcher.offerEnded(
        only<SendOffer>(second).offer, outcome(RunState::NotRun, HostReason::Full, false), NOW);
    const SendLocalReply answer = only<SendLocalReply>(last);
    CHECK(answer.status == 503);
    CHECK(answer.retryAfter.ms > 0);
    CHECK(answer.retryAfter.ms <= 600);
    CHECK(fixture.dispatcher.pendingCount() == 0);
}

TEST_CASE("without a server the refusal says when to come back", "[dispatch]")
{
    Fixture fixture;
    const SendLocalReply answer = only<SendLocalReply>(fixture.begin());
    CHECK(answer.status == 503);
    CHECK(answer.retryAfter.ms > 0);
}

TEST_CASE("what may not be repeated goes on only from not run", "[dispatch]")
{
    Fixture fixture;
    fixture.peer("a");
    fixture.peer("b");
    const SendOffer sent = only<SendOffer>(fixture.begin(false));
    SECTION("unknown")
    {
        const auto actions = fixture.dispatcher.offerEnded(
            sent.offer, outcome(RunState::Unknown, HostReason::Broken, true), NOW);
        CHECK(only<SendLocalReply>(actions).status == 502);
    }
    SECTION("a failure")
    {
        const auto actions = fixture.dispatcher.offerEnded(
            sent.offer, outcome(RunState::Answered, HostReason::None, true, 500), NOW);
        CHECK(only<ForwardResponse>(actions).response.status == 500);
    }
    SECTION("shed by the server")
    {
        const auto actions = fixture.dispatcher.offerEnded(
            sent.offer, outcome(RunState::NotRun, HostReason::ServerShed, true), NOW);
        CHECK(only<SendOffer>(actions).daemon != sent.daemon);
    }
    SECTION("the link broke: it is asked on the next one")
    {
        CHECK(fixture.dispatcher.linkLost(sent.daemon, NOW).empty());
        const auto asked = fixture.dispatcher.linkOpened(sent.daemon, false, NOW);
        CHECK(only<AskOutcome>(asked).offer == sent.offer);
        const auto again = fixture.dispatcher.offerEnded(
            sent.offer, outcome(RunState::NotRun, HostReason::Forgotten, false), NOW);
        CHECK(std::holds_alternative<SendOffer>(again.at(0)));
    }
    SECTION("the link broke and the daemon started anew: nobody knows")
    {
        fixture.dispatcher.linkLost(sent.daemon, NOW);
        const auto actions = fixture.dispatcher.linkOpened(sent.daemon, true, NOW);
        CHECK(only<SendLocalReply>(actions).status == 502);
    }
}

TEST_CASE("what may be repeated is, elsewhere, within attempts and budget", "[dispatch]")
{
    Fixture fixture;
    fixture.peer("a");
    fixture.peer("b");
    fixture.peer("c");
    const SendOffer first = only<SendOffer>(fixture.begin());
    const SendOffer second = only<SendOffer>(fixture.dispatcher.offerEnded(
        first.offer, outcome(RunState::Answered, HostReason::None, true, 500), NOW));
    CHECK(second.daemon != first.daemon);
    const auto last = fixture.dispatcher.offerEnded(
        second.offer, outcome(RunState::Unknown, HostReason::Broken, true), NOW);
    CHECK(only<ForwardResponse>(last).response.status == 500);

    int repeats = 0;
    for (int i = 0; i < 100; i++) {
        const SendOffer sent = only<SendOffer>(fixture.begin());
        const auto actions = fixture.dispatcher.offerEnded(
            sent.offer, outcome(RunState::Unknown, HostReason::Broken, true), NOW);
        if (!std::holds_alternative<SendOffer>(actions.at(0)))
            continue;
        repeats++;
        fixture.dispatcher.offerEnded(std::get<SendOffer>(actions[0]).offer,
                                      outcome(RunState::Answered, HostReason::None, true, 200),
                                      NOW);
    }
    CHECK(repeats >= 10);
    CHECK(repeats <= 32);
}

TEST_CASE("what failed deeper is not repeated at each depth; at the first at twice the price",
          "[dispatch]")
{
    Fixture fixture;
    fixture.peer("a");
    fixture.peer("b");
    HostOutcome deep = outcome(RunState::Answered, HostReason::None, true, 500);
    deep.nestedFailure = true;
    const OfferId inner = only<SendOffer>(fixture.begin(true, 2, true)).offer;
    CHECK(only<ForwardResponse>(fixture.dispatcher.offerEnded(inner, deep, NOW)).response.status
          == 500);
    const OfferId shallow = only<SendOffer>(fixture.begin(true, 2, true)).offer;
    deep.nestedFailure = false;
    CHECK(std::holds_alternative<SendOffer>(fixture.dispatcher.offerEnded(shallow, deep, NOW)[0]));
    deep.nestedFailure = true;
    unsigned repeats = 0;
    for (int i = 0; i < 1000; i++) {
        const OfferId offer = only<SendOffer>(fixture.begin()).offer;
        const auto actions = fixture.dispatcher.offerEnded(offer, deep, NOW);
        repeats += std::holds_alternative<SendOffer>(actions[0]) ? 1 : 0;
    }
    // A tenth of the requests earns a token each, and some slack comes on top.
    CHECK(repeats >= 50);
    CHECK(repeats <= 62);
}

TEST_CASE("the caller leaves, or the time is over: the offer is given up at once", "[dispatch]")
{
    Fixture fixture;
    fixture.peer("a");
    const SendOffer sent = only<SendOffer>(fixture.begin());
    CHECK(only<CancelOffer>(fixture.dispatcher.callerLeft(fixture.last)).offer == sent.offer);
    CHECK(fixture.table.find(ServerId("a"))->callsInFlight == 0);
    fixture.begin();
    const auto actions = fixture.dispatcher.timedOut(fixture.last);
    REQUIRE(actions.size() == 2);
    CHECK(std::get<SendLocalReply>(actions[1]).status == 504);
    CHECK(fixture.dispatcher.offerEnded(sent.offer, HostOutcome(), NOW).empty());
}

TEST_CASE("a second server is asked besides a slow one, and the first answer counts", "[dispatch]")
{
    Fixture fixture;
    fixture.peer("slow", "east", 0, 300);
    const SendOffer sent = only<SendOffer>(fixture.begin());
    CHECK(fixture.dispatcher.hedgeDelay(fixture.last, NOW).ms == 300);
    CHECK(fixture.dispatcher.hedge(fixture.last, NOW).empty());
    fixture.peer("fast", "east", 4, 100);
    CHECK(fixture.dispatcher.hedge(fixture.last, NOW).empty());
    fixture.peer("fast", "east", 0, 100);
    const SendOffer hedge = only<SendOffer>(fixture.dispatcher.hedge(fixture.last, NOW));
    CHECK(hedge.waitMax.ms == 0);
    SECTION("the second answers")
    {
        const auto actions = fixture.dispatcher.offerEnded(
            hedge.offer, outcome(RunState::Answered, HostReason::None, true, 200), NOW);
        REQUIRE(actions.size() == 2);
        CHECK(std::holds_alternative<ForwardResponse>(actions[0]));
        CHECK(std::get<CancelOffer>(actions[1]).offer == sent.offer);
        CHECK(std::get<CancelOffer>(actions[1]).onlyWaiting);
    }
    SECTION("the second has no room: the first goes on")
    {
        CHECK(
            fixture.dispatcher
                .offerEnded(hedge.offer, outcome(RunState::NotRun, HostReason::Busier, false), NOW)
                .empty());
        const auto actions = fixture.dispatcher.offerEnded(
            sent.offer, outcome(RunState::Answered, HostReason::None, true, 200), NOW);
        CHECK(std::holds_alternative<ForwardResponse>(actions.at(0)));
    }
    Fixture commits;
    commits.peer("slow", "east", 0, 300);
    commits.begin(false);
    CHECK(commits.dispatcher.hedgeDelay(commits.last, NOW).ms == 0);
}
