/** @file replication_test.cpp Versions: who watches, who is sent what, and never an older one. */
#include "replication/route_replicator.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

DaemonRecord record(const std::string &name, const std::string &centre)
{
    return {ServerId(name), DataCentreId(centre), {"127.0.0.1", 1}, ServiceName("desk"), 1};
}

RouteDocument document(Revision version, std::int64_t timeoutMs = 1000)
{
    Route route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.timeout = {timeoutMs};
    route.split = {{ServiceName("desk"), 1}};
    RouteDocument whole;
    whole.version = version;
    whole.routes = {route};
    whole.services = {{ServiceName("desk"), 1}};
    return whole;
}

Result<StoredRoutes> stored(std::uint64_t revision, Revision version, std::int64_t timeoutMs = 1000)
{
    StoredRoutes routes;
    routes.storeRevision = revision;
    routes.document = Result<RouteDocument>(document(version, timeoutMs));
    return routes;
}

Result<StoredRoutes> nothing(std::uint64_t revision)
{
    StoredRoutes routes;
    routes.storeRevision = revision;
    return routes;
}

template<typename Action>
const Action *find(const ReplicationActions &actions)
{
    for (const ReplicationAction &action : actions) {
        if (const auto *one = std::get_if<Action>(&action))
            return one;
    }
    return nullptr;
}

struct Fixture
{
    PeerTable table{record("me", "east"), PeerOptions()};
    RouteReplicator replicator{table, ReplicationOptions(), 1};

    Peer &peer(const std::string &name, const std::string &centre, Revision version)
    {
        table.addOrUpdate(record(name, centre), true);
        Peer &one = *table.find(ServerId(name));
        one.linked = true;
        one.lastMessageAt = NOW;
        one.version = version;
        one.storeAge = seconds(100);
        return one;
    }
};

} // namespace

TEST_CASE("a version is never replaced by an older one, from the store or a peer", "[replication]")
{
    Fixture fixture;
    REQUIRE(find<ReadRoutes>(fixture.replicator.start(NOW)));
    CHECK(find<ReadRoutes>(fixture.replicator.start(NOW))->allowStale);
    CHECK(find<ApplyRoutes>(fixture.replicator.handleReadAnswer(stored(5, 7), NOW)));
    CHECK(fixture.replicator.version() == 7);
    const auto older = fixture.replicator.handleWatchAnswer(stored(6, 3), NOW);
    REQUIRE(find<RejectRoutes>(older));
    CHECK(find<RejectRoutes>(older)->error.code == ResultCode::VersionOlder);
    CHECK(fixture.replicator.version() == 7);
    CHECK_FALSE(find<ApplyRoutes>(fixture.replicator.handleWatchAnswer(stored(7, 7, 400), NOW)));
    const auto table = RouteTable::build(document(4)).value();
    CHECK(fixture.replicator.handleUpdate(ServerId("p"), makeRouteUpdate(nullptr, *table), NOW)
              .empty());
    const auto newer = RouteTable::build(document(8)).value();
    CHECK(find<ApplyRoutes>(
        fixture.replicator.handleUpdate(ServerId("p"), makeRouteUpdate(nullptr, *newer), NOW)));
    CHECK(fixture.replicator.version() == 8);
}

TEST_CASE("a bad document changes nothing", "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.replicator.handleReadAnswer(stored(5, 7), NOW);
    CHECK(find<RejectRoutes>(fixture.replicator.handleWatchAnswer(stored(6, 8, 0), NOW)));
    StoredRoutes unreadable;
    unreadable.storeRevision = 7;
    unreadable.document = Result<RouteDocument>(fail(ResultCode::RouteInvalid, "cut short"));
    CHECK(find<RejectRoutes>(fixture.replicator.handleWatchAnswer(unreadable, NOW)));
    CHECK(fixture.replicator.version() == 7);
}

TEST_CASE("a lost history is read anew; a failed call is tried again later", "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.replicator.handleReadAnswer(stored(5, 7), NOW);
    TimePoint now = NOW + seconds(2);
    CHECK(find<WatchRoutes>(fixture.replicator.tick(now))->storeRevision == 5);
    const Result<StoredRoutes> gone = fail(ResultCode::PlatformHistoryGone, "410");
    CHECK(find<StoreAvailabilityChanged>(fixture.replicator.handleWatchAnswer(gone, now)));
    CHECK_FALSE(find<ReadRoutes>(fixture.replicator.tick(now)));
    now = now + seconds(1);
    CHECK(find<ReadRoutes>(fixture.replicator.tick(now)));
    CHECK(find<StoreAvailabilityChanged>(fixture.replicator.handleReadAnswer(stored(50, 9), now))
              ->available);
    CHECK(fixture.replicator.version() == 9);
    CHECK(fixture.replicator.storeAge(now).ms == 0);
}

