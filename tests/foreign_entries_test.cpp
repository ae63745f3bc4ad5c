/** @file foreign_entries_test.cpp Entries and messages of other writers that cannot be read. */
#include "platform/object_platform.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>

using namespace cornelwell;

namespace {

const ObjectPlatform PLATFORM;

HttpResponse answer(const std::string &body)
{
    HttpResponse response;
    response.status = 200;
    response.body = body;
    return response;
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** Values that another writer may leave in a field of an entry. */
std::vector<std::string> oddValues()
{
    return {nested(40),
            nested(1'000'000),
            "1e400",
            "-1e999",
            "18446744073709551616",
            "1" + std::string(400, '0'),
            "\"\xff\xfe\"",
            "\"a\nb\"",
            "null",
            "{\"a\":{\"b\":1e309}}"};
}

std::string daemonEntry(const std::string &name, const std::string &link, const std::string &extra)
{
    return R"({"meta":{"name":")" + name + R"(","revision":3},"spec":{"daemon":")" + name
           + R"(","data_centre":"east","service":"desk","link":)" + link + R"(,"extra":)" + extra
           + "}}";
}

std::string routeBody(const std::string &routes, const std::string &version = "0000000c")
{
    return R"({"version":")" + version + R"(","services":[{"name":"desk"}],"routes":[)" + routes
           + "]}";
}

const std::string ROUTE = R"({"name":"r","host":"h","path-prefix":"/","service":"desk",)"
                          R"("kind":"idempotent","timeout-ms":1000})";

std::string routeList(const std::string &spec, const std::string &other)
{
    return R"({"store-revision":9,"items":[{"meta":{"name":"main","revision":5},"spec":)" + spec
           + R"(},{"meta":{"name":"other","revision":6},"spec":)" + other + "}]}";
}

} // namespace

// Guards against LOST and ends of the process: one odd entry made the whole list unreadable.
TEST_CASE("an odd entry in the list of daemons costs that entry only", "[adapter]")
{
    for (const std::string &odd : oddValues()) {
        const std::string body = R"({"store-revision":9,"has-more":false,"items":[)"
                                 + daemonEntry("a", R"("10.0.0.1:7660")", "1") + ","
                                 + daemonEntry("b", odd, "1") + ","
                                 + daemonEntry("c", R"("10.0.0.3:7660")", odd) + ","
                                 + daemonEntry("d", R"("10.0.0.4:65536")", "1") + ","
                                 + daemonEntry("e", R"("10.0.0.5:7660")", "2") + "]}";
        const auto page = PLATFORM.parseDaemonList(answer(body));
        INFO(odd.substr(0, 20));
        REQUIRE(page);
        REQUIRE(page.value().daemons.size() >= 2);
        CHECK(page.value().daemons.front().record.name.text() == "a");
        CHECK(page.value().daemons.back().record.name.text() == "e");
        CHECK(page.value().last == "e");
        const auto place = [](const Error &fault) { return fault.where; };
        std::vector<std::string> places;
        std::transform(page.value().faults.begin(), page.value().faults.end(),
                       std::back_inserter(places), place);
        CHECK(std::count(places.begin(), places.end(), "/items/1") == 1);
        CHECK(std::count(places.begin(), places.end(), "/items/3") == 1);
        for (const StoredDaemon &daemon : page.value().daemons) {
            CHECK(daemon.record.name.text() != "b");
            CHECK(daemon.record.name.text() != "d");
        }
    }
}

TEST_CASE("an odd object beside the routes does not hide the routes", "[adapter]")
{
    for (const std::string &odd : oddValues()) {
        INFO(odd.substr(0, 20));
        const auto read = PLATFORM.parseRoutesRead(answer(routeList(routeBody(ROUTE), odd)));
        REQUIRE(read);
        REQUIRE(read.value().document);
        REQUIRE(*read.value().document);
        CHECK(read.value().document->value().version == 12);
        const std::string events = R"({"store-revision":9,"events":[{"object":{"meta":{"name":)"
                                   R"("main","revision":5},"spec":)"
                                   + routeBody(ROUTE)
                                   + R"(}},{"object":{"meta":{"name":"x","revision":6},"spec":)"
                                   + odd + "}}]}";
        const auto watched = PLATFORM.parseRoutesWatch(answer(events));
        REQUIRE(watched);
        REQUIRE(watched.value().document);
        CHECK(*watched.value().document);
    }
}

TEST_CASE("a route with a part that cannot be read keeps its place and serves nothing", "[adapter]")
{
    for (const std::string &odd : {std::string("1e400"), nested(40), nested(1'000'000)}) {
        INFO(odd.substr(0, 20));
        const std::string second = R"({"name":"s","host":"h","path-prefix":"/s/",)"
                                   R"("service":"desk","kind":"idempotent",)"
                                   R"("timeout-ms":1000,"split":)"
                                   + odd + "}";
        const auto read
            = PLATFORM.parseRoutesRead(answer(routeList(routeBody(ROUTE + "," + second), "{}")));
        REQUIRE(read);
        REQUIRE(*read.value().document);
        const RouteDocument &document = read.value().document->value();
        REQUIRE(document.routes.size() == 2);
        CHECK(document.routes[0].reading == RouteReading::Whole);
        CHECK(document.routes[1].reading == RouteReading::Unusable);
        REQUIRE(read.value().faults.size() == 1);
        CHECK(read.value().faults.front().where.rfind("/items/0/spec/routes/1/split", 0) == 0);
    }
}

