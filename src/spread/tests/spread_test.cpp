/** @file spread_test.cpp Versions: who watches, who is sent what, and never an older one. */
#include "spread/route_spread.h"

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
    route.parts = {{ServiceName("desk"), 1}};
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
const Action *find(const SpreadActions &actions)
{
    for (const SpreadAction &action : actions) {
        if (const auto *one = std::get_if<Action>(&action))
            return one;
    }
    return nullptr;
}

struct Fixture
{
    PeerTable table{record("me", "east"), PeerOptions()};
    RouteSpread spread{table, SpreadOptions(), 1};

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

TEST_CASE("a version is never replaced by an older one, from the store or a peer", "[spread]")
{
    Fixture fixture;
    REQUIRE(find<ReadRoutes>(fixture.spread.start(NOW)));
    CHECK(find<ReadRoutes>(fixture.spread.start(NOW))->stale);
    CHECK(find<ApplyRoutes>(fixture.spread.readAnswered(stored(5, 7), NOW)));
    CHECK(fixture.spread.version() == 7);
    const auto older = fixture.spread.watchAnswered(stored(6, 3), NOW);
    REQUIRE(find<RejectRoutes>(older));
    CHECK(find<RejectRoutes>(older)->error.code == ResultCode::VersionOlder);
    CHECK(fixture.spread.version() == 7);
    CHECK_FALSE(find<ApplyRoutes>(fixture.spread.watchAnswered(stored(7, 7, 400), NOW)));
    const auto table = RouteTable::build(document(4)).value();
    CHECK(fixture.spread.received(ServerId("p"), routeUpdate(nullptr, *table), NOW).empty());
    const auto newer = RouteTable::build(document(8)).value();
    CHECK(find<ApplyRoutes>(
        fixture.spread.received(ServerId("p"), routeUpdate(nullptr, *newer), NOW)));
    CHECK(fixture.spread.version() == 8);
}

TEST_CASE("a bad document changes nothing", "[spread]")
{
    Fixture fixture;
    fixture.spread.start(NOW);
    fixture.spread.readAnswered(stored(5, 7), NOW);
    CHECK(find<RejectRoutes>(fixture.spread.watchAnswered(stored(6, 8, 0), NOW)));
    StoredRoutes unreadable;
    unreadable.storeRevision = 7;
    unreadable.document = Result<RouteDocument>(fail(ResultCode::RouteInvalid, "cut short"));
    CHECK(find<RejectRoutes>(fixture.spread.watchAnswered(unreadable, NOW)));
    CHECK(fixture.spread.version() == 7);
}

TEST_CASE("a lost history is read anew; a failed call is tried again later", "[spread]")
{
    Fixture fixture;
    fixture.spread.start(NOW);
    fixture.spread.readAnswered(stored(5, 7), NOW);
    TimePoint now = NOW + seconds(2);
    CHECK(find<WatchRoutes>(fixture.spread.tick(now))->storeRevision == 5);
    const Result<StoredRoutes> gone = fail(ResultCode::PlatformHistoryGone, "410");
    CHECK(find<StoreChanged>(fixture.spread.watchAnswered(gone, now)));
    CHECK_FALSE(find<ReadRoutes>(fixture.spread.tick(now)));
    now = now + seconds(1);
    CHECK(find<ReadRoutes>(fixture.spread.tick(now)));
    CHECK(find<StoreChanged>(fixture.spread.readAnswered(stored(50, 9), now))->answers);
    CHECK(fixture.spread.version() == 9);
    CHECK(fixture.spread.storeAge(now).ms == 0);
}

TEST_CASE("after a failed call the store is read in short steps: a new watch may be silent",
          "[spread]")
{
    Fixture fixture;
    fixture.spread.start(NOW);
    fixture.spread.readAnswered(stored(5, 7), NOW);
    TimePoint now = NOW + seconds(2);
    CHECK(find<WatchRoutes>(fixture.spread.tick(now)));
    const Result<StoredRoutes> broken = fail(ResultCode::PlatformUnknown, "the connection ended");
    fixture.spread.watchAnswered(broken, now);
    int reads = 0;
    for (int step = 0; step < 30; step++) {
        now = now + Duration{200};
        const auto actions = fixture.spread.tick(now);
        CHECK_FALSE(find<WatchRoutes>(actions));
        if (find<ReadRoutes>(actions) == nullptr)
            continue;
        reads++;
        fixture.spread.readAnswered(stored(5, 7), now);
    }
    CHECK(reads >= 8);
    fixture.spread.readAnswered(broken, now);
    CHECK(fixture.spread.storeAge(now) > seconds(1000));
    fixture.spread.readAnswered(stored(5, 7), now);
    CHECK(fixture.spread.storeAge(now).ms == 0);
    now = now + seconds(5);
    CHECK(find<WatchRoutes>(fixture.spread.tick(now + seconds(4))));
}

TEST_CASE("one daemon of a data centre watches; others do when it no longer hears the store",
          "[spread]")
{
    Fixture fixture;
    fixture.peer("far", "west", 7);
    unsigned before = 0;
    for (const char *name : {"p1", "p2", "p3", "p4", "p5", "p6"}) {
        fixture.peer(name, "east", 7).storeAge = {0};
        before = static_cast<unsigned>(fixture.table.higherRankedPeers(NOW).size());
    }
    REQUIRE(before > 0);
    fixture.spread.start(NOW - seconds(5));
    fixture.spread.readAnswered(stored(5, 7), NOW - seconds(5));
    CHECK_FALSE(find<WatchRoutes>(fixture.spread.tick(NOW)));
    for (const char *name : {"p1", "p2", "p3", "p4", "p5", "p6"})
        fixture.table.find(ServerId(name))->storeAge = seconds(30);
    CHECK(find<WatchRoutes>(fixture.spread.tick(NOW)));
    CHECK(fixture.spread.watching());
}

TEST_CASE("a peer that is behind is sent what differs, at once in the own data centre", "[spread]")
{
    Fixture fixture;
    fixture.spread.start(NOW - seconds(5));
    fixture.spread.readAnswered(stored(5, 7), NOW - seconds(5));
    Peer &near = fixture.peer("near", "east", 7);
    fixture.peer("far", "west", 7);
    near.storeAge = seconds(100);
    fixture.spread.tick(NOW);
    REQUIRE(fixture.spread.watching());
    // The first in rank pushes at once, the second a moment later.
    const auto atOnce = fixture.spread.watchAnswered(stored(6, 8, 500), NOW);
    const auto soon = fixture.spread.tick(NOW + Duration{60});
    const PushRoutes *push
        = find<PushRoutes>(atOnce) ? find<PushRoutes>(atOnce) : find<PushRoutes>(soon);
    REQUIRE(push);
    CHECK(push->peers == std::vector<ServerId>{ServerId("near")});
    CHECK(push->update.base == 7);
    CHECK(push->update.routes.size() == 1);
    near.version = 8;
    fixture.spread.peerTold(ServerId("near"), NOW);
    const auto later = fixture.spread.tick(NOW + Duration{700});
    REQUIRE(find<PushRoutes>(later));
    CHECK(find<PushRoutes>(later)->peers == std::vector<ServerId>{ServerId("far")});
}

TEST_CASE("a whole version is never pushed: a peer without one reads or asks", "[spread]")
{
    Fixture fixture;
    fixture.spread.start(NOW - seconds(5));
    for (int i = 0; i < 40; i++)
        fixture.peer("p" + std::to_string(i), "east", 0);
    fixture.spread.readAnswered(stored(5, 7), NOW - seconds(5));
    for (int step = 0; step < 20; step++)
        CHECK_FALSE(find<PushRoutes>(fixture.spread.tick(NOW + Duration{200} * step)));
    REQUIRE(fixture.spread.asked(0));
    CHECK(fixture.spread.asked(0)->base == 0);
    CHECK_FALSE(fixture.spread.asked(7));
}

TEST_CASE("a large difference for many peers is told, not pushed", "[spread]")
{
    Fixture fixture;
    fixture.spread.start(NOW - seconds(5));
    fixture.spread.readAnswered(stored(5, 7), NOW - seconds(5));
    for (int i = 0; i < 40; i++)
        fixture.peer("p" + std::to_string(i), "east", 7);
    fixture.spread.tick(NOW);
    REQUIRE(fixture.spread.watching());
    StoredRoutes large;
    large.storeRevision = 6;
    RouteDocument whole = document(8);
    for (int i = 0; i < 350; i++) {
        whole.routes.push_back(whole.routes.front());
        whole.routes.back().prefix = "/more/" + std::to_string(i) + "/";
    }
    large.document = Result<RouteDocument>(whole);
    const auto actions = fixture.spread.watchAnswered(large, NOW);
    REQUIRE(find<TellVersion>(actions));
    CHECK(find<TellVersion>(actions)->all);
    for (int step = 0; step < 20; step++)
        CHECK_FALSE(find<PushRoutes>(fixture.spread.tick(NOW + Duration{200} * step)));
}

TEST_CASE("a daemon that is behind waits for a push, reads, then asks a peer that has it",
          "[spread]")
{
    Fixture fixture;
    fixture.spread.start(NOW - seconds(5));
    fixture.spread.readAnswered(stored(5, 7), NOW - seconds(5));
    // Others watch, so that this daemon has no watch of its own.
    for (const char *name : {"p1", "p2", "p3", "p4", "p5", "p6"})
        fixture.peer(name, "east", 7).storeAge = {0};
    fixture.peer("far", "west", 9);
    fixture.peer("near", "east", 9).storeAge = {0};
    CHECK_FALSE(find<ReadRoutes>(fixture.spread.peerTold(ServerId("near"), NOW)));
    const auto late = fixture.spread.tick(NOW + Duration{650});
    REQUIRE(find<ReadRoutes>(late));
    CHECK_FALSE(find<ReadRoutes>(late)->stale);
    // An answer older than what peers have makes it ask at once.
    const auto stale = fixture.spread.readAnswered(stored(5, 7), NOW + Duration{660});
    REQUIRE(find<AskRoutes>(stale));
    CHECK(find<AskRoutes>(stale)->peer.text() == "near");
    CHECK(find<AskRoutes>(stale)->have == 7);
    CHECK_FALSE(find<AskRoutes>(fixture.spread.tick(NOW + Duration{700})));
    CHECK(find<AskRoutes>(fixture.spread.tick(NOW + Duration{1800})));
    const auto newer = RouteTable::build(document(9)).value();
    const auto taken = fixture.spread.received(ServerId("near"), routeUpdate(nullptr, *newer),
                                               NOW + Duration{1810});
    CHECK(find<ApplyRoutes>(taken));
    REQUIRE(find<TellVersion>(taken));
    CHECK_FALSE(find<TellVersion>(taken)->all);
    CHECK(find<TellVersion>(taken)->peers == std::vector<ServerId>{ServerId("near")});
}

TEST_CASE("a daemon that the store turns away at its start asks a peer at once", "[spread]")
{
    Fixture fixture;
    fixture.spread.start(NOW);
    fixture.peer("near", "east", 9);
    const Result<StoredRoutes> away = fail(ResultCode::PlatformThrottled, "503");
    const auto actions = fixture.spread.readAnswered(away, NOW + Duration{4});
    REQUIRE(find<AskRoutes>(actions));
    CHECK(find<AskRoutes>(actions)->have == 0);
}

TEST_CASE("a daemon that knows no version reads on until there is one", "[spread]")
{
    Fixture fixture;
    fixture.spread.start(NOW);
    CHECK(fixture.spread.readAnswered(nothing(3), NOW).empty());
    CHECK_FALSE(find<ReadRoutes>(fixture.spread.tick(NOW)));
    CHECK(find<ReadRoutes>(fixture.spread.tick(NOW + seconds(3))));
}
