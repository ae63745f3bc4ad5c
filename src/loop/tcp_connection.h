/** @file tcp_connection.h TCP connections and listeners on the event loop. */
#pragma once

#include "base/identifier_type.h"
#include "base/result.h"
#include "loop/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cornelwell {

/** Why a connection ended, or why it could not be opened. */
enum class DisconnectReason : std::uint8_t
{
    Eof,     ///< The peer closed it in an orderly way, and has received all that was written.
    Reset,   ///< It was reset, bytes written were not delivered, or it failed in another way.
    Refused, ///< It could not be opened: nothing listens at the address.
    Timeout, ///< It could not be opened in time.
};

/** Callbacks of a connection. The handler outlives the connection or closes it first. */
class ConnectionHandler
{
public:
    virtual ~ConnectionHandler() = default;
    /** A connection from TcpConnection::open is established. */
    virtual void connected() {}
    /** Bytes arrived; @p bytes is valid during the call only. */
    virtual void received(std::string_view bytes) = 0;
    /** The connection ended, other than by a close on this side; no callback follows. */
    virtual void disconnected(DisconnectReason reason) = 0;
};

class TcpConnection;
using TcpConnectionPtr = std::shared_ptr<TcpConnection>;

/** A TCP connection. After close or closeWhenSent, its handler is not called any more. */
class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
    /**
     * Opens a connection.
     * @param loop The event loop.
     * @param remote Address to connect to.
     * @param timeout Longest wait until the connection is established.
     * @param handler Receives the callbacks.
     * @param fromIp Local IP number to bind to; empty for any.
     * @return the connection, not established yet.
     */
    static TcpConnectionPtr open(EventLoop &loop, const Endpoint &remote, Duration timeout,
                                 ConnectionHandler &handler, const std::string &fromIp = {});
    ~TcpConnection();

    /** Starts reading; for accepted connections only. */
    void start(ConnectionHandler &handler);
    /** Queues bytes to send after those of earlier calls. */
    void write(std::string bytes);
    /** Closes immediately; unsent bytes are discarded. */
    void close();
    /**
     * Sends all queued bytes and the end of this side's direction, and discards the input until the
     * peer closes too or a bound of ClosingConnections is reached. The handler is not called any
     * more.
     */
    void closeWhenSent();
    /** @return number of queued bytes that the operating system has not taken yet. */
    std::size_t unsentBytes() const;
    /** @return number of bytes that the operating system has taken and the peer not acknowledged.
     */
    std::size_t unacknowledgedBytes() const;
    /** @return number of bytes that have arrived and are not read. */
    std::size_t unreadBytes() const;
    /** @return true until the connection ends or is closed, also while it is being opened. */
    bool isOpen() const;
    /** @return IP number of the peer; empty when not connected. */
    std::string remoteIp() const;

    class Impl;
    /** Used by open and TcpListener. */
    explicit TcpConnection(std::unique_ptr<Impl> impl);

private:
    void startRead();
    bool handleInput(std::string_view bytes);
    void flush();
    void beginClosing();
    void finish(DisconnectReason reason);

    std::unique_ptr<Impl> m_impl;
};

/** Accepts TCP connections until it is destroyed. */
class TcpListener
{
public:
    /**
     * Listens on an address.
     * @param loop The event loop.
     * @param address Address to listen on.
     * @param onAccept Receives each accepted connection and has to call start on it.
     * @return the listener, or AddressInvalid or ListenFailed.
     */
    static Result<std::unique_ptr<TcpListener>>
    listen(EventLoop &loop, const Endpoint &address,
           std::function<void(TcpConnectionPtr)> onAccept);
    ~TcpListener();

private:
    class Impl;
    explicit TcpListener(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace cornelwell
