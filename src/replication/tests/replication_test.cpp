/** @file replication_test.cpp Watchers, pushes, requests to peers, order of versions. */
#include "replication/route_replicator.h"
#include "replication/store_era.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

DaemonRecord record(const std::string &name, const std::string &dataCentre)
{
    return {ServerId(name), DataCentreId(dataCentre), {"127.0.0.1", 1}, ServiceName("desk"), 1};
}

RouteDocument makeDocument(Revision version, std::int64_t timeoutMs = 1000)
{
    Route route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.timeout = {timeoutMs};
    route.split = {{ServiceName("desk"), 1}};
    RouteDocument document;
    document.version = version;
    document.routes = {route};
    document.services = {{ServiceName("desk"), 1}};
    return document;
}

Result<StoredRoutes> storedDocument(std::uint64_t revision, Revision version,
                                    std::int64_t timeoutMs = 1000)
{
    StoredRoutes routes;
    routes.storeRevision = revision;
    routes.document = Result<RouteDocument>(makeDocument(version, timeoutMs));
    return routes;
}

Result<StoredRoutes> noDocument(std::uint64_t revision)
{
    StoredRoutes routes;
    routes.storeRevision = revision;
    return routes;
}

template<typename Action>
const Action *findAction(const ReplicationActions &actions)
{
    for (const ReplicationAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action))
            return found;
    }
    return nullptr;
}

struct Fixture
{
    PeerTable peers{record("me", "east"), PeerOptions()};
    RouteReplicator replicator{peers, ReplicationOptions(), 1};

    Peer &addPeer(const std::string &name, const std::string &dataCentre, Revision version)
    {
        peers.addOrUpdate(record(name, dataCentre), true);
        Peer &added = *peers.find(ServerId(name));
        added.linked = true;
        added.lastMessageAt = NOW;
        added.version = version;
        added.storeAge = seconds(100);
        return added;
    }
};

} // namespace

TEST_CASE("an older version from the store or a peer never replaces a newer one", "[replication]")
{
    Fixture fixture;
    REQUIRE(findAction<ReadRoutes>(fixture.replicator.start(NOW)));
    CHECK(findAction<ReadRoutes>(fixture.replicator.start(NOW))->allowStale);
    CHECK(findAction<ApplyRoutes>(fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW)));
    CHECK(fixture.replicator.version() == 7);
    const auto older = fixture.replicator.handleWatchAnswer(storedDocument(6, 3), NOW);
    REQUIRE(findAction<RejectRoutes>(older));
    CHECK(findAction<RejectRoutes>(older)->error.code == ResultCode::VersionOlder);
    CHECK(fixture.replicator.version() == 7);
    CHECK_FALSE(findAction<ApplyRoutes>(
        fixture.replicator.handleWatchAnswer(storedDocument(7, 7, 400), NOW)));
    const auto table = RouteTable::build(makeDocument(4)).value();
    CHECK(fixture.replicator.handleUpdate(ServerId("p"), makeRouteUpdate(nullptr, *table), NOW)
              .empty());
    const auto newer = RouteTable::build(makeDocument(8)).value();
    CHECK(findAction<ApplyRoutes>(
        fixture.replicator.handleUpdate(ServerId("p"), makeRouteUpdate(nullptr, *newer), NOW)));
    CHECK(fixture.replicator.version() == 8);
}

TEST_CASE("an invalid or unreadable document is rejected and the version in force stays",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW);
    CHECK(findAction<RejectRoutes>(
        fixture.replicator.handleWatchAnswer(storedDocument(6, 8, 0), NOW)));
    StoredRoutes unreadable;
    unreadable.storeRevision = 7;
    unreadable.document = Result<RouteDocument>(fail(ResultCode::RouteInvalid, "cut short"));
    CHECK(findAction<RejectRoutes>(fixture.replicator.handleWatchAnswer(unreadable, NOW)));
    CHECK(fixture.replicator.version() == 7);
}

