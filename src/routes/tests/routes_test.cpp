/** @file routes_test.cpp Validation, longest-prefix match, weighted split, updates. */
#include "routes/route_table.h"
#include "routes/route_update.h"
#include "routes/weighted_round_robin.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cornelwell;

namespace {

Route makeRoute(const std::string &prefix, const std::string &service = "desk")
{
    Route route;
    route.name = "r" + prefix;
    route.host = "Desk.example";
    route.prefix = prefix;
    route.timeout = {1000};
    route.split = {{ServiceName(service), 1}};
    return route;
}

RouteDocument makeDocument(Revision version, std::vector<Route> routes)
{
    RouteDocument document;
    document.version = version;
    document.routes = std::move(routes);
    document.services = {{ServiceName("desk"), 10}, {ServiceName("registry"), 10}};
    return document;
}

RouteTablePtr makeTable(Revision version, std::vector<Route> routes)
{
    return RouteTable::build(makeDocument(version, std::move(routes))).value();
}

} // namespace

TEST_CASE("a request gets the route with the longest prefix of its path", "[routes]")
{
    const auto routes
        = makeTable(1, {makeRoute("/"), makeRoute("/lots/"), makeRoute("/lots/old/")});
    CHECK(routes->match("desk.example", "/lots/7")->prefix == "/lots/");
    CHECK(routes->match("DESK.example:80", "/lots/old/7?x=/y/")->prefix == "/lots/old/");
    CHECK(routes->match("desk.example", "/lots")->prefix == "/");
    CHECK(routes->match("other.example", "/lots/7") == nullptr);
    CHECK(makeTable(1, {makeRoute("/lots/")})->match("desk.example", "/") == nullptr);
}

TEST_CASE("a document with any fault is rejected with the code of the fault", "[routes]")
{
    const auto buildResult = [](RouteDocument document) {
        const auto built = RouteTable::build(std::move(document));
        return built ? ResultCode::Ok : built.error().code;
    };
    CHECK(buildResult(makeDocument(1, {makeRoute("/a/")})) == ResultCode::Ok);
    CHECK(buildResult(makeDocument(0, {makeRoute("/a/")})) == ResultCode::RouteInvalid);
    CHECK(buildResult(makeDocument(1, {makeRoute("a/")})) == ResultCode::RouteInvalid);
    CHECK(buildResult(makeDocument(1, {makeRoute("/a")})) == ResultCode::RouteInvalid);
    CHECK(buildResult(makeDocument(1, {makeRoute("/a/", "nobody")}))
          == ResultCode::RouteDanglingService);
    CHECK(buildResult(makeDocument(1, {makeRoute("/a/"), makeRoute("/a/")}))
          == ResultCode::RouteInvalid);
    Route withoutTimeout = makeRoute("/a/");
    withoutTimeout.timeout = {0};
    CHECK(buildResult(makeDocument(1, {withoutTimeout})) == ResultCode::RouteInvalid);
    Route withoutHost = makeRoute("/a/");
    withoutHost.host.clear();
    CHECK(buildResult(makeDocument(1, {withoutHost})) == ResultCode::RouteInvalid);
    Route withoutWeight = makeRoute("/a/");
    withoutWeight.split[0].weight = 0;
    CHECK(buildResult(makeDocument(1, {withoutWeight})) == ResultCode::RouteInvalid);
}

TEST_CASE("an unusable route keeps its requests from a shorter prefix, on every daemon", "[routes]")
{
    Route unusable = makeRoute("/a/b/");
    unusable.reading = RouteReading::Unusable;
    unusable.split.clear();
    unusable.timeout = {0};
    const auto table = RouteTable::build(makeDocument(1, {makeRoute("/a/"), unusable})).value();
    REQUIRE(table->match("desk.example", "/a/b/c") != nullptr);
    CHECK(table->match("desk.example", "/a/b/c")->reading == RouteReading::Unusable);
    CHECK(table->match("desk.example", "/a/c")->reading == RouteReading::Whole);
    const auto copy = applyRouteUpdate(nullptr, makeRouteUpdate(nullptr, *table)).value();
    CHECK(copy->match("desk.example", "/a/b/c")->reading == RouteReading::Unusable);
}

TEST_CASE("a split is exact over every full round, from any start position", "[routes]")
{
    Route split = makeRoute("/a/");
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

TEST_CASE("an update leads to the next version and applies to its base version only", "[routes]")
{
    const auto first = makeTable(3, {makeRoute("/a/"), makeRoute("/b/"), makeRoute("/c/")});
    Route moved = makeRoute("/b/", "registry");
    const auto second = makeTable(9, {makeRoute("/a/"), moved, makeRoute("/d/")});
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
