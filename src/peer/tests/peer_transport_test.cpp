/** @file peer_transport_test.cpp Links to machines that are no daemons. */
#include "peer/peer_transport.h"

#include "raw_server.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

struct Events : PeerEvents
{
    void onLinkOpened(std::uint64_t, const std::optional<Endpoint> &) override { opened++; }
    void onLinkFailed(const Endpoint &, bool) override { failed++; }
    void onLinkClosed(std::uint64_t, ResultCode) override {}
    void onLinkMessage(std::uint64_t, const std::string &) override {}

    int opened = 0;
    int failed = 0;
};

} // namespace

TEST_CASE("a handshake that is answered with a status that is none of HTTP opens no link",
          "[control][threaded]")
{
    for (const char *status : {"000", "099", "426", "512", "600"}) {
        INFO(status);
        RawServer server([&](int connection) {
            if (readRequest(connection))
                writeText(connection, std::string("HTTP/1.1 ") + status
                                          + " Odd\r\nUpgrade: websocket\r\nConnection: "
                                            "Upgrade\r\n\r\n");
        });
        boost::asio::io_context context;
        const SystemClock clock;
        Events events;
        PeerTransport transport(context, PeerTransportOptions(), clock, events);
        transport.open(server.endpoint);
        while (events.failed + events.opened == 0)
            context.run_one();
        CHECK(events.opened == 0);
        CHECK(events.failed == 1);
    }
}
