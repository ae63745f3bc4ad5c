/** @file control_test.cpp Distribution and membership of a few daemons under faults, in virtual
 * time. */
#include "fake_fleet.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr std::size_t PER_DATA_CENTRE = 5;
const char *const DATA_CENTRES[] = {"dc-1", "dc-2", "dc-3"};

/** Three data centres, all daemons started and linked. */
void settle(FakeFleet &fleet)
{
    for (const char *dataCentre : DATA_CENTRES) {
        for (std::size_t i = 0; i < PER_DATA_CENTRE; i++)
            fleet.addDaemon(dataCentre);
    }
    fleet.startAll();
    fleet.run(seconds(15));
    REQUIRE(fleet.tablesAgree());
    REQUIRE(fleet.node(0).membership().members().size() == fleet.size());
}

} // namespace

TEST_CASE("daemons find each other over the platform's contacts and agree", "[control]")
{
    FakeFleet fleet(1);
    settle(fleet);
    std::size_t watching = 0;
    for (std::size_t i = 0; i < fleet.size(); i++)
        watching += fleet.node(i).distribution().watching() ? 1 : 0;
    CHECK(watching == 6);
}

TEST_CASE("an accepted change is in force everywhere within half a second", "[control]")
{
    FakeFleet fleet(2);
    settle(fleet);
    const Revision revision = fleet.propose("a");
    fleet.run(milliseconds(500));
    CHECK(fleet.leastRevision() == revision);
}

TEST_CASE("the platform's load does not grow with the daemons", "[control]")
{
    unsigned calls[2] = {};
    for (std::size_t size = 0; size < 2; size++) {
        FakeFleet fleet(3);
        for (std::size_t i = 0; i < (size + 1) * 10; i++)
            fleet.addDaemon(DATA_CENTRES[i % 2]);
        fleet.startAll();
        fleet.run(seconds(20));
        const unsigned before = fleet.platformCalls;
        fleet.run(seconds(60));
        calls[size] = fleet.platformCalls - before;
    }
    CHECK(calls[1] <= calls[0] + 2);
}

TEST_CASE("losing the daemons that watch the platform costs little time", "[control]")
{
    FakeFleet fleet(4);
    settle(fleet);
    for (std::size_t i = 0; i < fleet.size(); i++) {
        if (fleet.node(i).membership().isRelay()
            && fleet.node(i).membership().self().dataCentre.text() == "dc-1")
            fleet.kill(i);
    }
    const Revision revision = fleet.propose("a");
    fleet.run(seconds(2));
    CHECK(fleet.leastRevision() == revision);
}

TEST_CASE("a data centre cut off from the platform learns from its neighbours", "[control]")
{
    FakeFleet fleet(5);
    settle(fleet);
    fleet.setCutBoth("dc-2", "platform", true);
    const Revision revision = fleet.propose("a");
    fleet.run(seconds(2));
    CHECK(fleet.leastRevision() == revision);
}

TEST_CASE("a data centre cut off from all serves on, and catches up when the cut heals",
          "[control]")
{
    FakeFleet fleet(6);
    settle(fleet);
    const Revision before = fleet.propose("a");
    fleet.run(seconds(1));
    for (const char *other : {"platform", "dc-2", "dc-3"})
        fleet.setCutBoth("dc-1", other, true);
    fleet.run(seconds(60));
    const Revision after = fleet.propose("b");
    fleet.run(seconds(30));
    CHECK(fleet.node(0).distribution().current()->revision() == before);
    CHECK(fleet.node(PER_DATA_CENTRE).distribution().current()->revision() == after);
    fleet.kill(1);
    fleet.run(seconds(5));
    fleet.start(1);
    fleet.run(seconds(5));
    CHECK(fleet.node(1).distribution().current()->revision() == before);
    for (const char *other : {"platform", "dc-2", "dc-3"})
        fleet.setCutBoth("dc-1", other, false);
    fleet.run(seconds(20));
    CHECK(fleet.leastRevision() == after);
    fleet.run(seconds(20));
    CHECK(fleet.tablesAgree());
}

TEST_CASE("one-way cuts between data centres do not keep a change away", "[control]")
{
    FakeFleet fleet(7);
    settle(fleet);
    fleet.setCut("dc-1", "dc-2", true);
    fleet.setCutBoth("dc-2", "platform", true);
    const Revision revision = fleet.propose("a");
    fleet.run(seconds(10));
    CHECK(fleet.leastRevision() == revision);
}

TEST_CASE("a herd that dies and returns together loads the platform within bounds", "[control]")
{
    FakeFleet fleet(8);
    settle(fleet);
    const Revision revision = fleet.propose("a");
    fleet.run(seconds(1));
    for (std::size_t i = 0; i < PER_DATA_CENTRE; i++)
        fleet.kill(i);
    fleet.run(seconds(3));
    const unsigned before = fleet.platformCalls;
    for (std::size_t i = 0; i < PER_DATA_CENTRE; i++)
        fleet.start(i);
    fleet.run(seconds(3));
    CHECK(fleet.leastRevision() == revision);
    CHECK(fleet.platformCalls - before <= 4 * PER_DATA_CENTRE);
}

