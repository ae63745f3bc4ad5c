/** @file raw_server.cpp Blocking sockets. */
#include "raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <cstdlib>

namespace cornelwell {

RawServer::RawServer(std::function<void(int connection)> serve, const std::string &ip,
                     std::uint16_t port)
{
    m_socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int one = 1;
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    REQUIRE(::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1);
    socklen_t size = sizeof address;
    REQUIRE(::bind(m_socket, reinterpret_cast<sockaddr *>(&address), size) == 0);
    REQUIRE(::listen(m_socket, 16) == 0);
    ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
    endpoint = {ip, ntohs(address.sin_port)};
    m_thread = std::thread([this, serve = std::move(serve)] {
        int connection = -1;
        while ((connection = ::accept(m_socket, nullptr, nullptr)) >= 0) {
            serve(connection);
            ::close(connection);
        }
    });
}

RawServer::~RawServer()
{
    ::shutdown(m_socket, SHUT_RDWR);
    m_thread.join();
    ::close(m_socket);
}

bool readRequest(int connection)
{
    const std::string headEnd = "\r\n\r\n";
    const std::string lengthField = "Content-Length: ";
    std::string text;
    char buffer[4096];
    while (true) {
        const std::size_t head = text.find(headEnd);
        if (head != std::string::npos) {
            const std::size_t field = text.find(lengthField);
            const std::size_t length
                = field < head ? std::strtoul(&text[field + lengthField.size()], nullptr, 10) : 0;
            if (text.size() >= head + headEnd.size() + length)
                return true;
        }
        const ssize_t count = ::recv(connection, buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        text.append(buffer, static_cast<std::size_t>(count));
    }
}

void writeText(int connection, const std::string &text)
{
    (void)::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
}

} // namespace cornelwell
