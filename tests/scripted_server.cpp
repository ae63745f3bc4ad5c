/** @file scripted_server.cpp Non-blocking sockets, so that one thread runs both sides. */
#include "scripted_server.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <iterator>

namespace cornelwell {

namespace {

constexpr Duration TURN_INTERVAL{1};
constexpr int LISTEN_BACKLOG = 64;
/** Small, so that a long request is not taken whole by the system before the server reads it. */
constexpr int RECEIVE_BUFFER_BYTES = 32768;
constexpr std::size_t READ_BYTES = 65536;

} // namespace

ScriptedServer::ScriptedServer(EventLoop &loop, const std::string &ip, std::uint16_t port)
    : m_loop(loop), m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
    const int one = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES,
                 sizeof RECEIVE_BUFFER_BYTES);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    REQUIRE(::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1);
    socklen_t size = sizeof address;
    REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
    REQUIRE(::listen(m_listener, LISTEN_BACKLOG) == 0);
    REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) == 0);
    m_endpoint = {ip, ntohs(address.sin_port)};
    takeTurn();
}

ScriptedServer::~ScriptedServer()
{
    m_loop.cancel(m_timer);
    ::close(m_listener);
    for (const Client &client : m_clients)
        ::close(client.socket);
}

void ScriptedServer::takeTurn()
{
    acceptClients();
    for (auto client = m_clients.begin(); client != m_clients.end();)
        client = serve(*client) ? std::next(client) : m_clients.erase(client);
    m_timer = m_loop.after(TURN_INTERVAL, [this] { takeTurn(); });
}

/** @return false when the connection has ended. */
bool ScriptedServer::serve(Client &client)
{
    const bool isOpen
        = readRequest(client) && (!hasRequest(client) || client.hasEnded || sendNext(client));
    if (!isOpen)
        ::close(client.socket);
    return isOpen;
}

void ScriptedServer::acceptClients()
{
    int accepted = -1;
    while ((accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0) {
        Client client;
        client.socket = accepted;
        m_clients.push_back(client);
        m_connections++;
    }
}

bool ScriptedServer::hasRequest(const Client &client) const
{
    return script.requestBytes > 0 ? client.request.size() >= script.requestBytes
                                   : client.request.find("\r\n\r\n") != std::string::npos;
}

/** Reads as much of the request as the script asks for, and later only the end of the connection.
 * @return false when the client has closed. */
bool ScriptedServer::readRequest(Client &client)
{
    std::vector<char> buffer(READ_BYTES);
    while (!hasRequest(client)) {
        const std::size_t wanted
            = script.requestBytes > 0
                  ? std::min(READ_BYTES, script.requestBytes - client.request.size())
                  : READ_BYTES;
        const ssize_t count = ::recv(client.socket, buffer.data(), wanted, 0);
        if (count < 0)
            return errno == EAGAIN;
        if (count == 0)
            return false;
        client.request.append(buffer.data(), static_cast<std::size_t>(count));
    }
    const ssize_t count = ::recv(client.socket, buffer.data(), 1, MSG_PEEK);
    return count > 0 || (count < 0 && errno == EAGAIN);
}

/** @return false when the connection has to be closed. */
bool ScriptedServer::sendNext(Client &client)
{
    const bool partsLeft = client.partsSent < script.parts.size();
    const std::string &bytes = partsLeft ? script.parts[client.partsSent] : script.repeated;
    if (!bytes.empty()) {
        const ssize_t count = ::send(client.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN)
            return false;
        m_bytesSent += count > 0 ? static_cast<std::uint64_t>(count) : 0;
    }
    if (partsLeft && client.partsSent++ == 0)
        m_requests++;
    const bool isAllSent = client.partsSent == script.parts.size() && script.repeated.empty();
    return !isAllSent || beginEnding(client);
}

/** @return false when the connection has to be closed. */
bool ScriptedServer::beginEnding(Client &client)
{
    switch (script.ending) {
    case ServerEnding::Wait:
        client.request.clear();
        client.partsSent = 0;
        return true;
    case ServerEnding::HalfClose:
        if (!client.hasEnded)
            ::shutdown(client.socket, SHUT_WR);
        client.hasEnded = true;
        return true;
    case ServerEnding::HalfOpen:
        client.hasEnded = true;
        return true;
    case ServerEnding::Reset: {
        const linger discard{1, 0};
        ::setsockopt(client.socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        return false;
    }
    case ServerEnding::Close:
        break;
    }
    return false;
}

} // namespace cornelwell
