/** @file quota_test.cpp Buckets, tokens at a daemon, coordinators and their exchange. */
#include "base/hash_func.h"
#include "quota/quota_client.h"
#include "quota/quota_coordinator.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};
const ServerId ME("me");
const ServerId OTHER("other");

template<typename Action>
std::vector<Action> only(const QuotaActions &actions)
{
    std::vector<Action> found;
    for (const QuotaAction &action : actions) {
        if (const auto *one = std::get_if<Action>(&action))
            found.push_back(*one);
    }
    return found;
}

std::uint64_t rendezvousWeightOf(const std::string &name)
{
    return rendezvousWeight(name, "t");
}

QuotaMembers members(std::vector<ServerId> responsive, std::size_t known)
{
    return {std::move(responsive), known, true};
}

/** A client whose coordinator is another daemon. */
struct ClientFixture
{
    QuotaFleet fleet{ME};
    QuotaClient client{fleet, QuotaOptions()};
    std::uint64_t asked = 0; ///< Number of the last message.

    explicit ClientFixture(double perSecond = 40, double burst = 40)
    {
        fleet.setMembers(members({OTHER}, 4));
        client.setQuotas({{"t", perSecond, burst}, {"free", 0, 0}}, NOW);
    }
    QuotaActions acquire(std::uint64_t request, TimePoint now)
    {
        QuotaActions actions = client.acquire("t", request, now);
        for (const auto &sent : only<SendQuotaRequest>(actions))
            asked = sent.request.id;
        return actions;
    }
    QuotaActions grant(std::uint32_t granted, TimePoint now, Duration retryAfter = {0},
                       bool coordinating = true)
    {
        return client.handleGrant({asked, "t", granted, retryAfter, coordinating}, now);
    }
};

/** A coordinator of two daemons among four. */
struct CoordinatorFixture
{
    QuotaFleet fleet{ME};
    QuotaCoordinator coordinator{fleet, DataCentreId("east"), QuotaOptions(), NOW - seconds(60)};

    CoordinatorFixture()
    {
        fleet.setMembers(members({ME}, 2));
        coordinator.setQuotas({{"t", 40, 40}}, NOW);
        coordinator.setRemoteDataCentres({DataCentreId("west")});
    }
    QuotaGrant ask(std::uint32_t wanted, TimePoint now, std::uint32_t fallback = 0)
    {
        coordinator.tick(now);
        return coordinator.handleRequest(OTHER, {1, "t", wanted, 0, fallback}, now);
    }
    /** Lets time pass as the daemon does. */
    void run(TimePoint from, TimePoint until)
    {
        for (TimePoint now = from; now <= until; now = now + Duration{100})
            coordinator.tick(now);
    }
};

} // namespace

// Guards against a bucket that keeps more than its depth, or tokens above a lowered quota.
TEST_CASE("a bucket refills up to its depth and shrinks with it", "[quota]")
{
    TokenBucket bucket;
    bucket.configure(10, 5, NOW);
    CHECK(bucket.take(1, NOW) == 0);
    CHECK(bucket.take(9, NOW + Duration{250}) == 2);
    CHECK(bucket.tokens(NOW + seconds(60)) == 5);
    bucket.configure(10, 2, NOW + seconds(60));
    CHECK(bucket.take(9, NOW + seconds(60)) == 2);
    bucket.add(9, NOW + seconds(60));
    CHECK(bucket.take(9, NOW + seconds(60)) == 2);
    RateEstimate rate(seconds(1));
    for (int i = 0; i < 100; i++)
        rate.add(1, NOW + Duration{i * 100});
    CHECK(rate.perSecond(NOW + seconds(10)) == Approx(10).margin(1));
}

// Guards against one kept token at each of many daemons: 74 tokens of a quota of 4.8 a second.
TEST_CASE("fallback buckets of many daemons together keep to a small quota", "[quota]")
{
    constexpr unsigned DAEMONS = 74;
    constexpr double QUOTA = 4.8;
    std::vector<FallbackBucket> buckets;
    for (unsigned i = 0; i < DAEMONS; i++) {
        buckets.emplace_back((i * 29 % DAEMONS) / static_cast<double>(DAEMONS));
        buckets.back().enter(NOW);
    }
    const auto takeAll = [&](TimePoint now) {
        unsigned taken = 0;
        for (FallbackBucket &bucket : buckets)
            taken += bucket.take(QUOTA / DAEMONS, seconds(1), now) ? 1 : 0;
        return taken;
    };
    CHECK(takeAll(NOW) == 0);
    CHECK(takeAll(NOW + seconds(60)) <= 6);
    unsigned steady = 0;
    for (int i = 1; i <= 500; i++)
        steady += takeAll(NOW + seconds(60) + Duration{i * 20});
    CHECK(steady >= 45);
    CHECK(steady <= 52);
}