TEST_CASE("a watch that fails with PlatformHistoryGone leads to a full read after the retry delay",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW);
    TimePoint now = NOW + seconds(2);
    CHECK(findAction<WatchRoutes>(fixture.replicator.tick(now))->storeRevision == 5);
    const Result<StoredRoutes> historyGone = fail(ResultCode::PlatformHistoryGone, "410");
    CHECK(findAction<StoreAvailabilityChanged>(
        fixture.replicator.handleWatchAnswer(historyGone, now)));
    CHECK_FALSE(findAction<ReadRoutes>(fixture.replicator.tick(now)));
    now = now + seconds(1);
    CHECK(findAction<ReadRoutes>(fixture.replicator.tick(now)));
    CHECK(findAction<StoreAvailabilityChanged>(
              fixture.replicator.handleReadAnswer(storedDocument(50, 9), now))
              ->available);
    CHECK(fixture.replicator.version() == 9);
    CHECK(fixture.replicator.storeAge(now).ms == 0);
}

TEST_CASE("after a failed call a watcher polls the store for a while before it watches again",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW);
    TimePoint now = NOW + seconds(2);
    CHECK(findAction<WatchRoutes>(fixture.replicator.tick(now)));
    const Result<StoredRoutes> broken = fail(ResultCode::PlatformUnknown, "the connection ended");
    fixture.replicator.handleWatchAnswer(broken, now);
    int reads = 0;
    for (int step = 0; step < 30; step++) {
        now = now + Duration{200};
        const auto actions = fixture.replicator.tick(now);
        CHECK_FALSE(findAction<WatchRoutes>(actions));
        if (findAction<ReadRoutes>(actions) == nullptr)
            continue;
        reads++;
        fixture.replicator.handleReadAnswer(storedDocument(5, 7), now);
    }
    CHECK(reads >= 8);
    fixture.replicator.handleReadAnswer(broken, now);
    CHECK(fixture.replicator.storeAge(now) > seconds(1000));
    fixture.replicator.handleReadAnswer(storedDocument(5, 7), now);
    CHECK(fixture.replicator.storeAge(now).ms == 0);
    now = now + seconds(5);
    CHECK(findAction<WatchRoutes>(fixture.replicator.tick(now + seconds(4))));
}

// Guards against a store that is silent for a moment and loses a watch that it had accepted: the
// next version was not noticed until the watch timed out.
TEST_CASE("a watch that does not report what a peer has is ended, and the store is read",
          "[replication]")
{
    for (const bool answered : {true, false}) {
        Fixture fixture;
        fixture.addPeer("p1", "east", 7);
        fixture.replicator.start(NOW);
        fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW);
        TimePoint now = NOW + seconds(2);
        REQUIRE(findAction<WatchRoutes>(fixture.replicator.tick(now)));
        const RouteTablePtr before = fixture.replicator.currentTable();
        const RouteTablePtr newer = RouteTable::build(makeDocument(8)).value();
        fixture.peers.find(ServerId("p1"))->version = 8;
        fixture.replicator.handleUpdate(ServerId("p1"), makeRouteUpdate(before.get(), *newer), now);
        REQUIRE(fixture.replicator.version() == 8);
        // A push may overtake the watch's own report.
        CHECK_FALSE(findAction<AbandonWatch>(fixture.replicator.tick(now + Duration{500})));
        if (answered)
            fixture.replicator.handleWatchAnswer(storedDocument(6, 8), now + Duration{500});
        now = now + Duration{600};
        CHECK((findAction<AbandonWatch>(fixture.replicator.tick(now)) != nullptr) != answered);
        CHECK_FALSE(findAction<AbandonWatch>(fixture.replicator.tick(now + seconds(1))));
        if (answered)
            continue;
        fixture.replicator.handleWatchAnswer(
            fail(ResultCode::PlatformUnknown, "the store did not respond in time"), now);
        CHECK(findAction<ReadRoutes>(fixture.replicator.tick(now + Duration{200})));
    }
}

TEST_CASE("a failed call is reported with its kind and the time that it was open", "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW);
    const TimePoint now = NOW + seconds(2);
    REQUIRE(findAction<WatchRoutes>(fixture.replicator.tick(now)));
    const auto actions = fixture.replicator.handleWatchAnswer(
        fail(ResultCode::PlatformUnknown, "the store did not respond in time"), now + seconds(3));
    const auto *lost = findAction<StoreAvailabilityChanged>(actions);
    REQUIRE(lost);
    CHECK(std::string(storeCallKindName(lost->call)) == "watch");
    CHECK(lost->openFor.ms == 3000);
}

