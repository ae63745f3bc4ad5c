/** @file dispatch_test.cpp Tests of server choice, retries, hedges and final answers. */
#include "dispatch/dispatcher.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

DaemonRecord record(const std::string &name, const std::string &dataCentre)
{
    return {ServerId(name), DataCentreId(dataCentre), {"127.0.0.1", 1}, ServiceName("desk"), 1};
}

/** Dispatcher of daemon `me` in data centre `east`, which has no local server. */
struct Fixture
{
    PeerTable table{record("me", "east"), PeerOptions()};
    ServiceRetryBudget budget{{0.1, 40, seconds(10)}};
    Dispatcher dispatcher{table, budget, [] { return HostLoad(); }, DispatchOptions(), 1};
    PendingRequestId last = 0;

    void addPeer(const std::string &name, const std::string &dataCentre = "east",
                 unsigned running = 0, double workMs = 100)
    {
        table.addOrUpdate(record(name, dataCentre), true);
        Peer &peer = *table.find(ServerId(name));
        peer.linked = true;
        peer.lastMessageAt = NOW;
        peer.load.instance = "i-" + name;
        peer.load.service = ServiceName("desk");
        peer.load.state = HostState::Ready;
        peer.load.slots = 4;
        peer.load.running = running;
        peer.load.workMs = workMs;
    }

    DispatchActions begin(bool idempotent = true, unsigned attempts = 2,
                          bool fromLocalServer = false,
                          std::optional<unsigned> tenantPriority = std::nullopt,
                          unsigned routePriority = 0, std::size_t bodyBytes = 0)
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
        attributes.fromLocalServer = fromLocalServer;
        attributes.bodyBytes = bodyBytes;
        attributes.tenantPriority = tenantPriority;
        route->priority = routePriority;
        return dispatcher.begin(++last, attributes, NOW);
    }
    DispatchActions beginUpload(std::size_t bytes)
    {
        return begin(false, 1, false, std::nullopt, 0, bytes);
    }
};

template<typename Action>
const Action &only(const DispatchActions &actions)
{
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<Action>(actions[0]));
    return std::get<Action>(actions[0]);
}

HostOutcome makeOutcome(RunState state, HostReason reason, bool sentToServer, int status = 0)
{
    HostOutcome outcome;
    outcome.state = state;
    outcome.reason = reason;
    outcome.sentToServer = sentToServer;
    outcome.response.status = status;
    return outcome;
}

} // namespace

TEST_CASE("a server of the own data centre is chosen unless it would miss the soft deadline",
          "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("near", "east", 2);
    fixture.addPeer("far", "west");
    CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "near");
    fixture.table.find(ServerId("near"))->load.queued = 40;
    CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "far");
}

// Guards against senders that count slots only: a server with free slots whose limit is used up
// looked like the best one.
TEST_CASE("a server whose limit is used up is passed over until its wait is over", "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("limited", "east", 0, 60);
    fixture.addPeer("slow", "east", 0, 150);
    Peer &limited = *fixture.table.find(ServerId("limited"));
    CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "limited");
    limited.load.requestsPerSecond = 2;
    limited.load.limitWaitMs = 400;
    limited.loadReportedAt = NOW;
    limited.callsInFlight = limited.callsInFlightAtReport = 0;
    CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "slow");
    limited.loadReportedAt = NOW - Duration{400};
    CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "limited");
    // The request just sent takes the next place of the limit.
    CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "slow");
}