// Guards against requests that wait although a token is here, and one message for each request.
TEST_CASE("a daemon asks for a batch and ahead of need", "[quota]")
{
    ClientFixture fixture;
    CHECK_FALSE(fixture.client.isLimited("free"));
    CHECK(only<AdmitRequest>(fixture.client.acquire("free", 1, NOW)).size() == 1);
    const auto first = fixture.acquire(2, NOW);
    REQUIRE(only<SendQuotaRequest>(first).size() == 1);
    CHECK(only<SendQuotaRequest>(first)[0].coordinator == OTHER);
    CHECK(only<AdmitRequest>(first).empty());
    CHECK(fixture.acquire(3, NOW).empty());
    // The request that came while the message was on its way is asked for next.
    const auto answered = fixture.grant(1, NOW + Duration{2});
    CHECK(only<AdmitRequest>(answered).at(0).request == 2);
    REQUIRE(only<SendQuotaRequest>(answered).size() == 1);
    CHECK(only<SendQuotaRequest>(answered)[0].request.arrivals == 1);
    fixture.asked = only<SendQuotaRequest>(answered)[0].request.id;
    CHECK(only<AdmitRequest>(fixture.grant(9, NOW + Duration{4})).at(0).request == 3);
    CHECK(fixture.client.tokens("t", NOW + Duration{4}) == 0);
    TimePoint now = NOW;
    std::size_t messages = 0;
    std::size_t waited = 0;
    for (std::uint64_t i = 0; i < 200; i++) {
        now = now + Duration{20};
        auto actions = fixture.acquire(100 + i, now);
        waited += only<AdmitRequest>(actions).empty() ? 1 : 0;
        for (const auto &sent : only<SendQuotaRequest>(actions)) {
            messages++;
            fixture.grant(sent.request.wanted, now + Duration{2});
        }
    }
    CHECK(messages < 50);
    CHECK(waited < 15);
    CHECK(fixture.client.tokens("t", now) > 0);
    CHECK(fixture.client.tokens("t", now + seconds(3)) == 0);
}

// Guards against tokens that are used twice when a slow answer comes after the time-out.
TEST_CASE("without an answer the fallback bucket decides and a late grant is dropped", "[quota]")
{
    ClientFixture fixture;
    fixture.acquire(1, NOW);
    // The message is sent again, and nothing is decided.
    const auto repeated = fixture.client.tick(NOW + Duration{50});
    REQUIRE(repeated.size() == 1);
    CHECK(only<SendQuotaRequest>(repeated).at(0).request.id == fixture.asked);
    CHECK(only<SendQuotaRequest>(repeated).at(0).request.repeated);
    CHECK(fixture.client.tick(NOW + Duration{59}).empty());
    const auto ended = fixture.client.tick(NOW + Duration{60});
    REQUIRE(only<RefuseRequest>(ended).size() == 1);
    CHECK(only<RefuseRequest>(ended)[0].reason == QuotaRefusal::Fallback);
    CHECK(only<RefuseRequest>(ended)[0].retryAfter.ms > 0);
    CHECK_FALSE(fixture.client.isWaiting());
    CHECK(fixture.grant(5, NOW + Duration{70}).empty());
    CHECK(fixture.client.tokens("t", NOW + Duration{70}) == 0);
    CHECK(fixture.client.counts().lapsed == 5);
    // A quarter of 40 a second: one token each 100 ms.
    unsigned admitted = 0;
    for (std::uint64_t i = 0; i < 18; i++)
        admitted
            += only<AdmitRequest>(fixture.acquire(10 + i, NOW + Duration{70 + 10 * (int)i})).size();
    CHECK(admitted >= 1);
    CHECK(admitted <= 2);
    // The coordinator is asked again and hears of them.
    const auto again = only<SendQuotaRequest>(fixture.acquire(50, NOW + Duration{320}));
    REQUIRE(again.size() == 1);
    CHECK(again[0].request.fallback == admitted);
    // The answer to the first message comes while the second one is on its way.
    const std::uint64_t first = again[0].request.id - 1;
    CHECK(fixture.client.handleGrant({first, "t", 5, {0}, true}, NOW + Duration{330}).empty());
    CHECK(fixture.client.counts().lapsed == 10);
    // A daemon that does not know the fleet admits nothing on its own.
    fixture.fleet.setMembers({{OTHER}, 1, false});
    CHECK(only<AdmitRequest>(fixture.client.tick(NOW + Duration{500})).empty());
    for (std::uint64_t i = 0; i < 20; i++)
        CHECK(
            only<AdmitRequest>(fixture.acquire(60 + i, NOW + Duration{500 + 10 * (int)i})).empty());
}