TEST_CASE("a daemon starts to watch when higher-ranked watchers no longer reach the store",
          "[replication]")
{
    Fixture fixture;
    fixture.addPeer("far", "west", 7);
    unsigned peersBefore = 0;
    for (const char *name : {"p1", "p2", "p3", "p4", "p5", "p6"}) {
        fixture.addPeer(name, "east", 7).storeAge = {0};
        peersBefore = static_cast<unsigned>(fixture.peers.higherRankedPeers(NOW).size());
    }
    REQUIRE(peersBefore > 0);
    fixture.replicator.start(NOW - seconds(5));
    fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW - seconds(5));
    CHECK_FALSE(findAction<WatchRoutes>(fixture.replicator.tick(NOW)));
    for (const char *name : {"p1", "p2", "p3", "p4", "p5", "p6"})
        fixture.peers.find(ServerId(name))->storeAge = seconds(30);
    CHECK(findAction<WatchRoutes>(fixture.replicator.tick(NOW)));
    CHECK(fixture.replicator.isWatching());
}

TEST_CASE("an outdated peer is sent an update, first in the own data centre, later in others",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW - seconds(5));
    fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW - seconds(5));
    Peer &near = fixture.addPeer("near", "east", 7);
    fixture.addPeer("far", "west", 7);
    near.storeAge = seconds(100);
    fixture.replicator.tick(NOW);
    REQUIRE(fixture.replicator.isWatching());
    // The first watcher by rank pushes at once, the second 30 ms later.
    const auto atOnce = fixture.replicator.handleWatchAnswer(storedDocument(6, 8, 500), NOW);
    const auto soon = fixture.replicator.tick(NOW + Duration{60});
    const PushRoutes *push = findAction<PushRoutes>(atOnce) ? findAction<PushRoutes>(atOnce)
                                                            : findAction<PushRoutes>(soon);
    REQUIRE(push);
    CHECK(push->peers == std::vector<ServerId>{ServerId("near")});
    CHECK(push->update.baseVersion == 7);
    CHECK(push->update.routes.size() == 1);
    near.version = 8;
    fixture.replicator.handlePeerVersion(ServerId("near"), NOW);
    const auto later = fixture.replicator.tick(NOW + Duration{700});
    REQUIRE(findAction<PushRoutes>(later));
    CHECK(findAction<PushRoutes>(later)->peers == std::vector<ServerId>{ServerId("far")});
}

TEST_CASE("a whole version is never pushed, only sent on request", "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW - seconds(5));
    for (int i = 0; i < 40; i++)
        fixture.addPeer("p" + std::to_string(i), "east", 0);
    fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW - seconds(5));
    for (int step = 0; step < 20; step++)
        CHECK_FALSE(findAction<PushRoutes>(fixture.replicator.tick(NOW + Duration{200} * step)));
    REQUIRE(fixture.replicator.updateSince(0));
    CHECK(fixture.replicator.updateSince(0)->baseVersion == 0);
    CHECK_FALSE(fixture.replicator.updateSince(7));
}

TEST_CASE("an update that is large for its number of receivers is announced, not pushed",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW - seconds(5));
    fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW - seconds(5));
    for (int i = 0; i < 40; i++)
        fixture.addPeer("p" + std::to_string(i), "east", 7);
    fixture.replicator.tick(NOW);
    REQUIRE(fixture.replicator.isWatching());
    StoredRoutes large;
    large.storeRevision = 6;
    RouteDocument document = makeDocument(8);
    for (int i = 0; i < 350; i++) {
        document.routes.push_back(document.routes.front());
        document.routes.back().prefix = "/more/" + std::to_string(i) + "/";
    }
    large.document = Result<RouteDocument>(document);
    const auto actions = fixture.replicator.handleWatchAnswer(large, NOW);
    REQUIRE(findAction<AnnounceVersion>(actions));
    CHECK(findAction<AnnounceVersion>(actions)->toAllPeers);
    for (int step = 0; step < 20; step++)
        CHECK_FALSE(findAction<PushRoutes>(fixture.replicator.tick(NOW + Duration{200} * step)));
}

