/** @file http_object_store_test.cpp The object API's client against a platform that misbehaves. */
#include "store/http_object_store.h"

#include "raw_server.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace cornelwell;

namespace {

const SystemClock CLOCK;

HttpObjectStoreOptions optionsFor(const RawServer &server)
{
    HttpObjectStoreOptions options;
    options.addresses = {server.endpoint};
    options.timeout = seconds(5);
    return options;
}

} // namespace

// Guards against a status of 000: a write with this answer may have taken effect, so it must count
// neither as done nor as not executed.
TEST_CASE("an answer of the platform with a status of 000 leaves the call unknown",
          "[store][threaded]")
{
    const std::string inner = "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string &answer :
         {std::string("HTTP/1.1 000 Odd\r\nETag: \"3\"\r\nContent-Length: 2\r\n\r\nok"),
          std::string("HTTP/1.1 000 Odd\r\n\r\n"),
          "HTTP/1.1 000 Odd\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n"
              + inner}) {
        INFO(answer);
        RawServer server([&](int connection) {
            if (readRequest(connection))
                writeText(connection, answer);
        });
        HttpObjectStore store(optionsFor(server), CLOCK);
        CHECK(store.read("a").error().code == ResultCode::PlatformUnknown);
        CHECK(store.create("a", "x").error().code == ResultCode::PlatformUnknown);
        CHECK(store.update("a", "x", 1).error().code == ResultCode::PlatformUnknown);
        CHECK(store.remove("a", 1).error().code == ResultCode::PlatformUnknown);
        CHECK(store.watch("a", 1, {10}).error().code == ResultCode::PlatformUnknown);
    }
}

// Guards against bytes of an answer that broke off: none may stand before the next answer.
TEST_CASE("an answer of the platform that breaks off leaves nothing for the next one",
          "[store][threaded]")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nContent-Length: 4\r\n\r\nbody";
    // The server's thread reads both.
    std::atomic<std::size_t> cut = 0;
    std::atomic<bool> isSound = false;
    RawServer server([&](int connection) {
        while (readRequest(connection)) {
            writeText(connection, isSound ? answer : answer.substr(0, cut));
            if (!isSound)
                return;
        }
    });
    HttpObjectStore store(optionsFor(server), CLOCK);
    for (cut = 1; cut < answer.size(); cut++) {
        INFO("cut at " << cut.load());
        isSound = false;
        CHECK(store.read("a").error().code == ResultCode::PlatformUnknown);
        isSound = true;
        const auto next = store.read("a");
        REQUIRE(next);
        CHECK(next.value().text == "body");
        isSound = false;
        CHECK_FALSE(store.read("a")); // On the kept connection.
    }
}