TEST_CASE("a version with a tenant that cannot be read is refused whole", "[adapter]")
{
    // An absent number stands for no quota, so this one must not count as absent.
    std::string spec = routeBody(ROUTE);
    spec.insert(spec.size() - 1, R"(,"tenants":[{"name":"a","api-keys":["k"],"per-s":1e400}])");
    const auto read = PLATFORM.parseRoutesRead(answer(routeList(spec, "{}")));
    REQUIRE(read);
    REQUIRE(read.value().document);
    REQUIRE_FALSE(*read.value().document);
    CHECK(read.value().document->error().code == ResultCode::RouteTenantInvalid);
}

TEST_CASE("numbers beyond their type are refused instead of cut down", "[adapter]")
{
    const auto route = [](const std::string &field, const std::string &number) {
        const auto read = PLATFORM.parseRoutesRead(answer(routeList(
            routeBody(R"({"name":"r","host":"h","path-prefix":"/","kind":"idempotent",)"
                      R"("timeout-ms":1000,"split":[{"service":"desk","weight":)"
                      + (field == "weight" ? number : std::string("1")) + R"(}],"max-attempts":)"
                      + (field == "max-attempts" ? number : std::string("2")) + "}"),
            "{}")));
        return read.value().document->value().routes.front();
    };
    for (const std::string number : {"4294967297", "18446744073709551615", "-1", "1.5"}) {
        INFO(number);
        CHECK(route("weight", number).reading == RouteReading::Unusable);
        CHECK(route("max-attempts", number).attemptsMax == Route().attemptsMax);
    }
    CHECK(route("weight", "7").split.front().weight == 7);
}

TEST_CASE("versions and eras are whole unsigned numbers and nothing else", "[adapter]")
{
    for (const std::string version :
         {"-1", "+1", " 1", "1 ", "", "0x1", "1ffffffffffffffff", "12g"}) {
        INFO(version);
        const auto read
            = PLATFORM.parseRoutesRead(answer(routeList(routeBody(ROUTE, version), "{}")));
        REQUIRE(read);
        REQUIRE(read.value().document);
        CHECK_FALSE(*read.value().document);
    }
    for (const std::string era : {"-1", "+1", " 1", "18446744073709551616", "1x", ""}) {
        INFO(era);
        HttpResponse response;
        response.headers.add("Store-Era", era);
        CHECK(PLATFORM.storeEra(response) == 0);
    }
}

TEST_CASE("settings with a number out of range are refused with its place", "[adapter]")
{
    const auto text = [](const std::string &ports, const std::string &bound) {
        return R"({"self":{"node-name":"a","ip":"10.0.0.1","zone":"z","service":"s",)"
               R"("app-addr":"10.0.0.1:80"},"network":{"internal-ports":)"
               + ports
               + R"(,"listen-addrs":{"outbound":"10.0.0.1:1","ready":"10.0.0.1:2",)"
                 R"("control":"10.0.0.1:3"}},"platform":{"platform":{"address":"10.0.0.2:9"}},)"
                 R"("timers":{"bounds":{"apply-ms":)"
               + bound + "}}}";
    };
    CHECK(PLATFORM.settings(text("[7660,7675]", "3000")).value().changeBound.ms == 3000);
    CHECK(PLATFORM.settings(text("[7660,7675]", "null")).value().changeBound.ms == 2000);
    const auto port = PLATFORM.settings(text("[65536,65540]", "2000"));
    REQUIRE_FALSE(port);
    CHECK(port.error().code == ResultCode::SettingsOutOfRange);
    CHECK(port.error().where == "/network/internal-ports/0");
    for (const std::string bound : {"-1", "1e300"}) {
        const auto settings = PLATFORM.settings(text("[7660,7675]", bound));
        REQUIRE_FALSE(settings);
        CHECK(settings.error().where == "/timers/bounds/apply-ms");
    }
}

TEST_CASE("a deeply nested report of a server is refused", "[adapter]")
{
    HttpRequest request;
    request.method = "PUT";
    request.path = "/api/instances/i-1";
    const std::string fields
        = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v","state":"ready",)"
          R"("slots":4,"sequence":1,"warmup-left-ms":0,"extra":)";
    request.body = fields + "1}";
    CHECK(PLATFORM.parseServerNotice(request));
    request.body = fields + nested(1500) + "}";
    CHECK_FALSE(PLATFORM.parseServerNotice(request));
    request.method = "DELETE";
    request.body = nested(1'000'000);
    CHECK_FALSE(PLATFORM.parseServerNotice(request));
}
