/** @file scripted_server.h A server on a loopback socket that sends given bytes and ends its
 * connections in a given way. */
#pragma once

#include "base/identifier_type.h"
#include "loop/event_loop.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** What the server does after its last byte. */
enum class ServerEnding : std::uint8_t
{
    Wait,      ///< It waits until the other side closes.
    Close,     ///< It closes; unread bytes make the system send a reset.
    HalfClose, ///< It ends its own direction and leaves the rest of the request unread.
    Reset,     ///< It resets the connection.
    HalfOpen,  ///< It sends nothing more, whatever it gets.
};

/** What the server does on each of its connections. A server that waits at the end follows the
 * script again for the next request. */
struct ServerScript
{
    std::vector<std::string> parts; ///< Sent one in each turn.
    std::string repeated;           ///< Sent in each turn after the parts; empty: nothing.
    ServerEnding ending = ServerEnding::Wait;
    /** Bytes of the request that it reads before it sends; 0: the head. */
    std::size_t requestBytes = 0;
};

/** Accepts connections and follows its script on each of them, in turns on the loop. */
class ScriptedServer
{
public:
    /** @param ip Where to listen. @param port The port; 0: one that the system chooses. */
    explicit ScriptedServer(EventLoop &loop, const std::string &ip = "127.0.0.1",
                            std::uint16_t port = 0);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    /** @return the address that it listens on. */
    const Endpoint &endpoint() const { return m_endpoint; }
    /** @return number of connections accepted so far. */
    unsigned connections() const { return m_connections; }
    /** @return number of requests that it has begun to answer. */
    unsigned requests() const { return m_requests; }
    /** @return bytes sent so far on all connections. */
    std::uint64_t bytesSent() const { return m_bytesSent; }

    ServerScript script; ///< For connections whose request has not been answered yet.

private:
    /** A connection of a client. */
    struct Client
    {
        int socket = -1;
        std::string request; ///< Received bytes of the request in progress.
        std::size_t partsSent = 0;
        bool hasEnded = false; ///< All is sent, and the connection stays open.
    };

    void takeTurn();
    void acceptClients();
    bool serve(Client &client);
    bool readRequest(Client &client);
    bool hasRequest(const Client &client) const;
    bool sendNext(Client &client);
    bool beginEnding(Client &client);

    EventLoop &m_loop;
    TimerId m_timer = 0;
    int m_listener = -1;
    Endpoint m_endpoint;
    std::vector<Client> m_clients;
    unsigned m_connections = 0;
    unsigned m_requests = 0;
    std::uint64_t m_bytesSent = 0;
};

} // namespace cornelwell
