/** @file store_pages_test.cpp Pages of the store's lists, and objects that nobody has written to.
 */
#include "platform/object_platform.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

const ObjectPlatform PLATFORM;

HttpResponse answer(const std::string &body)
{
    HttpResponse response;
    response.body = body;
    return response;
}

} // namespace

// Guards against a half-read list that counts as whole because its last object cannot be read.
TEST_CASE("a page of roll-outs goes on after its last name that can be read", "[adapter]")
{
    const std::string start = R"({"store-revision":9,"has-more":true,"items":[)";
    const std::string named = R"({"meta":{"name":"desk","revision":7},"spec":{}})";
    const auto page = PLATFORM.parseRolloutList(answer(start + named + R"(,{"spec":{}}]})"));
    REQUIRE(page);
    CHECK(page.value().more);
    CHECK(page.value().last == "desk");
    const auto unnamed = PLATFORM.parseRolloutList(answer(start + R"({"spec":{}}]})"));
    REQUIRE(unnamed);
    CHECK(unnamed.value().more);
    CHECK(unnamed.value().last.empty());
}

// Guards against a list that stops for good after an object with an odd name.
TEST_CASE("odd names are encoded in the targets of requests", "[adapter]")
{
    const std::string plain = "vm-1.east_2~A";
    CHECK(PLATFORM.listRolloutsRequest(plain).path == "/api/objects/rollouts?after=" + plain);
    const std::string odd = "a b&c=d#%/\r\n\xc3\xa9";
    const std::string encoded = "a%20b%26c%3Dd%23%25%2F%0D%0A%C3%A9";
    CHECK(PLATFORM.listRolloutsRequest(odd).path == "/api/objects/rollouts?after=" + encoded);
    CHECK(PLATFORM.listDaemonsRequest(odd).path
          == "/api/objects/cornelwell-daemons?after=" + encoded + "&allow-stale=1");
    RolloutOrder order;
    order.name = odd;
    CHECK(PLATFORM.writeRolloutRequest(order).path
          == "/api/objects/rollouts/" + encoded + "/status");
}

// Guards against an alarm at the first start of each daemon, whose object has no status yet.
TEST_CASE("a status that nobody has written has no departures and no fault", "[adapter]")
{
    const ServerId daemon("vm");
    for (const char *status : {"", R"(,"status":null)", R"(,"status":{})"}) {
        INFO(status);
        const auto read = PLATFORM.parseDeparturesRead(
            answer(std::string(R"({"meta":{"name":"vm","revision":8},"spec":{"daemon":"vm"})")
                   + status + "}"),
            daemon);
        REQUIRE(read);
        CHECK(read.value().revision == 8);
        CHECK(read.value().departures.empty());
        CHECK(read.value().faults.empty());
    }
    for (const char *status : {"7", "[1]", R"({"other":1})", R"({"left":{}})"}) {
        INFO(status);
        const auto read = PLATFORM.parseDeparturesRead(
            answer(std::string(
                       R"({"meta":{"name":"vm","revision":8},"spec":{"daemon":"vm"},"status":)")
                   + status + "}"),
            daemon);
        REQUIRE(read);
        CHECK(read.value().faults.size() == 1);
    }
}