TEST_CASE("a platform that is down for long is asked ever less, and said once to be lost",
          "[control]")
{
    FakeFleet fleet(9);
    settle(fleet);
    fleet.platformDown = true;
    fleet.run(seconds(30));
    const unsigned before = fleet.platformCalls;
    fleet.run(seconds(60));
    CHECK(fleet.platformCalls - before <= 6 * 30);
    CHECK(fleet.events(EventKind::PlatformLost) == 6);
    fleet.platformDown = false;
    const Revision revision = fleet.propose("a");
    fleet.run(seconds(9));
    CHECK(fleet.leastRevision() == revision);
    CHECK(fleet.events(EventKind::PlatformBack) == 6);
}

TEST_CASE("daemons that start while the platform is down begin when it returns", "[control]")
{
    FakeFleet fleet(10);
    fleet.propose("a");
    for (const char *dataCentre : DATA_CENTRES)
        fleet.addDaemon(dataCentre);
    fleet.platformDown = true;
    fleet.startAll();
    fleet.run(seconds(30));
    CHECK(fleet.leastRevision() == 0);
    fleet.platformDown = false;
    fleet.run(seconds(15));
    CHECK(fleet.leastRevision() == 1);
}

TEST_CASE("stale answers of the platform never move a daemon back", "[control]")
{
    FakeFleet fleet(11);
    settle(fleet);
    fleet.platformStalePerMille = 300;
    Revision revision = 0;
    for (int i = 0; i < 20; i++) {
        revision = fleet.propose("e" + std::to_string(i));
        fleet.run(milliseconds(150));
    }
    fleet.run(seconds(5));
    CHECK(fleet.leastRevision() == revision);
}

TEST_CASE("a bad version on the platform is refused whole, and a later good one mends it",
          "[control]")
{
    FakeFleet fleet(12);
    settle(fleet);
    const Revision good = fleet.propose("a");
    fleet.run(seconds(1));
    const std::string text = fleet.store.peek(CATALOGUE_HEAD_OBJECT).text;
    fleet.store.plant(CATALOGUE_HEAD_OBJECT, text.substr(0, text.size() / 2));
    fleet.run(seconds(2));
    CHECK(fleet.leastRevision() == good);
    CHECK(fleet.events(EventKind::VersionRejected) > 0);
    fleet.store.plant(CATALOGUE_HEAD_OBJECT, text);
    fleet.run(seconds(1));
    const Revision next = fleet.propose("b");
    fleet.run(seconds(2));
    CHECK(fleet.leastRevision() == next);
}

TEST_CASE("a daemon that joins late takes a snapshot", "[control]")
{
    FakeFleet fleet(13);
    settle(fleet);
    Revision revision = 0;
    for (int i = 0; i < 200; i++)
        revision = fleet.propose("e" + std::to_string(i));
    fleet.run(seconds(3));
    const std::size_t late = fleet.addDaemon("dc-1");
    fleet.start(late);
    fleet.run(seconds(3));
    CHECK(fleet.node(late).distribution().current()->revision() == revision);
}

TEST_CASE("a paused daemon is suspected, fails, and is taken back", "[control]")
{
    FakeFleet fleet(14);
    settle(fleet);
    fleet.setPaused(2, true);
    fleet.run(seconds(12));
    CHECK_FALSE(isLiving(*fleet.node(0).membership().find(fleet.node(2).membership().self().id)));
    fleet.setPaused(2, false);
    const Revision revision = fleet.propose("a");
    fleet.run(seconds(15));
    CHECK(fleet.leastRevision() == revision);
    CHECK(fleet.tablesAgree());
}

TEST_CASE("a leaving server is known everywhere within two seconds", "[control]")
{
    FakeFleet fleet(15);
    settle(fleet);
    const ServerId leaving = fleet.node(3).membership().self().id;
    fleet.announce(3, MemberState::Draining);
    fleet.run(seconds(2));
    for (std::size_t i = 0; i < fleet.size(); i++)
        CHECK(fleet.node(i).membership().find(leaving)->record.state == MemberState::Draining);
}

TEST_CASE("links settle: none is opened and closed over and over", "[control]")
{
    FakeFleet fleet(16);
    settle(fleet);
    fleet.run(seconds(30));
    const std::size_t before = fleet.messagesSent["hello"];
    fleet.run(seconds(60));
    CHECK(fleet.messagesSent["hello"] == before);
}

TEST_CASE("a request that crashed two servers is refused by all daemons, then forgotten",
          "[control]")
{
    FakeFleet fleet(17);
    settle(fleet);
    fleet.crash(0, 77);
    fleet.run(seconds(1));
    CHECK(fleet.quarantined.empty());
    fleet.crash(6, 77);
    fleet.crash(7, 78);
    fleet.run(milliseconds(200));
    for (std::size_t i = 0; i < fleet.size(); i++)
        CHECK(fleet.quarantined[i] == std::vector<std::uint64_t>{77});
    const std::size_t late = fleet.addDaemon("dc-1");
    fleet.start(late);
    fleet.run(seconds(3));
    CHECK(fleet.quarantined[late] == std::vector<std::uint64_t>{77});
    fleet.run(seconds(601));
    for (std::size_t i = 0; i < fleet.size(); i++)
        CHECK(fleet.quarantined[i].empty());
}
