/** @file peer_transport.h Links between daemons: WebSocket messages with bounds. */
#pragma once

#include "base/clock.h"
#include "base/identifier_type.h"
#include "base/network_cuts.h"
#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cornelwell {

/** What links report; called on the thread of the io_context. */
class PeerEvents
{
public:
    virtual ~PeerEvents() = default;

    /** A link is open. @param target Endpoint that was asked for; nothing for an accepted link. */
    virtual void onLinkOpened(std::uint64_t link, const std::optional<Endpoint> &target) = 0;
    /** A link could not be opened. @param refused True when the machine refused the connection. */
    virtual void onLinkFailed(const Endpoint &target, bool refused) = 0;
    /** A link was closed, but not by close(); Ok when the peer has no use for it any more. */
    virtual void onLinkClosed(std::uint64_t link, ResultCode code) = 0;
    /** A message came in. */
    virtual void onLinkMessage(std::uint64_t link, const std::string &bytes) = 0;
};

/** Bounds of links. */
struct PeerTransportOptions
{
    std::size_t messageBytesMax = 4 * 1024 * 1024; ///< Longest message.
    unsigned messagesPerSecondMax = 500;           ///< Messages taken from one link.
    unsigned linksMax = 64;                        ///< Links accepted.
    const NetworkCuts *cuts = nullptr;             ///< Addresses that an experiment cuts off.
};

/** Bytes that crossed links. */
struct PeerTraffic
{
    std::uint64_t bytesSent = 0;        ///< Bytes of messages and their frames sent.
    std::uint64_t bytesReceived = 0;    ///< Bytes of messages and their frames received.
    std::uint64_t messagesSent = 0;     ///< Messages sent.
    std::uint64_t messagesReceived = 0; ///< Messages received.
};

/** Opens, accepts and closes links. Not safe for threads: all calls on the io_context's thread. */
class PeerTransport
{
public:
    /**
     * @param context Runs all input and output.
     * @param options Bounds.
     * @param clock For the rate bound.
     * @param events Receives the reports; must outlive the transport.
     */
    PeerTransport(boost::asio::io_context &context, PeerTransportOptions options,
                  const Clock &clock, PeerEvents &events);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /** Begins to accept links. */
    Result<void> listen(const Endpoint &endpoint);

    /** Opens a link; ends in onLinkOpened or onLinkFailed. */
    void open(const Endpoint &endpoint);

    /** Sends a message; a link that is gone is left alone. */
    void send(std::uint64_t link, const std::string &bytes);

    /** Closes a link; nothing is reported. */
    void close(std::uint64_t link, ResultCode code);

    /** Stops listening and closes all links. */
    void shutdown();

    /** @return bytes that crossed links so far. */
    const PeerTraffic &traffic() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cornelwell
