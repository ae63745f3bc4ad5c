/** @file base_test.cpp Endpoints, limits of the JSON parser, result codes, random numbers and
 * hashes. */
#include "base/endpoint_func.h"
#include "base/hash_func.h"
#include "base/json_func.h"
#include "base/random.h"
#include "base/result_code_func.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace cornelwell;

TEST_CASE("endpoints are IP addresses with a port", "[base]")
{
    CHECK(parseEndpoint("127.1.2.3:7101").value() == Endpoint{"127.1.2.3", 7101});
    CHECK(formatEndpoint(parseEndpoint("[::1]:80").value()) == "[::1]:80");
    for (const char *bad : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                            "127.0.0.1:65536", "127.0.0.1:8x", ":80", "256.0.0.1:80"}) {
        INFO(bad);
        CHECK(parseEndpoint(bad).error().code == ResultCode::AddressInvalid);
    }
}

TEST_CASE("JSON with a duplicate key, too deep nesting or too many bytes is rejected", "[base]")
{
    JsonOptions options;
    CHECK(parseJson(R"({"a":{"b":1},"c":{"b":2}})", options).has_value());
    CHECK(parseJson(R"({"a":1,"a":2})", options).error().detail == "duplicate key 'a'");
    CHECK_FALSE(parseJson(std::string(100000, '['), options).has_value());
    CHECK_FALSE(parseJson("{\"a\":" + std::string(40, '[') + std::string(40, ']') + "}", options)
                    .has_value());
    options.bytesMax = 4;
    CHECK_FALSE(parseJson("[1,2,3]", options).has_value());
}

TEST_CASE("a syntax error names its line", "[base]")
{
    CHECK(parseJson("{\n\"a\": 1,\n oops }", JsonOptions()).error().where == "line 3");
}

TEST_CASE("result codes have distinct names and complete rows", "[base]")
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < resultCodeCount(); i++) {
        const ResultCodeInfo &row = resultCodeAt(i);
        CHECK(names.insert(row.name).second);
        CHECK_FALSE(std::string(row.cause).empty());
        CHECK_FALSE(std::string(row.remedy).empty());
        CHECK(&resultCodeInfo(row.code) == &row);
    }
}

TEST_CASE("random numbers and hashes depend only on their input", "[base]")
{
    Random random(7);
    CHECK(random.below(1000) == Random(7).below(1000));
    for (int i = 0; i < 1000; i++) {
        const Duration span = random.jitter({100});
        CHECK(span.ms >= 50);
        CHECK(span.ms <= 150);
    }
    CHECK(hex64(hash64("cornelwell")) == hex64(hash64("cornelwell")));
    CHECK(hash64("a", 1) != hash64("a", 2));
}
