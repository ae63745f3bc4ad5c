/** @file http_test.cpp The HTTP client against servers that misbehave, and the server's bounds. */
#include "http/http_client.h"
#include "http/http_server.h"
#include "raw_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

using namespace cornelwell;

namespace {

HttpOutcome ask(HttpClient &client, const Endpoint &server, Duration timeout = seconds(5),
                int callerSocket = -1)
{
    const SystemClock clock;
    HttpRequest request;
    request.method = "POST";
    request.path = "/x";
    request.body = "hello";
    HttpBounds bounds;
    bounds.deadline = clock.now() + timeout;
    bounds.callerSocket = callerSocket;
    return client.execute(server, request, bounds);
}

/** @return the outcome of a request to a server that sends these bytes and closes. */
HttpOutcome outcomeOf(const std::string &answer)
{
    RawServer server([&](int connection) {
        readRequest(connection);
        writeText(connection, answer);
    });
    const SystemClock clock;
    HttpClient client(clock, 4);
    return ask(client, server.endpoint);
}

/** Answers with what it was asked. */
class EchoHandler final : public HttpHandler
{
public:
    HttpResponse handle(const HttpRequest &request, int) override
    {
        HttpResponse response;
        response.body
            = request.method + " " + request.path + " " + request.query + " " + request.body;
        response.status = request.bodyTooLarge ? 413 : 200;
        return response;
    }
};

} // namespace

