/** @file departure_path_test.cpp Servers that leave a VM, over restarts of its daemon. */
#include "vm_site.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr std::uint16_t PORT = 27450; ///< First port of the site.

} // namespace

// Guards against DRAIN: after a kill of all daemons a late report brought back a server that had
// deregistered, since only the memory of daemons knew of it.
TEST_CASE("late reports do not bring back a departed server after its daemon was killed", "[node]")
{
    VmSite site(PORT);
    site.startDaemon();
    CHECK(site.report("i1", 1000, 7) == 200);
    REQUIRE(site.askUntil(200) == 200);
    const bool drainsFirst = GENERATE(false, true);
    if (drainsFirst)
        CHECK(site.report("i1", 1000, 8, "draining") == 200);
    else
        CHECK(site.deregister("i1") == 200);

    site.killDaemon();
    site.startDaemon();
    for (const unsigned sequence : {6U, 5U, 7U})
        CHECK(site.report("i1", 1000, sequence) == 200);
    site.pause({900});
    CHECK(site.ask() == 503);
    CHECK(site.report("i1", 1000, 4) == 200);
    CHECK(site.ask() == 503);

    // A server that starts again under its identity is back with its first report.
    CHECK(site.report("i1", 2000, 1) == 200);
    CHECK(site.ask() == 200);
}

// Guards against acknowledgements that bind nobody: the store was away when the server left.
TEST_CASE("a departure is acknowledged when the store holds it, not before", "[node]")
{
    VmSite site(PORT);
    site.startDaemon();
    CHECK(site.report("i1", 1000, 7) == 200);
    REQUIRE(site.askUntil(200) == 200);
    site.storeDown = true;
    CHECK(site.deregister("i1") == 503);
    CHECK(site.ask() == 503); // It gets no more calls all the same.
    site.storeDown = false;
    CHECK(site.deregisterUntil(200, "i1") == 200);
    site.killDaemon();
    site.startDaemon();
    CHECK(site.report("i1", 1000, 6) == 200);
    site.pause({900});
    CHECK(site.ask() == 503);
}

// Guards against departures that are lost in a store that is away while the daemon starts.
TEST_CASE("a daemon that starts without the store withdraws a departed server once it can read",
          "[node]")
{
    VmSite site(PORT);
    site.startDaemon();
    CHECK(site.report("i1", 1000, 7) == 200);
    REQUIRE(site.askUntil(200) == 200);
    CHECK(site.deregister("i1") == 200);
    site.killDaemon();
    site.storeDown = true;
    site.startDaemon();
    CHECK(site.report("i1", 1000, 6) == 200);
    site.pause({4500}); // Beyond the longest wait of reports.
    site.storeDown = false;
    REQUIRE(site.readyAfter({3000}));
    site.pause({1700}); // A retry of the read is due at least once in this time.
    CHECK(site.ask() == 503);
}

// Guards against a slow return of sound servers after a start: their reports wait for the store
// only.
TEST_CASE("a sound server is used at once after a restart of its daemon", "[node]")
{
    VmSite site(PORT);
    site.startDaemon();
    CHECK(site.report("i1", 1000, 7) == 200);
    REQUIRE(site.askUntil(200) == 200);
    CHECK(site.deregister("i0") == 200); // Another server that nobody knows.
    site.killDaemon();
    site.startDaemon();
    CHECK(site.report("i1", 1000, 8) == 200);
    REQUIRE(site.readyAfter({500}));
    CHECK(site.ask() == 200);
}