// Guards against one message for each refused request under overload.
TEST_CASE("a refusal holds for a short time; a short wait is waited for", "[quota]")
{
    ClientFixture fixture;
    fixture.acquire(1, NOW);
    const auto refused = fixture.grant(0, NOW + Duration{2}, Duration{700});
    CHECK(only<RefuseRequest>(refused).at(0).retryAfter.ms == 700);
    const auto held = fixture.acquire(2, NOW + Duration{52});
    CHECK(only<SendQuotaRequest>(held).empty());
    CHECK(only<RefuseRequest>(held).at(0).retryAfter.ms == 650);
    fixture.acquire(3, NOW + Duration{110});
    CHECK(fixture.grant(0, NOW + Duration{112}, Duration{20}).empty());
    CHECK(fixture.client.tick(NOW + Duration{120}).empty());
    const auto asked = only<SendQuotaRequest>(fixture.client.tick(NOW + Duration{132}));
    REQUIRE(asked.size() == 1);
    fixture.asked = asked[0].request.id;
    CHECK(only<AdmitRequest>(fixture.grant(1, NOW + Duration{134})).at(0).request == 3);
}

// Guards against waiting requests whose caller has left, tokens lost with requests that did not
// run, and quotas that change while requests wait.
TEST_CASE("callers leave, tokens come back, quotas change", "[quota]")
{
    ClientFixture fixture;
    fixture.acquire(1, NOW);
    fixture.client.cancel("t", 1);
    CHECK(fixture.grant(1, NOW + Duration{2}).empty());
    CHECK(only<AdmitRequest>(fixture.acquire(2, NOW + Duration{3})).size() == 1);
    fixture.client.giveBack("t", NOW + Duration{4});
    CHECK(only<AdmitRequest>(fixture.acquire(3, NOW + Duration{5})).size() == 1);
    for (int i = 0; i < 8; i++)
        fixture.client.giveBack("t", NOW + Duration{6});
    fixture.client.setQuotas({{"t", 10, 10}}, NOW + Duration{7});
    CHECK(fixture.client.tokens("t", NOW + Duration{7}) <= 2);
    fixture.client.setQuotas({{"t", 80, 80}}, NOW + Duration{8});
    CHECK(fixture.client.tokens("t", NOW + Duration{8}) <= 2);
    ClientFixture unlimited;
    unlimited.acquire(1, NOW);
    CHECK(only<AdmitRequest>(unlimited.client.setQuotas({}, NOW)).at(0).request == 1);
    CHECK_FALSE(unlimited.client.isWaiting());
}

// Guards against shares that add up to more than the quota.
TEST_CASE("a coordinator grants by the part of the fleet that it sees", "[quota]")
{
    CoordinatorFixture fixture;
    CHECK(fixture.coordinator.state("t", NOW).perSecond == Approx(20));
    fixture.run(NOW, NOW + seconds(10));
    const TimePoint now = NOW + seconds(10);
    const QuotaGrant whole = fixture.ask(100, now);
    CHECK(whole.granted == 26); // Half of the burst and of the tokens on top of it.
    CHECK(whole.retryAfter.ms > 0);
    CHECK(fixture.ask(100, now + Duration{500}).granted == 10);
    // What was admitted without the coordinator is missing here.
    CHECK(fixture.ask(100, now + Duration{1000}, 4).granted == 6);
    fixture.fleet.setMembers(members({ME}, 4));
    fixture.coordinator.fleetChanged(now + seconds(1));
    CHECK(fixture.coordinator.state("t", now).perSecond == Approx(10));
    fixture.coordinator.setQuotas({{"t", 4, 4}}, now + seconds(1));
    CHECK(fixture.coordinator.state("t", now).perSecond == Approx(1));
    CHECK_FALSE(
        fixture.coordinator.handleRequest(OTHER, {1, "unknown", 1, 1, 0}, now).coordinating);
}

