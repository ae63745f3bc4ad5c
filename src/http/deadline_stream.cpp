/** @file deadline_stream.cpp Socket calls of the deadline stream. */
#include "http/deadline_stream.h"

#include "base/clock.h"

#include <boost/asio/error.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace cornelwell {

namespace {

using boost::system::error_code;

constexpr std::int64_t POLL_MS_MAX = 60000; ///< Longest single wait of the kernel.

error_code systemError()
{
    return {errno, boost::system::system_category()};
}

/** A socket address of either family. */
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t length = 0;
};

bool fillAddress(const Endpoint &endpoint, SocketAddress &address)
{
    auto *v4 = reinterpret_cast<sockaddr_in *>(&address.storage);
    if (inet_pton(AF_INET, endpoint.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(endpoint.port);
        address.length = sizeof *v4;
        return true;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address.storage);
    if (inet_pton(AF_INET6, endpoint.ip.c_str(), &v6->sin6_addr) != 1)
        return false;
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(endpoint.port);
    address.length = sizeof *v6;
    return true;
}

} // namespace

DeadlineStream::~DeadlineStream()
{
    close();
}

void DeadlineStream::setBounds(TimePoint deadline, int callerSocket)
{
    m_deadline = deadline;
    m_callerSocket = callerSocket;
    m_callerLeft = false;
}

void DeadlineStream::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

error_code DeadlineStream::connect(const Endpoint &endpoint)
{
    close();
    SocketAddress address;
    if (!fillAddress(endpoint, address))
        return boost::asio::error::make_error_code(boost::asio::error::invalid_argument);
    m_socket = ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0)
        return systemError();
    const int one = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (::connect(m_socket, reinterpret_cast<sockaddr *>(&address.storage), address.length) == 0)
        return {};
    error_code error = systemError();
    if (errno == EINPROGRESS)
        error = waitFor(POLLOUT);
    int status = 0;
    socklen_t size = sizeof status;
    if (!error && getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &status, &size) == 0 && status != 0)
        error = {status, boost::system::system_category()};
    if (error)
        close();
    return error;
}

bool DeadlineStream::isIdle() const
{
    if (m_socket < 0)
        return false;
    pollfd waited{m_socket, POLLIN | POLLRDHUP, 0};
    return ::poll(&waited, 1, 0) == 0;
}

error_code DeadlineStream::waitFor(short events)
{
    const SystemClock clock;
    while (true) {
        const std::int64_t left = m_deadline == NEVER ? POLL_MS_MAX : (m_deadline - clock.now()).ms;
        if (left <= 0)
            return boost::asio::error::make_error_code(boost::asio::error::timed_out);
        pollfd waited[2] = {{m_socket, events, 0}, {m_callerSocket, POLLRDHUP, 0}};
        const nfds_t count = m_callerSocket >= 0 ? 2 : 1;
        const int ready = ::poll(waited, count, static_cast<int>(std::min(left, POLL_MS_MAX)));
        if (ready < 0 && errno != EINTR)
            return systemError();
        if (ready <= 0)
            continue;
        if (waited[0].revents != 0)
            return {};
        m_callerLeft = true;
        return boost::asio::error::make_error_code(boost::asio::error::operation_aborted);
    }
}

std::size_t DeadlineStream::readBytes(void *data, std::size_t size, error_code &error)
{
    error = {};
    while (true) {
        const ssize_t count = ::recv(m_socket, data, size, 0);
        if (count > 0) {
            m_bytesReceived += static_cast<std::size_t>(count);
            return static_cast<std::size_t>(count);
        }
        if (count == 0) {
            error = boost::asio::error::make_error_code(boost::asio::error::eof);
            return 0;
        }
        if (errno == EINTR)
            continue;
        error = errno == EAGAIN ? waitFor(POLLIN) : systemError();
        if (error)
            return 0;
    }
}

std::size_t DeadlineStream::writeParts(iovec *parts, std::size_t partCount, error_code &error)
{
    error = {};
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = partCount;
    while (true) {
        const ssize_t count = ::sendmsg(m_socket, &message, MSG_NOSIGNAL);
        if (count >= 0) {
            m_sent = m_sent || count > 0;
            m_bytesSent += static_cast<std::size_t>(count);
            return static_cast<std::size_t>(count);
        }
        if (errno == EINTR)
            continue;
        error = errno == EAGAIN ? waitFor(POLLOUT) : systemError();
        if (error)
            return 0;
    }
}

} // namespace cornelwell
