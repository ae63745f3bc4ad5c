/** @file broken_answers_test.cpp Answers of servers and of the store that are cut or malformed. */
#include "exchange/message_func.h"
#include "node/server_connection_pool.h"
#include "store_fixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>

using namespace cornelwell;

namespace {

const CallFields FIELDS = {"Id",          "Deadline", "Instance", "Not-Run",    "Seal",  "Caller",
                           "Retry-After", "Limit",    "Leaving",  "Credential", "Tenant"};

/** The head of an answer without a length, and a part of its body. */
const std::string CUT_ANSWER = "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\n\r\npart";
/** More than the system's buffers hold, so that the upload is still being written. */
constexpr std::size_t LONG_UPLOAD_BYTES = 12 * 1024 * 1024;
/** Less than the sender's buffer and more than the receiver's. */
constexpr std::size_t SHORT_UPLOAD_BYTES = 300 * 1024;

const ServerEnding EARLY_ENDINGS[]
    = {ServerEnding::Reset, ServerEnding::Close, ServerEnding::HalfClose};

HttpRequest upload(std::size_t bytes)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/";
    request.body = std::string(bytes, 'x');
    return request;
}

/** A pool of connections to a server that follows a script. */
struct PoolFixture
{
    /** @return the result of a request. */
    ServerResult send(HttpRequest request)
    {
        const HostCallId id = ++lastId;
        pool.send(server.endpoint(), {id, std::move(request), "r"});
        runUntil(loop, [&] { return results.count(id) != 0; });
        REQUIRE(results.count(id) != 0);
        return results[id];
    }

    EventLoop loop;
    ScriptedServer server{loop};
    std::map<HostCallId, ServerResult> results;
    HostCallId lastId = 0;
    ServerConnectionPool pool{
        loop, FIELDS, [this](HostCallId id, const ServerResult &result) { results[id] = result; }};
};

} // namespace

// Guards against a server that answers an upload early and breaks off: callers got the part that
// it had sent as a complete 200.
TEST_CASE("an answer that ends with the connection is cut when the request was not taken whole",
          "[node]")
{
    for (const std::size_t bytes : {LONG_UPLOAD_BYTES, SHORT_UPLOAD_BYTES}) {
        for (const ServerEnding ending : EARLY_ENDINGS) {
            INFO("upload of " << bytes << " bytes, ending " << static_cast<int>(ending));
            PoolFixture fixture;
            fixture.server.script = {{CUT_ANSWER}, "", ending, 100};
            const ServerResult result = fixture.send(upload(bytes));
            CHECK(result.outcome.state == RunState::Unknown);
            CHECK(result.outcome.response.body.empty());
        }
    }
}

TEST_CASE("a store's answer that ends with the connection is cut when the request was not taken "
          "whole",
          "[node]")
{
    for (const std::size_t bytes : {LONG_UPLOAD_BYTES, SHORT_UPLOAD_BYTES}) {
        for (const ServerEnding ending : EARLY_ENDINGS) {
            INFO("request of " << bytes << " bytes, ending " << static_cast<int>(ending));
            StoreFixture fixture;
            fixture.server.script = {{CUT_ANSWER}, "", ending, 100};
            const Result<HttpResponse> response = fixture.call(upload(bytes));
            REQUIRE_FALSE(response);
            CHECK(response.error().code == ResultCode::PlatformUnknown);
        }
    }
}

TEST_CASE("sound answers to uploads are passed on", "[node]")
{
    const HttpRequest request = upload(LONG_UPLOAD_BYTES);
    const std::size_t requestBytes = serializeRequest(request).size();
    const std::string whole
        = "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nContent-Length: 4\r\n\r\npart";
    const ServerScript scripts[] = {
        // The server closes after it has read the whole request.
        {{CUT_ANSWER}, "", ServerEnding::Close, requestBytes},
        {{CUT_ANSWER}, "", ServerEnding::HalfClose, requestBytes},
        // The length shows that an early answer is whole, however the connection ends.
        {{whole}, "", ServerEnding::Reset, 100},
        {{whole}, "", ServerEnding::Close, 100},
        {{whole}, "", ServerEnding::HalfClose, 100},
        {{whole}, "", ServerEnding::Wait, 100},
    };
    for (const ServerScript &script : scripts) {
        INFO("ending " << static_cast<int>(script.ending));
        PoolFixture fixture;
        fixture.server.script = script;
        const ServerResult result = fixture.send(request);
        CHECK(result.outcome.state == RunState::Answered);
        CHECK(result.outcome.response.body == "part");
    }
}

TEST_CASE("a server's status that is none of HTTP is no answer", "[node]")
{
    const std::string hidden = "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
    const std::string length = "Content-Length: " + std::to_string(hidden.size()) + "\r\n\r\n";
    const std::string fields = " Odd\r\nId: r\r\nSeal: s\r\n";
    for (const char *status : {"000", "001", "099", "100", "600", "999"}) {
        INFO("status " << status);
        const std::string answer = std::string("HTTP/1.1 ") + status + fields + length + hidden;
        PoolFixture pool;
        pool.server.script.parts = {answer};
        CHECK(pool.send(upload(1)).outcome.state == RunState::Unknown);
        StoreFixture store;
        store.server.script.parts = {answer};
        const Result<HttpResponse> response = store.call(upload(1));
        REQUIRE_FALSE(response);
        CHECK(response.error().code == ResultCode::PlatformProtocol);
    }
}

// Guards against bytes without end that are counted in pieces: the daemon kept all of them and ran
// out of memory.
TEST_CASE("a head without end is broken off at its limit", "[node]")
{
    constexpr std::uint64_t MAX_SENT_BYTES = 512 * 1024; // The limit, and what sockets hold.
    constexpr HostCallId CALLS = 8;
    std::string block;
    while (block.size() < 16384)
        block += ": b\r\nA";
    for (const char *start : {"HTTP/1.1 200 OK\r\nA", "HTTP/1.1 100 Continue\r\nA"}) {
        INFO(start);
        PoolFixture pool;
        pool.server.script = {{start}, block};
        for (HostCallId id = 1; id <= CALLS; id++)
            pool.pool.send(pool.server.endpoint(), {id, upload(1), "r"});
        runUntil(pool.loop, [&] {
            return pool.results.size() == CALLS || pool.server.bytesSent() > CALLS * MAX_SENT_BYTES;
        });
        CHECK(pool.server.bytesSent() <= CALLS * MAX_SENT_BYTES);
        CHECK(pool.results.size() == CALLS);
        for (const auto &[id, result] : pool.results)
            CHECK(result.outcome.reason == HostReason::Garbled);

        StoreFixture store;
        store.server.script = {{start}, block};
        std::optional<ResultCode> code;
        store.client.call(upload(1), seconds(20), [&](const Result<HttpResponse> &response) {
            code = response ? ResultCode::Ok : response.error().code;
        });
        runUntil(store.loop, [&] { return code || store.server.bytesSent() > MAX_SENT_BYTES; });
        CHECK(store.server.bytesSent() <= MAX_SENT_BYTES);
        CHECK(code == ResultCode::PlatformProtocol);
    }
}

TEST_CASE("a store's refusal that ends with the connection is a refusal", "[node]")
{
    for (const char *status : {"429", "503"}) {
        StoreFixture store;
        store.server.script
            = {{std::string("HTTP/1.1 ") + status + " Busy\r\n\r\nlater"}, "", ServerEnding::Close};
        const Result<HttpResponse> response = store.call(HttpRequest());
        REQUIRE_FALSE(response);
        CHECK(response.error().code == ResultCode::PlatformThrottled);
    }
}