// Guards against a share granted twice: by a coordinator and by the one that follows or woke up.
TEST_CASE("a new, woken or just started coordinator has few tokens", "[quota]")
{
    CoordinatorFixture fixture;
    fixture.run(NOW, NOW + seconds(10));
    // Stood still for 4 s: only the start tokens.
    CHECK(fixture.coordinator.handleRequest(OTHER, {1, "t", 100, 0, 0}, NOW + seconds(14)).granted
          <= 3);
    // The clock of this daemon did not count a suspension.
    fixture.run(NOW + seconds(14), NOW + seconds(16));
    fixture.coordinator.handlePause(NOW + seconds(16));
    CHECK(fixture.ask(100, NOW + seconds(16)).granted == 0);
    // Another daemon took the tenant over, and gives it back.
    fixture.run(NOW + seconds(16), NOW + seconds(30));
    std::string rival = "a";
    while (rendezvousWeightOf(rival) < rendezvousWeightOf("me"))
        rival += "a";
    fixture.fleet.setMembers(members({ME, ServerId(rival)}, 2));
    fixture.coordinator.fleetChanged(NOW + seconds(30));
    CHECK_FALSE(fixture.ask(1, NOW + seconds(30)).coordinating);
    fixture.run(NOW + seconds(30), NOW + seconds(40));
    fixture.fleet.setMembers(members({ME}, 2));
    fixture.coordinator.fleetChanged(NOW + seconds(40));
    CHECK(fixture.ask(100, NOW + seconds(40)).granted <= 3);
    QuotaCoordinator started(fixture.fleet, DataCentreId("east"), QuotaOptions(), NOW);
    started.setQuotas({{"t", 40, 40}}, NOW);
    // It coordinates when its members have settled, or after its start delay.
    const auto coordinates = [&](int ms) {
        return started.handleRequest(OTHER, {1, "t", 1, 1, 0}, NOW + Duration{ms}).coordinating;
    };
    CHECK_FALSE(coordinates(90));
    started.fleetChanged(NOW + Duration{95});
    CHECK_FALSE(coordinates(190));
    CHECK(coordinates(200));
    started.fleetChanged(NOW + Duration{950});
    CHECK_FALSE(coordinates(999));
    CHECK(coordinates(1000));
}

// Guards against tokens that are lost with an answer, or granted twice to a repeated message.
TEST_CASE("a repeated message gets the answer that was lost", "[quota]")
{
    CoordinatorFixture fixture;
    fixture.run(NOW, NOW + seconds(10));
    const TimePoint now = NOW + seconds(10);
    QuotaRequest request{7, "t", 5, 5, 2};
    CHECK(fixture.coordinator.handleRequest(OTHER, request, now).granted == 5);
    const double left = fixture.coordinator.state("t", now).tokens;
    request.repeated = true;
    CHECK(fixture.coordinator.handleRequest(OTHER, request, now).granted == 5);
    CHECK(fixture.coordinator.state("t", now).tokens == left);
    // The same number of another daemon, and a repeat whose first copy did not arrive.
    CHECK(fixture.coordinator.handleRequest(ServerId("third"), request, now).granted == 5);
    CHECK(fixture.coordinator.state("t", now).tokens == Approx(left - 7));
    ClientFixture client;
    client.acquire(1, NOW);
    client.client.tick(NOW + Duration{20});
    CHECK(client.client.counts().repeats == 1);
    CHECK(only<AdmitRequest>(client.grant(1, NOW + Duration{21})).size() == 1);
    CHECK(client.grant(1, NOW + Duration{22}).empty());
    CHECK(client.client.counts().lapsed == 0);
}

// Guards against refusals in the first moments of a restarted daemon, herd kills above all: the
// list of the daemons and the coordinator are there before the request has to be decided.
TEST_CASE("requests wait for the list of daemons and for a coordinator that starts", "[quota]")
{
    QuotaFleet fleet{ME};
    QuotaClient client(fleet, QuotaOptions());
    client.setQuotas({{"t", 40, 40}}, NOW);
    CHECK(client.acquire("t", 1, NOW).empty());
    CHECK(client.isWaiting());
    CHECK(client.tick(NOW + Duration{199}).empty());
    CHECK(client.acquire("t", 2, NOW + Duration{150}).empty());
    const auto refused = client.tick(NOW + Duration{200});
    CHECK(only<RefuseRequest>(refused).at(0).request == 1);
    fleet.setMembers(members({OTHER}, 400));
    const auto asked = only<SendQuotaRequest>(client.tick(NOW + Duration{210}));
    REQUIRE(asked.size() == 1);
    CHECK(
        client.handleGrant({asked[0].request.id, "t", 0, {0}, false}, NOW + Duration{212}).empty());
    CHECK(client.tick(NOW + Duration{250}).empty());
    const auto again = only<SendQuotaRequest>(client.tick(NOW + Duration{262}));
    REQUIRE(again.size() == 1);
    const QuotaGrant grant{again[0].request.id, "t", 1, {0}, true};
    CHECK(only<AdmitRequest>(client.handleGrant(grant, NOW + Duration{264})).at(0).request == 2);
}