TEST_CASE("an outdated daemon waits for a push, then reads the store, then requests from a peer",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW - seconds(5));
    fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW - seconds(5));
    // Higher-ranked peers watch, so it does not watch itself.
    for (const char *name : {"p1", "p2", "p3", "p4", "p5", "p6"})
        fixture.addPeer(name, "east", 7).storeAge = {0};
    fixture.addPeer("far", "west", 9);
    fixture.addPeer("near", "east", 9).storeAge = {0};
    CHECK_FALSE(
        findAction<ReadRoutes>(fixture.replicator.handlePeerVersion(ServerId("near"), NOW)));
    const auto late = fixture.replicator.tick(NOW + Duration{650});
    REQUIRE(findAction<ReadRoutes>(late));
    CHECK_FALSE(findAction<ReadRoutes>(late)->allowStale);
    // A store answer older than what peers have leads to a request at once.
    const auto stale
        = fixture.replicator.handleReadAnswer(storedDocument(5, 7), NOW + Duration{660});
    REQUIRE(findAction<RequestRoutes>(stale));
    CHECK(findAction<RequestRoutes>(stale)->peer.text() == "near");
    CHECK(findAction<RequestRoutes>(stale)->currentVersion == 7);
    CHECK_FALSE(findAction<RequestRoutes>(fixture.replicator.tick(NOW + Duration{700})));
    CHECK(findAction<RequestRoutes>(fixture.replicator.tick(NOW + Duration{1800})));
    const auto newer = RouteTable::build(makeDocument(9)).value();
    const auto taken = fixture.replicator.handleUpdate(
        ServerId("near"), makeRouteUpdate(nullptr, *newer), NOW + Duration{1810});
    CHECK(findAction<ApplyRoutes>(taken));
    REQUIRE(findAction<AnnounceVersion>(taken));
    CHECK_FALSE(findAction<AnnounceVersion>(taken)->toAllPeers);
    CHECK(findAction<AnnounceVersion>(taken)->peers == std::vector<ServerId>{ServerId("near")});
}

TEST_CASE("a daemon whose first store read is refused requests the routes from a peer at once",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.addPeer("near", "east", 9);
    const Result<StoredRoutes> refused = fail(ResultCode::PlatformThrottled, "503");
    const auto actions = fixture.replicator.handleReadAnswer(refused, NOW + Duration{4});
    REQUIRE(findAction<RequestRoutes>(actions));
    CHECK(findAction<RequestRoutes>(actions)->currentVersion == 0);
}

TEST_CASE("a daemon without any version keeps reading the store until there is one",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    CHECK(fixture.replicator.handleReadAnswer(noDocument(3), NOW).empty());
    CHECK_FALSE(findAction<ReadRoutes>(fixture.replicator.tick(NOW)));
    CHECK(findAction<ReadRoutes>(fixture.replicator.tick(NOW + seconds(3))));
}

TEST_CASE("eras only rise; an answer of an earlier one is not used", "[replication]")
{
    StoreEra era;
    CHECK(era.observe(0) == EraVerdict::Current);
    CHECK(era.observe(7) == EraVerdict::Current);
    CHECK(era.observe(7) == EraVerdict::Current);
    CHECK(era.observe(0) == EraVerdict::Current);
    CHECK(era.observe(8) == EraVerdict::Raised);
    CHECK(era.observe(8) == EraVerdict::Current);
    CHECK(era.observe(7) == EraVerdict::Outdated);
    CHECK(era.current() == 8);
}

