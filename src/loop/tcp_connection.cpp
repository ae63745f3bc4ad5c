/** @file tcp_connection.cpp TCP connections and listeners on Boost.Asio. */
#include "loop/tcp_connection.h"

#include "base/endpoint_func.h"
#include "loop/closing_connections.h"

#include <boost/asio/ip/tcp.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <array>
#include <deque>

namespace cornelwell {

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t READ_BUFFER_BYTES = 32768;
constexpr int LISTEN_BACKLOG = 1024; ///< Most connections that wait to be accepted.
/** A connection ends when sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT). */
constexpr unsigned UNACKNOWLEDGED_TIMEOUT_MS = 4000;
constexpr std::size_t ACCEPTS_PER_WAKEUP = 64; ///< Most connections accepted per wake-up.

using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/** @return number of bytes in a queue of the socket; 0 when the system does not tell. */
std::size_t queuedBytes(Tcp::socket &socket, unsigned long queue)
{
    int bytes = 0;
    const bool isKnown = ::ioctl(socket.native_handle(), queue, &bytes) == 0 && bytes > 0;
    return isKnown ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace

class TcpConnection::Impl
{
public:
    Impl(EventLoop &eventLoop, Tcp::socket &&tcpSocket)
        : loop(eventLoop), socket(std::move(tcpSocket))
    {}

    /** @return the reason for the end that a read of the socket has reported. */
    DisconnectReason reasonOf(const ErrorCode &readError)
    {
        // The end of a connection acknowledges all that the peer had received before it.
        // A failed write consumes the error of the socket: a later read reports an orderly end even
        // if the peer has reset the connection.
        const bool isDelivered
            = !writeFailed && output.empty() && queuedBytes(socket, SIOCOUTQ) == 0;
        return readError == boost::asio::error::eof && isDelivered ? DisconnectReason::Eof
                                                                   : DisconnectReason::Reset;
    }

    EventLoop &loop;
    Tcp::socket socket;
    ConnectionHandler *handler = nullptr;
    std::deque<std::string> output;
    std::size_t outputBytes = 0;
    std::size_t sentBytesOfFirst = 0;
    TimerId connectTimer = 0;
    bool connecting = false;
    bool writing = false;
    bool writeFailed = false;
    bool reading = false;
    bool closeAfterOutput = false;
    bool open = true;
};

TcpConnection::TcpConnection(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

TcpConnection::~TcpConnection() = default;

TcpConnectionPtr TcpConnection::open(EventLoop &loop, const Endpoint &remote, Duration timeout,
                                     ConnectionHandler &handler, const std::string &fromIp)
{
    auto connection = std::make_shared<TcpConnection>(
        std::make_unique<Impl>(loop, Tcp::socket(loop.context())));
    Impl &impl = *connection->m_impl;
    impl.handler = &handler;
    impl.connecting = true;
    ErrorCode setupError;
    const auto address = boost::asio::ip::make_address(remote.ip, setupError);
    if (!fromIp.empty()) {
        const auto local = boost::asio::ip::make_address(fromIp, setupError);
        impl.socket.open(local.is_v6() ? Tcp::v6() : Tcp::v4(), setupError);
        impl.socket.bind({local, 0}, setupError);
    }
    impl.connectTimer = loop.after(timeout, [weak = std::weak_ptr<TcpConnection>(connection)] {
        if (const auto self = weak.lock())
            self->finish(DisconnectReason::Timeout);
    });
    impl.socket.async_connect({address, remote.port}, [connection](const ErrorCode &error) {
        Impl &state = *connection->m_impl;
        if (!state.open)
            return;
        state.loop.cancel(state.connectTimer);
        if (error) {
            connection->finish(error == boost::asio::error::connection_refused
                                   ? DisconnectReason::Refused
                                   : DisconnectReason::Reset);
            return;
        }
        state.connecting = false;
        ErrorCode ignored;
        state.socket.set_option(Tcp::no_delay(true), ignored);
        state.socket.set_option(UserTimeout(UNACKNOWLEDGED_TIMEOUT_MS), ignored);
        state.socket.non_blocking(true, ignored);
        state.handler->connected();
        if (!state.open)
            return;
        connection->flush();
        connection->startRead();
    });
    return connection;
}

void TcpConnection::start(ConnectionHandler &handler)
{
    m_impl->handler = &handler;
    startRead();
}

void TcpConnection::startRead()
{
    if (!m_impl->open)
        return;
    m_impl->reading = true;
    // The connection waits for bytes without a buffer of its own: a daemon has hundreds of them,
    // and one buffer of the thread serves all, because a handler keeps none of the bytes that it
    // gets.
    m_impl->socket.async_wait(
        Tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode &waitError) {
            if (!self->m_impl->open)
                return;
            static thread_local std::array<char, READ_BUFFER_BYTES> buffer;
            ErrorCode error = waitError;
            const std::size_t count
                = error ? 0 : self->m_impl->socket.read_some(boost::asio::buffer(buffer), error);
            if (error && error != boost::asio::error::would_block) {
                self->finish(self->m_impl->reasonOf(error));
                return;
            }
            if (count > 0 && !self->handleInput({buffer.data(), count}))
                return;
            self->startRead();
        });
}

/** @return true when the connection shall go on reading. */
bool TcpConnection::handleInput(std::string_view bytes)
{
    if (m_impl->closeAfterOutput)
        return m_impl->loop.closingConnections().recordInput(*this, bytes.size());
    m_impl->handler->received(bytes);
    return true;
}

void TcpConnection::write(std::string bytes)
{
    if (!m_impl->open || m_impl->closeAfterOutput || bytes.empty())
        return;
    m_impl->outputBytes += bytes.size();
    m_impl->output.push_back(std::move(bytes));
    flush();
}

void TcpConnection::flush()
{
    Impl &impl = *m_impl;
    if (impl.connecting || impl.writing || !impl.open)
        return;
    while (!impl.output.empty()) {
        const std::string &first = impl.output.front();
        ErrorCode error;
        const std::size_t sent
            = impl.socket.write_some(boost::asio::buffer(first.data() + impl.sentBytesOfFirst,
                                                         first.size() - impl.sentBytesOfFirst),
                                     error);
        if (error == boost::asio::error::would_block) {
            impl.writing = true;
            impl.socket.async_wait(Tcp::socket::wait_write,
                                   [self = shared_from_this()](const ErrorCode &failed) {
                                       self->m_impl->writing = false;
                                       if (!failed)
                                           self->flush();
                                   });
            return;
        }
        if (error) {
            // The queued bytes can never be sent. The pending read delivers the bytes that have
            // arrived, and reports the end of the connection after them.
            impl.writeFailed = true;
            impl.output.clear();
            impl.outputBytes = 0;
            impl.sentBytesOfFirst = 0;
            break;
        }
        impl.sentBytesOfFirst += sent;
        impl.outputBytes -= sent;
        if (impl.sentBytesOfFirst < first.size())
            continue;
        impl.output.pop_front();
        impl.sentBytesOfFirst = 0;
    }
    if (impl.closeAfterOutput)
        beginClosing();
}

void TcpConnection::close()
{
    if (!m_impl->open)
        return;
    if (m_impl->closeAfterOutput)
        m_impl->loop.closingConnections().remove(*this, CloseCause::Aborted);
    m_impl->open = false;
    m_impl->loop.cancel(m_impl->connectTimer);
    ErrorCode ignored;
    m_impl->socket.shutdown(Tcp::socket::shutdown_both, ignored);
    m_impl->socket.close(ignored);
}

void TcpConnection::closeWhenSent()
{
    if (!m_impl->open || m_impl->closeAfterOutput)
        return;
    if (m_impl->connecting) {
        close();
        return;
    }
    m_impl->closeAfterOutput = true;
    if (m_impl->output.empty())
        beginClosing();
}

/** Sends the end of this side's direction; ClosingConnections decides when to close. */
void TcpConnection::beginClosing()
{
    ErrorCode ignored;
    m_impl->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    m_impl->loop.closingConnections().add(shared_from_this());
    if (!m_impl->reading)
        startRead();
}

void TcpConnection::finish(DisconnectReason reason)
{
    if (!m_impl->open)
        return;
    const auto self = shared_from_this();
    m_impl->loop.closingConnections().remove(
        *this, reason == DisconnectReason::Eof ? CloseCause::PeerClosed : CloseCause::PeerReset);
    close();
    if (!m_impl->closeAfterOutput)
        m_impl->handler->disconnected(reason);
}

std::size_t TcpConnection::unsentBytes() const
{
    return m_impl->outputBytes;
}

std::size_t TcpConnection::unacknowledgedBytes() const
{
    return m_impl->open ? queuedBytes(m_impl->socket, SIOCOUTQ) : 0;
}

std::size_t TcpConnection::unreadBytes() const
{
    return m_impl->open ? queuedBytes(m_impl->socket, SIOCINQ) : 0;
}

bool TcpConnection::isOpen() const
{
    return m_impl->open;
}

std::string TcpConnection::remoteIp() const
{
    ErrorCode error;
    const Tcp::endpoint remote = m_impl->socket.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string(error);
}

class TcpListener::Impl : public std::enable_shared_from_this<TcpListener::Impl>
{
public:
    Impl(EventLoop &eventLoop, std::function<void(TcpConnectionPtr)> callback)
        : loop(eventLoop), onAccept(std::move(callback)), acceptor(eventLoop.context())
    {}

    void waitForConnections()
    {
        acceptor.async_wait(Tcp::acceptor::wait_read,
                            [self = shared_from_this()](const ErrorCode &error) {
                                if (error || !self->acceptor.is_open())
                                    return;
                                self->acceptPending();
                                self->waitForConnections();
                            });
    }

    void acceptPending()
    {
        for (std::size_t i = 0; i < ACCEPTS_PER_WAKEUP; i++) {
            ErrorCode error;
            Tcp::socket socket(loop.context());
            acceptor.accept(socket, error);
            if (error)
                return;
            socket.set_option(Tcp::no_delay(true), error);
            socket.set_option(UserTimeout(UNACKNOWLEDGED_TIMEOUT_MS), error);
            socket.non_blocking(true, error);
            onAccept(std::make_shared<TcpConnection>(
                std::make_unique<TcpConnection::Impl>(loop, std::move(socket))));
        }
    }

    EventLoop &loop;
    std::function<void(TcpConnectionPtr)> onAccept;
    Tcp::acceptor acceptor;
};

TcpListener::TcpListener(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

TcpListener::~TcpListener()
{
    ErrorCode ignored;
    m_impl->acceptor.close(ignored);
}

Result<std::unique_ptr<TcpListener>>
TcpListener::listen(EventLoop &loop, const Endpoint &listenAddress,
                    std::function<void(TcpConnectionPtr)> onAccept)
{
    const auto impl = std::make_shared<Impl>(loop, std::move(onAccept));
    ErrorCode error;
    const auto address = boost::asio::ip::make_address(listenAddress.ip, error);
    if (error)
        return fail(ResultCode::AddressInvalid, "not an IP number", formatEndpoint(listenAddress));
    const Tcp::endpoint endpoint(address, listenAddress.port);
    impl->acceptor.open(endpoint.protocol(), error);
    if (!error)
        impl->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        impl->acceptor.bind(endpoint, error);
    if (!error)
        impl->acceptor.listen(LISTEN_BACKLOG, error);
    if (!error)
        impl->acceptor.non_blocking(true, error);
    if (error)
        return fail(ResultCode::ListenFailed, error.message(), formatEndpoint(listenAddress));
    impl->waitForConnections();
    return std::unique_ptr<TcpListener>(new TcpListener(impl));
}

} // namespace cornelwell
