/** @file loop_test.cpp Order of timers; connections that are written to, closed, reset and refused.
 */
#include "loop/tcp_connection.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cornelwell;

namespace {

/** Records the callbacks of a connection; stops the loop when the connection ends. */
struct RecordingHandler : ConnectionHandler
{
    explicit RecordingHandler(EventLoop &eventLoop) : loop(eventLoop) {}

    void connected() override { isConnected = true; }
    void received(std::string_view bytes) override { text.append(bytes); }
    void disconnected(DisconnectReason why) override
    {
        reason = why;
        isDisconnected = true;
        loop.stop();
    }

    EventLoop &loop;
    bool isConnected = false;
    bool isDisconnected = false;
    std::string text;
    DisconnectReason reason = DisconnectReason::Eof;
};

} // namespace

TEST_CASE("timers fire in the order of their due times, and not when cancelled", "[loop]")
{
    EventLoop loop;
    std::vector<int> order;
    loop.after({30}, [&] { order.push_back(3); });
    loop.after({10}, [&] {
        order.push_back(1);
        loop.after({5}, [&] { order.push_back(2); });
    });
    TimerId cancelled = loop.after({20}, [&] { order.push_back(9); });
    loop.cancel(cancelled);
    CHECK(cancelled == 0);
    loop.after({60}, [&] { loop.stop(); });
    loop.run();
    CHECK(order == std::vector<int>{1, 2, 3});
}

TEST_CASE("a long text arrives before the close; without a listener a connection is refused",
          "[loop]")
{
    EventLoop loop;
    const Endpoint address{"127.0.0.1", 27321};
    const std::string text(3000000, 'x');
    std::vector<TcpConnectionPtr> accepted;
    RecordingHandler server(loop);
    const auto listener = TcpListener::listen(loop, address, [&](TcpConnectionPtr connection) {
        connection->start(server);
        connection->write(text);
        connection->closeWhenSent();
        accepted.push_back(std::move(connection));
    });
    REQUIRE(listener);
    RecordingHandler client(loop);
    const auto connection = TcpConnection::open(loop, address, seconds(20), client);
    loop.run();
    CHECK(client.isConnected);
    CHECK(client.text.size() == text.size());
    CHECK(client.reason == DisconnectReason::Eof);

    EventLoop second;
    RecordingHandler refused(second);
    const auto unconnected
        = TcpConnection::open(second, {"127.0.0.1", 27322}, seconds(20), refused);
    second.run();
    CHECK(refused.isDisconnected);
    CHECK(refused.reason == DisconnectReason::Refused);
    CHECK(TcpListener::listen(loop, {"no number", 1}, [](TcpConnectionPtr) {}).error().code
          == ResultCode::AddressInvalid);
}

// Guards against a reset that a failed write hides from the reader: the part of an answer that had
// arrived counted as whole.
TEST_CASE("a connection ends in an orderly way only when the peer has received all bytes", "[loop]")
{
    for (const ServerEnding ending :
         {ServerEnding::Reset, ServerEnding::Close, ServerEnding::HalfClose}) {
        for (const bool isReadWhole : {false, true}) {
            INFO("ending " << static_cast<int>(ending) << ", read whole: " << isReadWhole);
            EventLoop loop;
            const std::string text(12 * 1024 * 1024, 'x');
            ScriptedServer server(loop);
            server.script = {{"answer"}, "", ending, isReadWhole ? text.size() : 100};
            RecordingHandler client(loop);
            const auto connection
                = TcpConnection::open(loop, server.endpoint(), seconds(20), client);
            connection->write(text);
            loop.run();
            const bool isOrderly = isReadWhole && ending != ServerEnding::Reset;
            CHECK(client.reason == (isOrderly ? DisconnectReason::Eof : DisconnectReason::Reset));
            CHECK(client.text == "answer");
        }
    }
}