TEST_CASE("after the store came back older, a watcher reads before it watches a reused revision",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.replicator.handleReadAnswer(storedDocument(500, 7), NOW);
    TimePoint now = NOW + seconds(2);
    REQUIRE(findAction<WatchRoutes>(fixture.replicator.tick(now)));

    // The watch is still open when another answer shows the new era.
    CHECK_FALSE(findAction<WatchRoutes>(fixture.replicator.handleStoreRestored(now)));
    SECTION("the watch ends with an event of the new era")
    {
        const auto actions = fixture.replicator.handleWatchAnswer(noDocument(480), now);
        CHECK(findAction<ReadRoutes>(actions));
    }
    SECTION("the watch ends with 410")
    {
        fixture.replicator.handleWatchAnswer(fail(ResultCode::PlatformHistoryGone, "gone"), now);
        now = now + seconds(1);
        CHECK(findAction<ReadRoutes>(fixture.replicator.tick(now)));
    }
    // Version 8 has a revision that the daemon had seen for version 7 before.
    CHECK(
        findAction<ApplyRoutes>(fixture.replicator.handleReadAnswer(storedDocument(490, 8), now)));
    CHECK(fixture.replicator.version() == 8);
    for (int i = 0; i < 200; i++) {
        now = now + Duration{100};
        const auto actions = fixture.replicator.tick(now);
        if (findAction<ReadRoutes>(actions))
            fixture.replicator.handleReadAnswer(storedDocument(491, 8), now);
        if (const auto *watch = findAction<WatchRoutes>(actions)) {
            CHECK(watch->storeRevision == 491);
            return;
        }
    }
    FAIL("the daemon does not watch again");
}

TEST_CASE("without polling too, a revision of an earlier era is not watched", "[replication]")
{
    PeerTable peers{record("me", "east"), PeerOptions()};
    ReplicationOptions options;
    options.pollAfterFailure = {0};
    RouteReplicator replicator{peers, options, 1};
    replicator.start(NOW);
    replicator.handleReadAnswer(storedDocument(500, 7), NOW);
    const TimePoint now = NOW + seconds(2);
    REQUIRE(findAction<WatchRoutes>(replicator.tick(now)));
    replicator.handleStoreRestored(now);
    const auto actions = replicator.handleWatchAnswer(noDocument(480), now);
    CHECK(findAction<ReadRoutes>(actions));
    CHECK_FALSE(findAction<WatchRoutes>(actions));
    replicator.handleReadAnswer(storedDocument(485, 7), now);
    const auto next = replicator.tick(now + seconds(1));
    REQUIRE(findAction<WatchRoutes>(next));
    CHECK(findAction<WatchRoutes>(next)->storeRevision == 485);
}

TEST_CASE("a store that came back older never takes a version out of force", "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.replicator.handleReadAnswer(storedDocument(500, 7), NOW);
    TimePoint now = NOW + seconds(2);
    fixture.replicator.tick(now);
    fixture.replicator.handleStoreRestored(now);
    fixture.replicator.handleWatchAnswer(noDocument(400), now);
    const auto older = fixture.replicator.handleReadAnswer(storedDocument(400, 6), now);
    CHECK_FALSE(findAction<ApplyRoutes>(older));
    CHECK(fixture.replicator.version() == 7);
    // The operator writes what was lost again, then goes on.
    CHECK_FALSE(
        findAction<ApplyRoutes>(fixture.replicator.handleReadAnswer(storedDocument(402, 7), now)));
    CHECK(
        findAction<ApplyRoutes>(fixture.replicator.handleReadAnswer(storedDocument(403, 9), now)));
    CHECK(fixture.replicator.version() == 9);
}

TEST_CASE("a daemon that does not watch reads nothing when the store came back older",
          "[replication]")
{
    Fixture fixture;
    for (int i = 0; i < 20; i++) {
        Peer &peer = fixture.addPeer("p" + std::to_string(i), "east", 7);
        peer.storeAge = {0};
    }
    fixture.replicator.start(NOW);
    fixture.replicator.handleReadAnswer(storedDocument(500, 7), NOW);
    // Another daemon name could rank first; this one does not.
    REQUIRE_FALSE(findAction<WatchRoutes>(fixture.replicator.tick(NOW + Duration{1100})));
    const auto actions = fixture.replicator.handleStoreRestored(NOW + Duration{1100});
    CHECK_FALSE(findAction<ReadRoutes>(actions));
    CHECK_FALSE(findAction<WatchRoutes>(actions));
}
