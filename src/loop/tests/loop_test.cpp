/** @file loop_test.cpp Timers in order, connections refused, closed and written to. */
#include "loop/tcp_connection.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cornelwell;

namespace {

/** Collects what happens on a connection. */
struct Recorder : ConnectionHandler
{
    explicit Recorder(EventLoop &eventLoop) : loop(eventLoop) {}

    void connected() override { opened = true; }
    void received(std::string_view bytes) override { text.append(bytes); }
    void disconnected(DisconnectReason how) override
    {
        end = how;
        hasEnded = true;
        loop.stop();
    }

    EventLoop &loop;
    bool opened = false;
    bool hasEnded = false;
    std::string text;
    DisconnectReason end = DisconnectReason::Eof;
};

} // namespace

TEST_CASE("timers run in the order of their time, and not when cancelled", "[loop]")
{
    EventLoop loop;
    std::vector<int> order;
    loop.after({30}, [&] { order.push_back(3); });
    loop.after({10}, [&] {
        order.push_back(1);
        loop.after({5}, [&] { order.push_back(2); });
    });
    TimerId never = loop.after({20}, [&] { order.push_back(9); });
    loop.cancel(never);
    CHECK(never == 0);
    loop.after({60}, [&] { loop.stop(); });
    loop.run();
    CHECK(order == std::vector<int>{1, 2, 3});
}

TEST_CASE("a long text arrives whole, then the end; nobody there is a refusal", "[loop]")
{
    EventLoop loop;
    const Endpoint at{"127.0.0.1", 47321};
    const std::string text(3000000, 'x');
    std::vector<TcpConnectionPtr> accepted;
    Recorder server(loop);
    const auto listener = TcpListener::listen(loop, at, [&](TcpConnectionPtr connection) {
        connection->start(server);
        connection->write(text);
        connection->closeWhenSent();
        accepted.push_back(std::move(connection));
    });
    REQUIRE(listener);
    Recorder client(loop);
    const auto connection = TcpConnection::open(loop, at, seconds(20), client);
    loop.run();
    CHECK(client.opened);
    CHECK(client.text.size() == text.size());
    CHECK(client.end == DisconnectReason::Eof);

    EventLoop second;
    Recorder refused(second);
    const auto nobody = TcpConnection::open(second, {"127.0.0.1", 47322}, seconds(20), refused);
    second.run();
    CHECK(refused.hasEnded);
    CHECK(refused.end == DisconnectReason::Refused);
    CHECK(TcpListener::listen(loop, {"no number", 1}, [](TcpConnectionPtr) {}).error().code
          == ResultCode::AddressInvalid);
}
