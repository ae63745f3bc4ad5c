/** @file routes_test.cpp Checks of versions, the longest prefix, exact splits, updates. */
#include "routes/route_table.h"
#include "routes/route_update.h"
#include "routes/weighted_round_robin.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cornelwell;

namespace {

Route route(const std::string &prefix, const std::string &service = "desk")
{
    Route one;
    one.name = "r" + prefix;
    one.host = "Desk.example";
    one.prefix = prefix;
    one.timeout = {1000};
    one.split = {{ServiceName(service), 1}};
    return one;
}

RouteDocument document(Revision version, std::vector<Route> routes)
{
    RouteDocument whole;
    whole.version = version;
    whole.routes = std::move(routes);
    whole.services = {{ServiceName("desk"), 10}, {ServiceName("registry"), 10}};
    return whole;
}

RouteTablePtr table(Revision version, std::vector<Route> routes)
{
    return RouteTable::build(document(version, std::move(routes))).value();
}

} // namespace

TEST_CASE("the longest prefix that begins the path is the route", "[routes]")
{
    const auto routes = table(1, {route("/"), route("/lots/"), route("/lots/old/")});
    CHECK(routes->match("desk.example", "/lots/7")->prefix == "/lots/");
    CHECK(routes->match("DESK.example:80", "/lots/old/7?x=/y/")->prefix == "/lots/old/");
    CHECK(routes->match("desk.example", "/lots")->prefix == "/");
    CHECK(routes->match("other.example", "/lots/7") == nullptr);
    CHECK(table(1, {route("/lots/")})->match("desk.example", "/") == nullptr);
}

TEST_CASE("a version with a fault is refused whole, with its place", "[routes]")
{
    const auto refused = [](RouteDocument whole) {
        const auto built = RouteTable::build(std::move(whole));
        return built ? ResultCode::Ok : built.error().code;
    };
    CHECK(refused(document(1, {route("/a/")})) == ResultCode::Ok);
    CHECK(refused(document(0, {route("/a/")})) == ResultCode::RouteInvalid);
    CHECK(refused(document(1, {route("a/")})) == ResultCode::RouteInvalid);
    CHECK(refused(document(1, {route("/a")})) == ResultCode::RouteInvalid);
    CHECK(refused(document(1, {route("/a/", "nobody")})) == ResultCode::RouteDanglingService);
    CHECK(refused(document(1, {route("/a/"), route("/a/")})) == ResultCode::RouteInvalid);
    Route untimed = route("/a/");
    untimed.timeout = {0};
    CHECK(refused(document(1, {untimed})) == ResultCode::RouteInvalid);
    Route hostless = route("/a/");
    hostless.host.clear();
    CHECK(refused(document(1, {hostless})) == ResultCode::RouteInvalid);
    Route weightless = route("/a/");
    weightless.split[0].weight = 0;
    CHECK(refused(document(1, {weightless})) == ResultCode::RouteInvalid);
}

TEST_CASE("a split is exact over every round, wherever it begins", "[routes]")
{
    Route split = route("/a/");
    split.split = {{ServiceName("desk"), 90}, {ServiceName("registry"), 10}, {ServiceName("x"), 0}};
    for (const std::uint64_t offset : {0, 7, 50}) {
        WeightedRoundRobin rotation(offset);
        std::map<std::string, int> counts;
        for (int i = 0; i < 200; i++)
            counts[rotation.next(split).text()]++;
        CHECK(counts["desk"] == 180);
        CHECK(counts["registry"] == 20);
        CHECK(counts.count("x") == 0);
    }
    WeightedRoundRobin rotation(0);
    rotation.next(split);
    split.split[0].weight = 0;
    for (int i = 0; i < 20; i++)
        CHECK(rotation.next(split).text() == "registry");
}

TEST_CASE("an update makes the next version, and only of the version that it belongs to",
          "[routes]")
{
    const auto first = table(3, {route("/a/"), route("/b/"), route("/c/")});
    Route moved = route("/b/", "registry");
    const auto second = table(9, {route("/a/"), moved, route("/d/")});
    const RouteUpdate update = makeRouteUpdate(first.get(), *second);
    CHECK(update.routes.size() == 2);
    CHECK(update.removedKeys.size() == 1);
    const auto applied = applyRouteUpdate(first.get(), update);
    REQUIRE(applied);
    CHECK(applied.value()->digest() == second->digest());
    CHECK(applied.value()->match("desk.example", "/c/1") == nullptr);
    CHECK(applied.value()->match("desk.example", "/b/1")->split[0].service.text() == "registry");

    CHECK(applyRouteUpdate(second.get(), update).error().code == ResultCode::VersionGap);
    CHECK(applyRouteUpdate(nullptr, update).error().code == ResultCode::VersionGap);
    CHECK(applyRouteUpdate(nullptr, makeRouteUpdate(nullptr, *second)));
    RouteUpdate damaged = update;
    damaged.removedKeys.clear();
    CHECK(applyRouteUpdate(first.get(), damaged).error().code == ResultCode::RouteInvalid);
}