TEST_CASE("after a failed call the store is read in short steps: a new watch may be silent",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.replicator.handleReadAnswer(stored(5, 7), NOW);
    TimePoint now = NOW + seconds(2);
    CHECK(find<WatchRoutes>(fixture.replicator.tick(now)));
    const Result<StoredRoutes> broken = fail(ResultCode::PlatformUnknown, "the connection ended");
    fixture.replicator.handleWatchAnswer(broken, now);
    int reads = 0;
    for (int step = 0; step < 30; step++) {
        now = now + Duration{200};
        const auto actions = fixture.replicator.tick(now);
        CHECK_FALSE(find<WatchRoutes>(actions));
        if (find<ReadRoutes>(actions) == nullptr)
            continue;
        reads++;
        fixture.replicator.handleReadAnswer(stored(5, 7), now);
    }
    CHECK(reads >= 8);
    fixture.replicator.handleReadAnswer(broken, now);
    CHECK(fixture.replicator.storeAge(now) > seconds(1000));
    fixture.replicator.handleReadAnswer(stored(5, 7), now);
    CHECK(fixture.replicator.storeAge(now).ms == 0);
    now = now + seconds(5);
    CHECK(find<WatchRoutes>(fixture.replicator.tick(now + seconds(4))));
}

TEST_CASE("one daemon of a data centre watches; others do when it no longer hears the store",
          "[replication]")
{
    Fixture fixture;
    fixture.peer("far", "west", 7);
    unsigned before = 0;
    for (const char *name : {"p1", "p2", "p3", "p4", "p5", "p6"}) {
        fixture.peer(name, "east", 7).storeAge = {0};
        before = static_cast<unsigned>(fixture.table.higherRankedPeers(NOW).size());
    }
    REQUIRE(before > 0);
    fixture.replicator.start(NOW - seconds(5));
    fixture.replicator.handleReadAnswer(stored(5, 7), NOW - seconds(5));
    CHECK_FALSE(find<WatchRoutes>(fixture.replicator.tick(NOW)));
    for (const char *name : {"p1", "p2", "p3", "p4", "p5", "p6"})
        fixture.table.find(ServerId(name))->storeAge = seconds(30);
    CHECK(find<WatchRoutes>(fixture.replicator.tick(NOW)));
    CHECK(fixture.replicator.isWatching());
}

TEST_CASE("a peer that is behind is sent what differs, at once in the own data centre",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW - seconds(5));
    fixture.replicator.handleReadAnswer(stored(5, 7), NOW - seconds(5));
    Peer &near = fixture.peer("near", "east", 7);
    fixture.peer("far", "west", 7);
    near.storeAge = seconds(100);
    fixture.replicator.tick(NOW);
    REQUIRE(fixture.replicator.isWatching());
    // The first in rank pushes at once, the second a moment later.
    const auto atOnce = fixture.replicator.handleWatchAnswer(stored(6, 8, 500), NOW);
    const auto soon = fixture.replicator.tick(NOW + Duration{60});
    const PushRoutes *push
        = find<PushRoutes>(atOnce) ? find<PushRoutes>(atOnce) : find<PushRoutes>(soon);
    REQUIRE(push);
    CHECK(push->peers == std::vector<ServerId>{ServerId("near")});
    CHECK(push->update.baseVersion == 7);
    CHECK(push->update.routes.size() == 1);
    near.version = 8;
    fixture.replicator.handlePeerVersion(ServerId("near"), NOW);
    const auto later = fixture.replicator.tick(NOW + Duration{700});
    REQUIRE(find<PushRoutes>(later));
    CHECK(find<PushRoutes>(later)->peers == std::vector<ServerId>{ServerId("far")});
}

