/** @file store_answer_fault_test.cpp A daemon whose store's answers break off or are malformed. */
#include "vm_site.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr std::uint16_t PORT = 27510; ///< First port of the site.
constexpr const char *ROUTES_CALL = "/api/objects/config?after=";
constexpr const char *WATCH_CALL = "/api/objects/config?watch=";
constexpr const char *DAEMONS_CALL = "/api/objects/cornelwell-daemons?after=";
constexpr const char *DEPARTURES_CALL = "PUT /api/objects/cornelwell-daemons/vm/status";
constexpr int NOT_FOUND = 404;

/** A site whose daemon is in use. */
class StoreFaultSite : public VmSite
{
public:
    StoreFaultSite() : VmSite(PORT)
    {
        startDaemon();
        CHECK(report("i1", 1000, 1) == 200);
        REQUIRE(askUntil(200) == 200);
    }

    /** Waits until the daemon has got the answer with the fault. */
    void inject(const std::string &call, std::function<std::string(const std::string &)> change,
                bool reset)
    {
        storeRelay().setFault({call, std::move(change), reset});
        for (int i = 0; i < 400 && storeRelay().isArmed(); i++)
            pause({10});
        REQUIRE_FALSE(storeRelay().isArmed());
    }

    /** @return true when the daemon's metrics have the line. */
    bool hasMetric(const std::string &line)
    {
        return metrics().find(line + "\n") != std::string::npos;
    }

    /** Resets the connection after some bytes of the next answer to a call. */
    void cutAnswer(const std::string &call, std::size_t bytes)
    {
        inject(
            call, [bytes](const std::string &answer) { return answer.substr(0, bytes); }, true);
    }

    /** Writes a version of the configuration without routes. */
    void removeRoutes()
    {
        nlohmann::json next = configuration();
        next["version"] = "00000005";
        next["routes"] = nlohmann::json::array();
        configure(next);
    }
};

/** @return the answer with another status. */
std::string withStatus(const std::string &status, const std::string &answer)
{
    return answer.substr(0, 9) + status + answer.substr(12);
}

} // namespace

// Guards against CONFIG: after a reset within the head of an answer of the store the daemon could
// not read any later answer, and never followed another version.
TEST_CASE("a daemon follows the next version after answers of its store broke off", "[node]")
{
    StoreFaultSite site;
    SECTION("reads, cut in the status line, in a field, between the lines and in the body")
    {
        for (const std::size_t bytes : {1U, 9U, 17U, 25U, 36U, 60U, 200U})
            site.cutAnswer(ROUTES_CALL, bytes);
        site.removeRoutes();
    }
    SECTION("the watch that brings the version")
    {
        site.holdsWatches = true;
        const std::size_t bytes = GENERATE(5U, 30U, 300U);
        site.storeRelay().setFault(
            {WATCH_CALL, [bytes](const std::string &answer) { return answer.substr(0, bytes); },
             true});
        // The daemon polls for some seconds after the start, in which watches were refused.
        for (int i = 0; i < 100 && site.storeRelay().isArmed(); i++)
            site.pause({100});
        REQUIRE_FALSE(site.storeRelay().isArmed());
        site.removeRoutes();
    }
    CHECK(site.askUntil(NOT_FOUND) == NOT_FOUND);
}

// Guards against the same in the client that records departures: no leaving server was
// acknowledged any more.
TEST_CASE("a departure is acknowledged after an answer of the store broke off", "[node]")
{
    StoreFaultSite site;
    site.storeRelay().setFault(
        {DEPARTURES_CALL, [](const std::string &answer) { return answer.substr(0, 20); }, true});
    site.deregister("i1");
    CHECK(site.deregisterUntil(200, "i1") == 200);
    CHECK_FALSE(site.storeRelay().isArmed());
}

// Guards against the same in the client that lists the daemons.
TEST_CASE("the daemons are listed after an answer of the store broke off", "[node]")
{
    StoreFaultSite site;
    const std::string listed = R"(store_calls_failing_ms{group="fleet"} 0)";
    REQUIRE(site.hasMetric(listed));
    site.cutAnswer(DAEMONS_CALL, 20);
    site.pause({20});
    CHECK(site.hasMetric(R"(store_calls_total{group="fleet",result="PlatformUnknown"} 1)"));
    CHECK_FALSE(site.hasMetric(listed));
    for (int i = 0; i < 40 && !site.hasMetric(listed); i++)
        site.pause({100});
    CHECK(site.hasMetric(listed));
}

// Guards against a status of 000 in an answer of the store.
TEST_CASE("a status that is none of HTTP in an answer of the store is a failed call", "[node]")
{
    StoreFaultSite site;
    const std::string status = GENERATE("000", "099", "600");
    const auto change = [status](const std::string &answer) { return withStatus(status, answer); };
    SECTION("reads of the routes")
    {
        site.inject(ROUTES_CALL, change, false);
        site.removeRoutes();
        CHECK(site.askUntil(NOT_FOUND) == NOT_FOUND);
    }
    SECTION("the list of daemons is read again")
    {
        const std::string listed = R"(store_calls_failing_ms{group="fleet"} 0)";
        site.inject(DAEMONS_CALL, change, false);
        site.pause({20});
        CHECK(site.hasMetric(R"(store_calls_total{group="fleet",result="PlatformProtocol"} 1)"));
        for (int i = 0; i < 40 && !site.hasMetric(listed); i++)
            site.pause({100});
        CHECK(site.hasMetric(listed));
    }
    SECTION("a departure is not taken for stored")
    {
        site.storeRelay().setFault({DEPARTURES_CALL, change, false});
        // The first write has this answer; the acknowledgement waits for the next one.
        CHECK(site.deregisterUntil(200, "i1") == 200);
        CHECK_FALSE(site.storeRelay().isArmed());
        site.killDaemon();
        site.startDaemon();
        CHECK(site.report("i1", 1000, 1) == 200);
        site.pause({900});
        CHECK(site.ask() == 503);
    }
}
