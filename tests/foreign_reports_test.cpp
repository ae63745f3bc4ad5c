/** @file foreign_reports_test.cpp Reports and entries of other writers, on the whole path of a
 * call. */
#include "vm_site.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t PORT = 27470;     ///< First port of the site.
constexpr std::int64_t STARTED = 1000;    ///< Start of the sound server.
constexpr std::int64_t LATER = 9'000'000; ///< Start that another writer names.

/** A site with a sound server that is used. */
class UsedSite : public VmSite
{
public:
    UsedSite() : VmSite(PORT)
    {
        instanceAtServer = "i1";
        startDaemon();
        CHECK(report("i1", STARTED, 1) == 200);
        REQUIRE(askUntil(200) == 200);
    }

    /** @return a whole report of another writer, which outranks the sound server's by its start. */
    Json foreign() const { return reportBody(LATER, 1); }
};

} // namespace

// Guards against RECOVER: one report of a service that nobody named took the place of a sound
// server for good, since it told a later start.
TEST_CASE("a report that cannot be of the VM's server leaves the sound one in use", "[node]")
{
    UsedSite site;
    const std::string instance = GENERATE("i1", "i-other");
    Json unnamed = site.foreign();
    unnamed["service"] = "unnamed";
    Json configured = site.foreign();
    configured["service"] = "far";
    Json address = site.foreign();
    address["address"] = "127.0.0.2:9";
    Json ip = site.foreign();
    ip["address"] = "127.0.0.3:" + site.serverAddress().substr(10);
    Json state = site.foreign();
    state["state"] = "resting";
    for (Json body : {unnamed, configured, address, ip, state}) {
        CHECK(site.sendReport(instance, body) == 400);
        CHECK(site.ask() == 200);
        if (body["state"] == "ready") {
            body["state"] = "draining";
            CHECK(site.sendReport(instance, body) == 400);
            CHECK(site.ask() == 200);
        }
    }
    CHECK(site.report("i1", STARTED, 2) == 200);
    CHECK(site.ask() == 200);
    const std::string metrics = site.metrics();
    CHECK(metrics.find("server_reports_total{verdict=\"other_service\"} 4") != std::string::npos);
    CHECK(metrics.find("server_reports_total{verdict=\"other_address\"} 4") != std::string::npos);
    CHECK(metrics.find("server_notices_unreadable_total 1") != std::string::npos);
}

TEST_CASE("a report with a field missing or of another type leaves the sound server in use",
          "[node]")
{
    UsedSite site;
    const std::string instance = GENERATE("i1", "i-other");
    const Json whole = site.foreign();
    for (const auto &[key, value] : whole.items()) {
        const bool mayMiss = key == "born";
        for (const Json &odd : {Json(nullptr), Json(true), Json(-1), Json(1.5), Json::array({1}),
                                Json{{"a", 1}}, value.is_string() ? Json(7) : Json("7")}) {
            Json body = whole;
            body[key] = odd;
            INFO(key << " " << odd.dump());
            CHECK(site.sendReport(instance, body) == 400);
        }
        Json body = whole;
        body.erase(key);
        INFO(key);
        CHECK(site.sendReport(instance, body) == (mayMiss ? 200 : 400));
        CHECK(site.ask() == 200);
    }
    CHECK(site.report("i1", STARTED, 2) == 200);
    CHECK(site.ask() == 200);
}

TEST_CASE("a deregistration that cannot be read leaves the sound server in use", "[node]")
{
    UsedSite site;
    for (const char *body : {"\x80\xff", "7", "[]", R"({"born":"1000"})", R"({"born":1.5})",
                             R"({"born":-1})", R"({"born":18446744073709551616})"}) {
        CHECK(site.deregister("i1", body) == 400);
        CHECK(site.ask() == 200);
    }
    for (int i = 0; i < 300; i++)
        CHECK(site.deregister("x" + std::to_string(i)) == 200);
    CHECK(site.ask() == 200);
    CHECK(site.daemons["vm"].value("status", Json()).is_null()); // None of them was stored.
    CHECK(site.deregister("i1", R"({"born":1000})") == 200);
    CHECK(site.ask() == 503);
}

// Guards against a whole report of another writer that nothing tells from one of the server: it may
// take the server's place for a moment, not for good.
TEST_CASE("a sound server is back after a false report that could have been its own", "[node]")
{
    UsedSite site;
    CHECK(site.sendReport("i-other", site.foreign()) == 200);
    CHECK(site.ask() == 503); // The server answers that it is another one.
    CHECK(site.report("i1", STARTED, 2) == 200);
    CHECK(site.ask() == 200);
    // The same writer again does not outrank the server that has answered.
    CHECK(site.sendReport("i-other", site.foreign()) == 200);
    CHECK(site.ask() == 200);
}

// Guards against entries of other writers among the daemons' objects.
TEST_CASE("an entry of another writer under the daemon's name tells no departures", "[node]")
{
    VmSite site(PORT);
    site.daemons["vm"] = {{"meta", {{"name", "vm"}, {"revision", 1}}},
                          {"spec", {{"daemon", 7}}},
                          {"status", {{"left", {{{"server", "i1"}, {"start", LATER}}}}}}};
    site.startDaemon();
    CHECK(site.report("i1", STARTED, 1) == 200);
    REQUIRE(site.askUntil(200) == 200);
}

// Guards against connections that fall silent without an end: 64 of them shut the address for
// reports, and no report of the sound server arrived any more.
TEST_CASE("silent connections do not keep the reports of a sound server out", "[node]")
{
    UsedSite site;
    site.openSilentConnections(150);
    CHECK(site.report("i1", STARTED, 2) == 200);
    CHECK(site.deregister("i1") == 200);
}