TEST_CASE("a request on a kept connection that breaks is not sent again", "[http][threaded]")
{
    std::atomic<int> requests{0};
    RawServer server([&](int connection) {
        readRequest(connection);
        requests++;
        writeText(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        if (readRequest(connection))
            requests++;
    });
    const SystemClock clock;
    HttpClient client(clock, 4);
    CHECK(ask(client, server.endpoint).response.body == "ok");
    CHECK(ask(client, server.endpoint).failure == HttpFailure::Broken);
    CHECK(requests == 2);
}

TEST_CASE("an answer that was cut never looks whole", "[http][threaded]")
{
    const std::string cuts[]
        = {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
           "HTTP/1.1 200 OK\r\n\r\nno length",
           "HTTP/1.1 200 OK\r\nContent-Le",
           "garbage\r\n\r\n",
           ""};
    for (const std::string &cut : cuts) {
        INFO(cut);
        RawServer server([&](int connection) {
            readRequest(connection);
            writeText(connection, cut);
        });
        const SystemClock clock;
        HttpClient client(clock, 4);
        const HttpOutcome outcome = ask(client, server.endpoint);
        CHECK(outcome.failure != HttpFailure::None);
        CHECK(outcome.failure != HttpFailure::NotSent);
    }
}

// Guards against answers that the client of the event loop refuses and this one took.
TEST_CASE("a malformed answer is none", "[http][threaded]")
{
    const std::string sound = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: 2\r\n\r\nok";
    const std::string answers[] = {
        "HTTP/1.1 000 Odd\r\n" + body,       "HTTP/1.1 099 Odd\r\n" + body,
        "HTTP/1.1 100 Continue\r\n" + body,  "HTTP/1.1 101 Switching Protocols\r\n" + body,
        "HTTP/1.1 600 Odd\r\n" + body,       "HTTP/1.1 999 Odd\r\n" + body,
        sound + "A: b\r\n c\r\n" + body,     sound + "A: b\r\n\tc\r\n" + body,
        sound + " A: b\r\n" + body,          sound + "Bad Name: b\r\n" + body,
        sound + "Bad\x01Name: b\r\n" + body, sound + "Name : b\r\n" + body,
    };
    for (const std::string &answer : answers) {
        INFO(answer);
        CHECK(outcomeOf(answer).failure == HttpFailure::Malformed);
    }
}

TEST_CASE("unusual but valid answers are taken", "[http][threaded]")
{
    const std::string body = "Content-Length: 2\r\n\r\nok";
    const std::string answers[] = {
        "HTTP/1.1 200 \r\n" + body,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + body,
        "HTTP/1.1 200 OK\r\nA: \xe9\tb\r\n!#$%&'*+-.^_`|~: x\r\n" + body,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
    };
    for (const std::string &answer : answers) {
        INFO(answer);
        const HttpOutcome outcome = outcomeOf(answer);
        CHECK(outcome.failure == HttpFailure::None);
        CHECK(outcome.response.status == 200);
        CHECK(outcome.response.body == "ok");
    }
}

TEST_CASE("an answer without end is broken off", "[http][threaded]")
{
    constexpr std::size_t HEAD_BYTES_MAX = 128 * 1024; // The limit, and what one read may bring.
    constexpr std::size_t BODY_BYTES_MAX = 2 * 1024 * 1024;
    constexpr int PIECES = 4000;
    struct Flood
    {
        std::string start;
        std::string repeated;
        std::size_t bytesMax;
    };
    std::string fields;
    while (fields.size() < 200)
        fields += ": b\r\nA";
    const Flood floods[] = {
        {"HTTP/1.1 200 OK\r\nA", fields, HEAD_BYTES_MAX},
        {"HTTP/1.1 100 Continue\r\nA", fields, HEAD_BYTES_MAX},
        {"HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x'), BODY_BYTES_MAX},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "3e8\r\n" + std::string(1000, 'x') + "\r\n", BODY_BYTES_MAX},
    };
    for (const Flood &flood : floods) {
        INFO(flood.start);
        RawServer server([&](int connection) {
            readRequest(connection);
            writeText(connection, flood.start);
            for (int i = 0; i < PIECES; i++) {
                // Pauses keep the pieces apart, so that each read ends within a field's name.
                std::this_thread::sleep_for(std::chrono::microseconds(100));
                writeText(connection, flood.repeated);
            }
        });
        const SystemClock clock;
        HttpClient client(clock, 4);
        const HttpOutcome outcome = ask(client, server.endpoint, seconds(60));
        CHECK(outcome.failure == HttpFailure::Malformed);
        CHECK(client.traffic().bytesReceived <= flood.bytesMax);
    }
}

TEST_CASE("a connection that is refused is known not to have sent", "[http][threaded]")
{
    Endpoint closed;
    {
        RawServer server([](int) {});
        closed = server.endpoint;
    }
    const SystemClock clock;
    HttpClient client(clock, 4);
    CHECK(ask(client, closed).failure == HttpFailure::NotSent);
}

TEST_CASE("a silent server ends at the deadline, and a caller that leaves ends the wait",
          "[http][threaded]")
{
    RawServer server([](int connection) {
        while (readRequest(connection)) {
        }
    });
    const SystemClock clock;
    HttpClient client(clock, 4);
    CHECK(ask(client, server.endpoint, milliseconds(50)).failure == HttpFailure::TimedOut);
    int ends[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    ::close(ends[1]);
    CHECK(ask(client, server.endpoint, seconds(30), ends[0]).failure == HttpFailure::Cancelled);
    ::close(ends[0]);
}

TEST_CASE("the server hands over requests whole and bounds their bodies", "[http][threaded]")
{
    EchoHandler echo;
    HttpServerOptions options;
    options.bodyBytesMax = 100;
    const Endpoint endpoint{"127.9.9.1", 18080};
    auto server = HttpServer::start(endpoint, echo, options);
    REQUIRE(server.has_value());
    const SystemClock clock;
    HttpClient client(clock, 4);
    HttpRequest request;
    request.method = "PUT";
    request.path = "/a/b";
    request.query = "c=d";
    request.body = "body";
    HttpBounds bounds;
    bounds.deadline = clock.now() + seconds(10);
    CHECK(client.execute(endpoint, request, bounds).response.body == "PUT /a/b c=d body");
    request.body = std::string(1000, 'x');
    CHECK(client.execute(endpoint, request, bounds).response.status == 413);
    CHECK(HttpServer::start(endpoint, echo, options).error().code == ResultCode::ListenFailed);
}
