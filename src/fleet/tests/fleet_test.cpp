/** @file fleet_test.cpp The table of peers and their discovery. */
#include "fleet/peer_discovery.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

DaemonRecord record(const std::string &name, std::uint16_t port = 1)
{
    return {ServerId(name), DataCentreId("east"), {"127.0.0.1", port}, ServiceName("desk"), 0};
}

Result<AnnounceAnswer> conflict(const DaemonRecord &stored)
{
    AnnounceAnswer answer;
    answer.stored = StoredDaemon{stored, 44};
    return answer;
}

Result<AnnounceAnswer> written()
{
    AnnounceAnswer answer;
    answer.written = true;
    return answer;
}

} // namespace

TEST_CASE("only a linked peer itself can change its address", "[fleet]")
{
    PeerTable table(record("me"), PeerOptions());
    CHECK(table.addOrUpdate(record("a", 1), false));
    CHECK_FALSE(table.addOrUpdate(record("me", 9), false));
    table.find(ServerId("a"))->linked = true;
    CHECK_FALSE(table.addOrUpdate(record("a", 2), false));
    CHECK(table.find(ServerId("a"))->record.linkEndpoint.port == 1);
    CHECK(table.addOrUpdate(record("a", 2), true));
    CHECK(table.find(ServerId("a"))->record.linkEndpoint.port == 2);
}

TEST_CASE("an unresponsive peer is neither counted nor ranked", "[fleet]")
{
    PeerTable table(record("me"), PeerOptions());
    table.addOrUpdate(record("a"), true);
    table.addOrUpdate(record("b"), true);
    for (const char *name : {"a", "b"}) {
        table.find(ServerId(name))->linked = true;
        table.find(ServerId(name))->lastMessageAt = NOW;
    }
    CHECK(table.responsiveDaemonCount(NOW) == 3);
    CHECK(table.responsiveDaemonCount(NOW + seconds(10)) == 1);
    CHECK(table.rankInDataCentre(NOW + seconds(10)) == 0);
}

TEST_CASE(
    "a daemon announces itself, then lists; it replaces its stored announcement only if it differs",
    "[fleet]")
{
    PeerTable table(record("me", 7), PeerOptions());
    PeerDiscovery discovery(table, DiscoveryOptions(), 1);
    CHECK(std::get<AnnounceSelf>(discovery.start().at(0)).revision == 0);
    SECTION("the stored announcement is the same")
    {
        const auto actions = discovery.handleAnnounceAnswer(conflict(record("me", 7)), NOW);
        CHECK(std::holds_alternative<ListDaemons>(actions.at(0)));
    }
    SECTION("the stored announcement has another address")
    {
        const auto actions = discovery.handleAnnounceAnswer(conflict(record("me", 8)), NOW);
        CHECK(std::get<AnnounceSelf>(actions.at(0)).revision == 44);
        CHECK(std::holds_alternative<ListDaemons>(
            discovery.handleAnnounceAnswer(written(), NOW).at(0)));
    }
    SECTION("no answer: retried after a delay")
    {
        const Result<AnnounceAnswer> lost = fail(ResultCode::PlatformUnknown, "lost");
        CHECK(discovery.handleAnnounceAnswer(lost, NOW).empty());
        CHECK(discovery.tick(NOW).empty());
        CHECK(std::holds_alternative<AnnounceSelf>(discovery.tick(NOW + seconds(3)).at(0)));
    }
}

TEST_CASE("all pages are read; the first lists are repeated soon, since an answer may be old",
          "[fleet]")
{
    PeerTable table(record("me"), PeerOptions());
    PeerDiscovery discovery(table, DiscoveryOptions(), 1);
    discovery.start();
    discovery.handleAnnounceAnswer(written(), NOW);
    DaemonPage page;
    page.daemons = {{record("a"), 1}, {record("me"), 2}};
    page.more = true;
    page.last = "me";
    CHECK(std::get<ListDaemons>(discovery.handleListAnswer(page, NOW).at(0)).after == "me");
    page.daemons = {{record("z"), 3}};
    page.more = false;
    CHECK(discovery.handleListAnswer(page, NOW).empty());
    CHECK(table.peers().size() == 2);
    TimePoint now = NOW;
    for (int i = 0; i < 3; i++) {
        CHECK(discovery.tick(now + Duration{500}).empty());
        now = now + seconds(2);
        CHECK(std::get<ListDaemons>(discovery.tick(now).at(0)).after.empty());
        discovery.handleListAnswer(page, now);
    }
    CHECK(discovery.tick(now + seconds(5)).empty());
    CHECK_FALSE(discovery.tick(now + seconds(30)).empty());
}

