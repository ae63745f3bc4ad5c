/** @file store_client_test.cpp What a client of the store keeps when a connection ends. */
#include "store_fixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cornelwell;

namespace {

const std::string ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

/** A script that sends an answer byte by byte, one in each turn. */
ServerScript slowly(const std::string &answer)
{
    ServerScript script;
    for (const char c : answer)
        script.parts.emplace_back(1, c);
    return script;
}

std::string answerWith(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against bytes of an answer that broke off: they stood before the next answer, on another
// connection, and each later call of the store failed.
TEST_CASE("a store's answer that breaks off leaves nothing for the next connection", "[node]")
{
    for (std::size_t cut = 1; cut < ANSWER.size(); cut++) {
        for (const ServerEnding ending : {ServerEnding::Reset, ServerEnding::Close}) {
            INFO("cut at " << cut << ", ending " << static_cast<int>(ending));
            StoreFixture store;
            store.server.script = {{ANSWER.substr(0, cut)}, "", ending};
            CHECK_FALSE(store.call(HttpRequest()));
            store.server.script = {{ANSWER}, "", ServerEnding::Wait};
            const Result<HttpResponse> next = store.call(HttpRequest());
            REQUIRE(next);
            CHECK(next.value().body == "body");
        }
    }
}

// Guards against the same where the client itself ends the connection, at its timeout or for a
// watch that is abandoned.
TEST_CASE("an answer of the store that is given up leaves nothing for the next connection",
          "[node]")
{
    const bool isAbandoned = GENERATE(false, true);
    for (const std::size_t cut : {1U, 12U, 17U, 20U, 36U, 38U, 40U}) {
        INFO("cut at " << cut << ", abandoned " << isAbandoned);
        StoreFixture store;
        store.server.script = {{ANSWER.substr(0, cut)}, "", ServerEnding::HalfOpen};
        std::optional<ResultCode> code;
        store.client.call(HttpRequest(), isAbandoned ? seconds(20) : Duration{50},
                          [&](const Result<HttpResponse> &response) {
                              code = response ? ResultCode::Ok : response.error().code;
                          });
        if (isAbandoned) {
            runUntil(store.loop, [&] { return store.server.bytesSent() == cut; });
            store.client.abandonCall();
        }
        runUntil(store.loop, [&] { return code.has_value(); });
        CHECK(code == ResultCode::PlatformUnknown);
        store.server.script = {{ANSWER}, "", ServerEnding::Wait};
        const Result<HttpResponse> next = store.call(HttpRequest());
        REQUIRE(next);
        CHECK(next.value().body == "body");
    }
}

TEST_CASE("queued calls get their own answers after one that broke off or was malformed", "[node]")
{
    for (const std::string &broken :
         {ANSWER.substr(0, 20), std::string("HTTP/1.1 000 Odd\r\n\r\n"), ANSWER + "extra",
          std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 2")}) {
        INFO(broken);
        StoreFixture store;
        store.server.script = {{broken}, "", ServerEnding::Reset};
        std::vector<std::string> bodies;
        for (int i = 0; i < 3; i++) {
            store.client.call(
                HttpRequest(), seconds(20), [&](const Result<HttpResponse> &response) {
                    bodies.push_back(response ? response.value().body : "failed");
                    const std::string next = std::to_string(bodies.size());
                    store.server.script = {{answerWith(next)}, "", ServerEnding::Wait};
                });
        }
        runUntil(store.loop, [&] { return bodies.size() == 3; });
        REQUIRE(bodies.size() == 3);
        CHECK(bodies[0] == (broken == ANSWER + "extra" ? "body" : "failed"));
        CHECK(bodies[1] == "1");
        CHECK(bodies[2] == "2");
    }
}

// Guards against a connection that outlives its address: after a change of the store's address a
// daemon with an open watch went on to watch the earlier store.
TEST_CASE("after a change of address the next call goes to the new store", "[node]")
{
    StoreFixture store;
    ScriptedServer other(store.loop);
    other.script = {{answerWith("new")}, "", ServerEnding::Wait};
    SECTION("while a request is at the earlier one, which answers it")
    {
        store.server.script = slowly(answerWith("old"));
        std::string body;
        store.client.call(HttpRequest(), seconds(20), [&](const Result<HttpResponse> &response) {
            body = response ? response.value().body : "failed";
        });
        runUntil(store.loop, [&] { return store.server.bytesSent() > 0; });
        store.client.setAddress(other.endpoint());
        runUntil(store.loop, [&] { return !body.empty(); });
        CHECK(body == "old");
    }
    SECTION("between two calls")
    {
        store.server.script = {{answerWith("old")}, "", ServerEnding::Wait};
        REQUIRE(store.call(HttpRequest()));
        store.client.setAddress(other.endpoint());
    }
    store.server.script = {{answerWith("old")}, "", ServerEnding::Wait};
    const Result<HttpResponse> next = store.call(HttpRequest());
    REQUIRE(next);
    CHECK(next.value().body == "new");
}

// Guards against a call that waits for its timeout because its connection was closed while it was
// being opened.
TEST_CASE("a change of address while the connection opens does not hold up the call", "[node]")
{
    StoreFixture store;
    ScriptedServer other(store.loop);
    other.script = {{answerWith("new")}, "", ServerEnding::Wait};
    std::string body;
    store.client.call(HttpRequest(), seconds(3), [&](const Result<HttpResponse> &response) {
        body = response ? response.value().body : "failed";
    });
    store.client.setAddress(other.endpoint());
    runUntil(store.loop, [&] { return !body.empty(); });
    CHECK(body == "new");
}

TEST_CASE("settings that name the same address close no connection", "[node]")
{
    StoreFixture store;
    store.server.script = {{ANSWER}, "", ServerEnding::Wait};
    REQUIRE(store.call(HttpRequest()));
    store.client.setAddress(store.server.endpoint());
    REQUIRE(store.call(HttpRequest()));
    CHECK(store.server.connections() == 1);
}