TEST_CASE("large answers go where the link is free, small ones to the fast server", "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("fast", "east", 0, 60);
    fixture.addPeer("free", "east", 0, 110);
    for (const char *name : {"fast", "free"})
        fixture.table.find(ServerId(name))->load.linkBytesPerSecond = 1'000'000;
    fixture.table.find(ServerId("fast"))->load.linkBytesCommitted = 600'000;
    CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "fast");
    HostOutcome answer = makeOutcome(RunState::Answered, HostReason::None, true, 200);
    answer.processingTime = {80};
    answer.response.body.assign(100'000, 'x');
    fixture.dispatcher.offerEnded(1, answer, NOW);
    CHECK(only<SendOffer>(fixture.begin()).daemon.text() == "free");
    CHECK(fixture.table.find(ServerId("free"))->bulkBytesInFlight == 100'000);
    CHECK(fixture.dispatcher.bulkBytesOf(2) == 100'000);
    fixture.dispatcher.offerEnded(2, answer, NOW);
    CHECK(fixture.table.find(ServerId("free"))->bulkBytesInFlight == 0);
    CHECK(fixture.dispatcher.bulkBytesOf(2) == 0);
}

TEST_CASE("downloads sent since a peer's report count for its link", "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("a");
    fixture.addPeer("b");
    for (const char *name : {"a", "b"})
        fixture.table.find(ServerId(name))->load.linkBytesPerSecond = 1'000'000;
    const auto first = only<SendOffer>(fixture.begin());
    HostOutcome answer = makeOutcome(RunState::Answered, HostReason::None, true, 200);
    answer.processingTime = {80};
    answer.response.body.assign(200'000, 'x');
    fixture.dispatcher.offerEnded(first.offer, answer, NOW);
    std::map<std::string, int> offers;
    for (int i = 0; i < 4; i++)
        offers[only<SendOffer>(fixture.begin()).daemon.text()]++;
    CHECK(offers["a"] == 2);
    CHECK(offers["b"] == 2);
}

TEST_CASE("a slow, failing, unresponsive or draining server is not chosen", "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("good", "east", 1, 100);
    fixture.addPeer("other", "east", 0, 100);
    Peer &other = *fixture.table.find(ServerId("other"));
    SECTION("slow")
    {
        other.load.workMs = 900;
    }
    SECTION("failing")
    {
        other.load.failureRate = 0.5;
    }
    SECTION("hosting daemon unresponsive")
    {
        other.lastMessageAt = NOW - Duration{5000};
    }
    SECTION("hosting daemon shutting down")
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

TEST_CASE("an offer that a daemon refuses is made elsewhere and takes no retry budget",
          "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("a");
    fixture.addPeer("b");
    const SendOffer first = only<SendOffer>(fixture.begin(false, 1));
    const auto second = fixture.dispatcher.offerEnded(
        first.offer, makeOutcome(RunState::NotRun, HostReason::Full, false), NOW);
    CHECK(only<SendOffer>(second).daemon != first.daemon);
    const auto last = fixture.dispatcher.offerEnded(
        only<SendOffer>(second).offer, makeOutcome(RunState::NotRun, HostReason::Full, false), NOW);
    const SendLocalReply answer = only<SendLocalReply>(last);
    CHECK(answer.status == 503);
    CHECK(answer.retryAfter.ms > 0);
    CHECK(answer.retryAfter.ms <= 600);
    CHECK(fixture.dispatcher.pendingCount() == 0);
}

TEST_CASE("without a server the caller gets 503 with a retry delay", "[dispatch]")
{
    Fixture fixture;
    const SendLocalReply answer = only<SendLocalReply>(fixture.begin());
    CHECK(answer.status == 503);
    CHECK(answer.retryAfter.ms > 0);
}

TEST_CASE("a request that is not idempotent is retried only when it has not run", "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("a");
    fixture.addPeer("b");
    const SendOffer sent = only<SendOffer>(fixture.begin(false));
    SECTION("the connection broke while the server ran it")
    {
        const auto actions = fixture.dispatcher.offerEnded(
            sent.offer, makeOutcome(RunState::Unknown, HostReason::Broken, true), NOW);
        CHECK(only<SendLocalReply>(actions).status == 502);
    }
    SECTION("the server answered with a failure")
    {
        const auto actions = fixture.dispatcher.offerEnded(
            sent.offer, makeOutcome(RunState::Answered, HostReason::None, true, 500), NOW);
        CHECK(only<ForwardResponse>(actions).response.status == 500);
    }
    SECTION("the server shed it")
    {
        const auto actions = fixture.dispatcher.offerEnded(
            sent.offer, makeOutcome(RunState::NotRun, HostReason::ServerShed, true), NOW);
        CHECK(only<SendOffer>(actions).daemon != sent.daemon);
    }
    SECTION("the link broke: the outcome is asked for when the link is open again")
    {
        CHECK(fixture.dispatcher.linkLost(sent.daemon, NOW).empty());
        const auto asked = fixture.dispatcher.linkOpened(sent.daemon, false, NOW);
        CHECK(only<AskOutcome>(asked).offer == sent.offer);
        const auto again = fixture.dispatcher.offerEnded(
            sent.offer, makeOutcome(RunState::NotRun, HostReason::Forgotten, false), NOW);
        CHECK(std::holds_alternative<SendOffer>(again.at(0)));
    }
    SECTION("the link broke and the daemon restarted: the outcome stays unknown")
    {
        fixture.dispatcher.linkLost(sent.daemon, NOW);
        const auto actions = fixture.dispatcher.linkOpened(sent.daemon, true, NOW);
        CHECK(only<SendLocalReply>(actions).status == 502);
    }
}

TEST_CASE("an idempotent request is retried on another server, within attempts and budget",
          "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("a");
    fixture.addPeer("b");
    fixture.addPeer("c");
    const SendOffer first = only<SendOffer>(fixture.begin());
    const SendOffer second = only<SendOffer>(fixture.dispatcher.offerEnded(
        first.offer, makeOutcome(RunState::Answered, HostReason::None, true, 500), NOW));
    CHECK(second.daemon != first.daemon);
    const auto last = fixture.dispatcher.offerEnded(
        second.offer, makeOutcome(RunState::Unknown, HostReason::Broken, true), NOW);
    CHECK(only<ForwardResponse>(last).response.status == 500);

    int retries = 0;
    for (int i = 0; i < 100; i++) {
        const SendOffer sent = only<SendOffer>(fixture.begin());
        const auto actions = fixture.dispatcher.offerEnded(
            sent.offer, makeOutcome(RunState::Unknown, HostReason::Broken, true), NOW);
        if (!std::holds_alternative<SendOffer>(actions.at(0)))
            continue;
        retries++;
        fixture.dispatcher.offerEnded(std::get<SendOffer>(actions[0]).offer,
                                      makeOutcome(RunState::Answered, HostReason::None, true, 200),
                                      NOW);
    }
    CHECK(retries >= 10);
    CHECK(retries <= 32);
}

TEST_CASE("a nested failure is retried only for a caller's own request, at twice the cost",
          "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("a");
    fixture.addPeer("b");
    HostOutcome failure = makeOutcome(RunState::Answered, HostReason::None, true, 500);
    failure.nestedFailure = true;
    const OfferId nestedFailure = only<SendOffer>(fixture.begin(true, 2, true)).offer;
    CHECK(only<ForwardResponse>(fixture.dispatcher.offerEnded(nestedFailure, failure, NOW))
              .response.status
          == 500);
    const OfferId ownFailure = only<SendOffer>(fixture.begin(true, 2, true)).offer;
    failure.nestedFailure = false;
    CHECK(std::holds_alternative<SendOffer>(
        fixture.dispatcher.offerEnded(ownFailure, failure, NOW)[0]));
    failure.nestedFailure = true;
    unsigned retries = 0;
    for (int i = 0; i < 1000; i++) {
        const OfferId offer = only<SendOffer>(fixture.begin()).offer;
        const auto actions = fixture.dispatcher.offerEnded(offer, failure, NOW);
        retries += std::holds_alternative<SendOffer>(actions[0]) ? 1 : 0;
    }
    // Each request earns a tenth of a token, a retry costs two tokens, and the slack adds a few.
    CHECK(retries >= 50);
    CHECK(retries <= 62);
}

// Guards against a called service that has lost servers: requests sent again after a failed nested
// call, which could only be late, took the places of first attempts.
TEST_CASE("what is sent again after a failure goes behind first attempts once it is late",
          "[dispatch]")
{
    for (const bool late : {false, true}) {
        Fixture fixture;
        fixture.addPeer("a");
        fixture.addPeer("b");
        const SendOffer first = only<SendOffer>(fixture.begin());
        HostOutcome failed = makeOutcome(RunState::Answered, HostReason::None, true, 500);
        failed.nestedFailure = true;
        const TimePoint now = NOW + Duration{late ? 501 : 100};
        const SendOffer again
            = only<SendOffer>(fixture.dispatcher.offerEnded(first.offer, failed, now));
        CHECK(fixture.dispatcher.attributes(again.request)->isRetry);
        CHECK((again.rank > first.rank) == late);
    }
}

TEST_CASE("when the caller disconnects or the deadline passes, the offer is cancelled at once",
          "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("a");
    const SendOffer sent = only<SendOffer>(fixture.begin());
    CHECK(only<CancelOffer>(fixture.dispatcher.callerDisconnected(fixture.last)).offer
          == sent.offer);
    CHECK(fixture.table.find(ServerId("a"))->callsInFlight == 0);
    fixture.begin();
    const auto actions = fixture.dispatcher.timedOut(fixture.last);
    REQUIRE(actions.size() == 2);
    CHECK(std::get<SendLocalReply>(actions[1]).status == 504);
    CHECK(fixture.dispatcher.offerEnded(sent.offer, HostOutcome(), NOW).empty());
}

TEST_CASE("a slow request is hedged on a second server, and the first answer counts", "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("slow", "east", 0, 300);
    const SendOffer sent = only<SendOffer>(fixture.begin());
    CHECK(fixture.dispatcher.hedgeDelay(fixture.last, NOW).ms == 300);
    CHECK(fixture.dispatcher.hedge(fixture.last, NOW).empty());
    fixture.addPeer("fast", "east", 4, 100);
    CHECK(fixture.dispatcher.hedge(fixture.last, NOW).empty());
    fixture.addPeer("fast", "east", 0, 100);
    const SendOffer hedge = only<SendOffer>(fixture.dispatcher.hedge(fixture.last, NOW));
    CHECK(hedge.queueWaitMax.ms == 0);
    SECTION("the second server answers")
    {
        const auto actions = fixture.dispatcher.offerEnded(
            hedge.offer, makeOutcome(RunState::Answered, HostReason::None, true, 200), NOW);
        REQUIRE(actions.size() == 2);
        CHECK(std::holds_alternative<ForwardResponse>(actions[0]));
        CHECK(std::get<CancelOffer>(actions[1]).offer == sent.offer);
        CHECK(std::get<CancelOffer>(actions[1]).onlyIfQueued);
    }
    SECTION("the second server is busy: the first one goes on")
    {
        CHECK(fixture.dispatcher
                  .offerEnded(hedge.offer, makeOutcome(RunState::NotRun, HostReason::Busier, false),
                              NOW)
                  .empty());
        const auto actions = fixture.dispatcher.offerEnded(
            sent.offer, makeOutcome(RunState::Answered, HostReason::None, true, 200), NOW);
        CHECK(std::holds_alternative<ForwardResponse>(actions.at(0)));
    }
    Fixture nonIdempotent;
    nonIdempotent.addPeer("slow", "east", 0, 300);
    nonIdempotent.begin(false);
    CHECK(nonIdempotent.dispatcher.hedgeDelay(nonIdempotent.last, NOW).ms == 0);
}

// Guards against bodies that all go to the one server of the own data centre: its link filled.
TEST_CASE("a large request body goes where its transfer ends in time", "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("near");
    fixture.addPeer("far", "west");
    for (const char *name : {"near", "far"})
        fixture.table.find(ServerId(name))->load.linkBytesPerSecond = 1'162'500;
    Peer &near = *fixture.table.find(ServerId("near"));
    CHECK(only<SendOffer>(fixture.beginUpload(60'000)).daemon.text() == "near");
    CHECK(near.uploadBytesInFlight == 60'000);
    // 700 ms of earlier bodies miss the soft deadline, which costs more than the way to the west.
    near.load.linkInBytesCommitted = 800'000;
    const DispatchActions actions = fixture.beginUpload(60'000);
    CHECK(only<SendOffer>(actions).daemon.text() == "far");
    CHECK(fixture.dispatcher.uploadBytesOf(only<SendOffer>(actions).offer) == 60'000);
    // Small requests do not wait for bodies.
    CHECK(only<SendOffer>(fixture.beginUpload(12'000)).daemon.text() == "near");
    CHECK(near.uploadBytesInFlight == 60'000);
}

TEST_CASE("bodies offered since the last report count as on their way", "[dispatch]")
{
    Fixture fixture;
    fixture.addPeer("a");
    fixture.addPeer("b");
    std::map<std::string, unsigned> sent;
    for (const char *name : {"a", "b"}) {
        fixture.table.find(ServerId(name))->load.linkBytesPerSecond = 1'162'500;
        fixture.table.find(ServerId(name))->load.slots = 100;
    }
    for (int i = 0; i < 8; i++)
        sent[only<SendOffer>(fixture.beginUpload(120'000)).daemon.text()]++;
    CHECK(sent["a"] == 4);
    CHECK(sent["b"] == 4);
    HostOutcome refused = makeOutcome(RunState::NotRun, HostReason::Full, false);
    refused.retryAfter = {50};
    fixture.dispatcher.offerEnded(1, refused, NOW);
    // The refused body has been offered to the other server.
    CHECK(fixture.table.find(ServerId("a"))->uploadBytesInFlight
              + fixture.table.find(ServerId("b"))->uploadBytesInFlight
          == 8 * 120'000);
}

// Guards against a tenant of low priority that overtakes others on a route of high priority.
TEST_CASE("nested calls go first, then the tenant's priority decides, then the route's",
          "[tenants][dispatch]")
{
    Fixture fixture;
    fixture.addPeer("a");
    const auto rank = [&](std::optional<unsigned> tenant, unsigned route, bool nested = false) {
        return std::get<SendOffer>(fixture.begin(true, 2, nested, tenant, route).front()).rank;
    };
    CHECK(rank(0, 3, true) < rank(0, 0));
    CHECK(rank(5, 3, true) < rank(0, 0));
    CHECK(rank(0, 9) < rank(1, 0));
    CHECK(rank(1, 0) < rank(1, 1));
    CHECK(rank(4'000'000'000, 4'000'000'000) > rank(7, 0));
    // Without tenants the ranks are those of earlier builds.
    CHECK(rank(std::nullopt, 0) == 3);
    CHECK(rank(std::nullopt, 2) == 11);
    CHECK(rank(std::nullopt, 2, true) == 9);
}

namespace {

/** Fixture whose daemon knows a roll-out of v2 in a stage. */
struct RolloutFixture : Fixture
{
    RolloutRegistry rollouts{table, [] { return HostLoad(); }, RegistryOptions(), 1};

    RolloutFixture()
    {
        dispatcher.setRollouts(&rollouts);
        for (const char *name : {"old-1", "old-2"})
            addVersion(name, "v1");
    }

    void addVersion(const std::string &name, const std::string &version, unsigned running = 0)
    {
        addPeer(name, "east", running);
        table.find(ServerId(name))->load.version = version;
    }

    void learn(RolloutPhase phase, unsigned stage)
    {
        RolloutState state;
        state.service = ServiceName("desk");
        state.target = "v2";
        state.baseline = {"v1"};
        state.phase = phase;
        state.stage = stage;
        state.revision = ++revision;
        rollouts.learn(state, NOW);
        rollouts.tick(NOW);
    }

    /** @return versions of the servers that the next requests are offered to. */
    std::map<std::string, int> offers(int count)
    {
        std::map<std::string, int> versions;
        for (int i = 0; i < count; i++) {
            const DispatchActions actions = begin();
            const auto *offer = std::get_if<SendOffer>(&actions.at(0));
            versions[offer == nullptr ? "none" : table.find(offer->daemon)->load.version]++;
            dispatcher.callerDisconnected(last);
        }
        return versions;
    }

    std::uint64_t revision = 0;
};

} // namespace

// Guards against requests at versions that the roll-out's state does not allow.
TEST_CASE("the share of the target version goes to its servers, all else to the baseline",
          "[dispatch]")
{
    using Counts = std::map<std::string, int>;
    RolloutFixture f;
    CHECK(f.offers(50) == Counts{{"v1", 50}});
    f.addVersion("new-1", "v2");
    f.addVersion("odd-1", "v9");
    CHECK(f.offers(50) == Counts{{"v1", 50}});
    f.learn(RolloutPhase::Active, 0);
    CHECK(f.offers(50) == Counts{{"v1", 50}});
    f.learn(RolloutPhase::Active, 3);
    CHECK(f.offers(100) == Counts{{"v1", 90}, {"v2", 10}});
    // A full target server is no reason to wait.
    f.table.find(ServerId("new-1"))->load.running = 4;
    CHECK(f.offers(50) == Counts{{"v1", 50}});
    f.table.find(ServerId("new-1"))->load.running = 0;
    // Without any baseline server the target serves, unless it was found bad.
    for (const char *name : {"old-1", "old-2"})
        f.table.find(ServerId(name))->load.state = HostState::Down;
    CHECK(f.offers(20) == Counts{{"v2", 20}});
    f.rollouts.suspend(ServiceName("desk"), NOW);
    CHECK(f.offers(20) == Counts{{"none", 20}});
    for (const char *name : {"old-1", "old-2"})
        f.table.find(ServerId(name))->load.state = HostState::Ready;
    CHECK(f.offers(20) == Counts{{"v1", 20}});
    f.learn(RolloutPhase::RolledBack, 3);
    CHECK(f.offers(20) == Counts{{"v1", 20}});
    RolloutFixture completed;
    completed.addVersion("new-1", "v2");
    completed.learn(RolloutPhase::Completed, 6);
    CHECK(completed.offers(20) == Counts{{"v2", 20}});
}

// Guards against a bad version that gets a request's retries, and against retries at the baseline
// that keep old servers busy at the end of a roll-out.
TEST_CASE(
    "a request that failed at a target server is retried at the baseline until the last stage",
    "[dispatch]")
{
    for (const unsigned stage : {5U, 6U}) {
        RolloutFixture f;
        for (const char *name : {"new-1", "new-2", "new-3", "new-4", "new-5", "new-6"})
            f.addVersion(name, "v2");
        REQUIRE(f.table.peers().size() == 8);
        f.learn(RolloutPhase::Active, stage);
        for (int i = 0; i < 10; i++) {
            const SendOffer offer = only<SendOffer>(f.begin());
            if (f.table.find(offer.daemon)->load.version != "v2")
                continue;
            const HostOutcome failure
                = makeOutcome(RunState::Answered, HostReason::None, true, 500);
            const SendOffer retry
                = only<SendOffer>(f.dispatcher.offerEnded(offer.offer, failure, NOW));
            CHECK(f.table.find(retry.daemon)->load.version == (stage == 6 ? "v2" : "v1"));
            f.dispatcher.callerDisconnected(f.last);
        }
    }
}