// Guards against start tokens that are lost when quotas come into force long after the start.
TEST_CASE("a coordinator keeps its start tokens after an idle time", "[quota]")
{
    QuotaFleet fleet{ME};
    fleet.setMembers(members({ME}, 2));
    QuotaCoordinator coordinator(fleet, DataCentreId("east"), QuotaOptions(), NOW);
    coordinator.setQuotas({{"t", 4, 4}}, NOW + seconds(60));
    coordinator.tick(NOW + seconds(60) + Duration{100});
    CHECK(coordinator.state("t", NOW + seconds(60) + Duration{100}).tokens >= 3);
}

// Guards against tokens that exist twice, come late or reach the wrong daemon.
TEST_CASE("data centres lend each other tokens", "[quota]")
{
    CoordinatorFixture poor;
    poor.run(NOW, NOW + seconds(5));
    const TimePoint now = NOW + seconds(5);
    poor.coordinator.handleRequest(OTHER, {1, "t", 100, 40, 0}, now);
    const auto demands = poor.coordinator.tick(now + Duration{100});
    REQUIRE(demands.size() == 1);
    CHECK(demands[0].exchange.dataCentre == DataCentreId("west"));
    CHECK(poor.coordinator.tick(now + Duration{150}).empty());
    QuotaFleet fleet{OTHER};
    fleet.setMembers(members({OTHER}, 2));
    QuotaCoordinator rich(fleet, DataCentreId("west"), QuotaOptions(), NOW - seconds(60));
    rich.setQuotas({{"t", 40, 40}}, NOW);
    for (TimePoint at = NOW; at <= now; at = at + Duration{100})
        rich.tick(at);
    const auto given = rich.handleExchange(demands[0].exchange, now + Duration{130});
    REQUIRE(given.size() == 1);
    const QuotaExchange &answer = given[0].exchange;
    CHECK(answer.recipient == ME);
    REQUIRE(answer.gives);
    const std::uint32_t tokens = answer.transfers.at(0).tokens;
    CHECK(tokens >= 15);
    CHECK(rich.state("t", now + Duration{130}).tokens == Approx(26 - tokens));
    poor.coordinator.handleExchange(answer, now + Duration{160});
    CHECK(poor.coordinator.counts().received == tokens);
    poor.coordinator.handleExchange(answer, now + Duration{170});
    CHECK(poor.coordinator.counts().received == tokens);
    CHECK(poor.coordinator.counts().late == tokens);
    // A second demand whose answer takes too long.
    poor.coordinator.handleRequest(OTHER, {2, "t", 100, 40, 0}, now + Duration{300});
    const auto second = poor.coordinator.tick(now + Duration{400});
    REQUIRE(second.size() == 1);
    QuotaExchange late = answer;
    late.sequence = second[0].exchange.sequence;
    poor.run(now + Duration{500}, now + Duration{1600});
    poor.coordinator.handleExchange(late, now + Duration{1600});
    CHECK(poor.coordinator.counts().received == tokens);
    // A peer that coordinates nothing passes both on, once.
    QuotaFleet peers{ServerId("peer")};
    peers.setMembers(members({ME}, 2));
    QuotaCoordinator peer(peers, DataCentreId("east"), QuotaOptions(), NOW - seconds(60));
    peer.setQuotas({{"t", 40, 40}}, NOW);
    const auto passed = peer.handleExchange(answer, now);
    REQUIRE(passed.size() == 1);
    CHECK(passed[0].daemon == ME);
    CHECK(peer.handleExchange(passed[0].exchange, now).empty());
    QuotaExchange demand = demands[0].exchange;
    demand.dataCentre = DataCentreId("east");
    REQUIRE(peer.handleExchange(demand, now).size() == 1);
    CHECK(peer.handleExchange(demand, now)[0].daemon == ME);
    CHECK(peer.handleExchange(peer.handleExchange(demand, now)[0].exchange, now).empty());
}