// Guards against a list that is left half read for good: it went on from the same place, without a
// pause or for ever.
TEST_CASE("a list that cannot be continued begins anew after a delay", "[fleet]")
{
    PeerTable table(record("me"), PeerOptions());
    PeerDiscovery discovery(table, DiscoveryOptions(), 1);
    discovery.start();
    discovery.handleAnnounceAnswer(written(), NOW);
    DaemonPage page;
    page.daemons = {{record("a"), 1}};
    page.more = true;
    page.last = "a";
    CHECK(std::get<ListDaemons>(discovery.handleListAnswer(page, NOW).at(0)).after == "a");
    Result<DaemonPage> second = page;
    SECTION("the next page ends where it began")
    {
        page.daemons.clear();
        second = page;
    }
    SECTION("no name on the next page can be read")
    {
        page.last.clear();
        second = page;
    }
    SECTION("the store refuses the next page")
    {
        second = fail(ResultCode::PlatformRefused, "status 400");
    }
    SECTION("the next page is malformed")
    {
        second = fail(ResultCode::PlatformProtocol, "no items");
    }
    CHECK(discovery.handleListAnswer(second, NOW).empty());
    CHECK(discovery.tick(NOW).empty());
    CHECK(std::get<ListDaemons>(discovery.tick(NOW + seconds(1)).at(0)).after.empty());
}

TEST_CASE("a list whose page is lost goes on from its place", "[fleet]")
{
    PeerTable table(record("me"), PeerOptions());
    PeerDiscovery discovery(table, DiscoveryOptions(), 1);
    discovery.start();
    discovery.handleAnnounceAnswer(written(), NOW);
    DaemonPage page;
    page.more = true;
    page.last = "a";
    discovery.handleListAnswer(page, NOW);
    const Result<DaemonPage> lost = fail(ResultCode::PlatformUnknown, "lost");
    CHECK(discovery.handleListAnswer(lost, NOW).empty());
    CHECK(std::get<ListDaemons>(discovery.tick(NOW + seconds(1)).at(0)).after == "a");
}

TEST_CASE("when the store came back older, the announcement is written and the others listed again",
          "[fleet]")
{
    PeerTable table(record("me", 7), PeerOptions());
    PeerDiscovery discovery(table, DiscoveryOptions(), 1);
    discovery.start();
    discovery.handleAnnounceAnswer(written(), NOW);
    DaemonPage page;
    page.daemons = {{record("a"), 1}};
    SECTION("between calls")
    {
        discovery.handleListAnswer(page, NOW);
        discovery.handleStoreRestored(NOW);
    }
    SECTION("while a list is read")
    {
        discovery.handleStoreRestored(NOW);
        discovery.handleListAnswer(page, NOW);
    }
    SECTION("between two pages")
    {
        discovery.handleStoreRestored(NOW);
        page.more = true;
        page.last = "a";
        const auto actions = discovery.handleListAnswer(page, NOW);
        CHECK(std::get<AnnounceSelf>(actions.at(0)).revision == 0);
        CHECK(std::get<ListDaemons>(discovery.handleAnnounceAnswer(written(), NOW).at(0))
                  .after.empty());
        return;
    }
    const auto actions = discovery.tick(NOW + seconds(2));
    REQUIRE_FALSE(actions.empty());
    CHECK(std::get<AnnounceSelf>(actions.at(0)).revision == 0);
    CHECK(
        std::get<ListDaemons>(discovery.handleAnnounceAnswer(written(), NOW).at(0)).after.empty());
}

// Guards against peers that forget: a restarted daemon without memory overwrote what they knew.
TEST_CASE("a peer remembers what a server announced until the server itself takes it back",
          "[fleet]")
{
    Peer peer;
    HostLoad load;
    load.instance = "i";
    load.startTimeMs = 9;
    load.state = HostState::Ready;
    load.requestsPerSecond = 4.5;
    peer.recordLoad(load, NOW);
    CHECK(peer.restrictions.requestsPerSecond == 4.5);
    peer.recordLoad(HostLoad(), NOW);
    CHECK(peer.restrictions.requestsPerSecond == 4.5);
    load.requestsPerSecond = 0;
    peer.recordLoad(load, NOW);
    CHECK(peer.restrictions.requestsPerSecond == 0);
    load.state = HostState::Draining;
    peer.recordLoad(load, NOW);
    load.state = HostState::Ready;
    peer.recordLoad(load, NOW);
    CHECK(peer.load.state == HostState::Draining);
    CHECK(peer.restrictions.leaving);
    load.state = HostState::None;
    peer.recordLoad(load, NOW);
    CHECK(peer.restrictions.leaving);
    load.startTimeMs = 10;
    load.state = HostState::Ready;
    peer.recordLoad(load, NOW);
    CHECK(peer.load.state == HostState::Ready);
    CHECK_FALSE(peer.restrictions.leaving);
}