TEST_CASE("a whole version is never pushed: a peer without one reads or asks", "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW - seconds(5));
    for (int i = 0; i < 40; i++)
        fixture.peer("p" + std::to_string(i), "east", 0);
    fixture.replicator.handleReadAnswer(stored(5, 7), NOW - seconds(5));
    for (int step = 0; step < 20; step++)
        CHECK_FALSE(find<PushRoutes>(fixture.replicator.tick(NOW + Duration{200} * step)));
    REQUIRE(fixture.replicator.updateSince(0));
    CHECK(fixture.replicator.updateSince(0)->baseVersion == 0);
    CHECK_FALSE(fixture.replicator.updateSince(7));
}

TEST_CASE("a large difference for many peers is told, not pushed", "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW - seconds(5));
    fixture.replicator.handleReadAnswer(stored(5, 7), NOW - seconds(5));
    for (int i = 0; i < 40; i++)
        fixture.peer("p" + std::to_string(i), "east", 7);
    fixture.replicator.tick(NOW);
    REQUIRE(fixture.replicator.isWatching());
    StoredRoutes large;
    large.storeRevision = 6;
    RouteDocument whole = document(8);
    for (int i = 0; i < 350; i++) {
        whole.routes.push_back(whole.routes.front());
        whole.routes.back().prefix = "/more/" + std::to_string(i) + "/";
    }
    large.document = Result<RouteDocument>(whole);
    const auto actions = fixture.replicator.handleWatchAnswer(large, NOW);
    REQUIRE(find<AnnounceVersion>(actions));
    CHECK(find<AnnounceVersion>(actions)->toAllPeers);
    for (int step = 0; step < 20; step++)
        CHECK_FALSE(find<PushRoutes>(fixture.replicator.tick(NOW + Duration{200} * step)));
}

TEST_CASE("a daemon that is behind waits for a push, reads, then asks a peer that has it",
          "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW - seconds(5));
    fixture.replicator.handleReadAnswer(stored(5, 7), NOW - seconds(5));
    // Others watch, so that this daemon has no watch of its own.
    for (const char *name : {"p1", "p2", "p3", "p4", "p5", "p6"})
        fixture.peer(name, "east", 7).storeAge = {0};
    fixture.peer("far", "west", 9);
    fixture.peer("near", "east", 9).storeAge = {0};
    CHECK_FALSE(find<ReadRoutes>(fixture.replicator.handlePeerVersion(ServerId("near"), NOW)));
    const auto late = fixture.replicator.tick(NOW + Duration{650});
    REQUIRE(find<ReadRoutes>(late));
    CHECK_FALSE(find<ReadRoutes>(late)->allowStale);
    // An answer older than what peers have makes it ask at once.
    const auto stale = fixture.replicator.handleReadAnswer(stored(5, 7), NOW + Duration{660});
    REQUIRE(find<RequestRoutes>(stale));
    CHECK(find<RequestRoutes>(stale)->peer.text() == "near");
    CHECK(find<RequestRoutes>(stale)->currentVersion == 7);
    CHECK_FALSE(find<RequestRoutes>(fixture.replicator.tick(NOW + Duration{700})));
    CHECK(find<RequestRoutes>(fixture.replicator.tick(NOW + Duration{1800})));
    const auto newer = RouteTable::build(document(9)).value();
    const auto taken = fixture.replicator.handleUpdate(
        ServerId("near"), makeRouteUpdate(nullptr, *newer), NOW + Duration{1810});
    CHECK(find<ApplyRoutes>(taken));
    REQUIRE(find<AnnounceVersion>(taken));
    CHECK_FALSE(find<AnnounceVersion>(taken)->toAllPeers);
    CHECK(find<AnnounceVersion>(taken)->peers == std::vector<ServerId>{ServerId("near")});
}

TEST_CASE("a daemon that the store turns away at its start asks a peer at once", "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    fixture.peer("near", "east", 9);
    const Result<StoredRoutes> away = fail(ResultCode::PlatformThrottled, "503");
    const auto actions = fixture.replicator.handleReadAnswer(away, NOW + Duration{4});
    REQUIRE(find<RequestRoutes>(actions));
    CHECK(find<RequestRoutes>(actions)->currentVersion == 0);
}

TEST_CASE("a daemon that knows no version reads on until there is one", "[replication]")
{
    Fixture fixture;
    fixture.replicator.start(NOW);
    CHECK(fixture.replicator.handleReadAnswer(nothing(3), NOW).empty());
    CHECK_FALSE(find<ReadRoutes>(fixture.replicator.tick(NOW)));
    CHECK(find<ReadRoutes>(fixture.replicator.tick(NOW + seconds(3))));
}
