/** @file tcp_connection.h One TCP connection on the event loop. */
#pragma once

#include "base/identifier_type.h"
#include "base/result.h"
#include "loop/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cornelwell {

/** How a connection ended. */
enum class DisconnectReason : std::uint8_t
{
    Eof,     ///< The other side closed it in order.
    Reset,   ///< It broke.
    Refused, ///< It could not be opened: nobody listens there.
    Timeout, ///< It could not be opened in time.
};

/** What happens on a connection; the receiver outlives it or closes it before it goes. */
class ConnectionHandler
{
public:
    virtual ~ConnectionHandler() = default;
    /** The connection asked for is open. */
    virtual void connected() {}
    /** Bytes came in. */
    virtual void received(std::string_view bytes) = 0;
    /** The connection ended and was not closed by this side; nothing follows. */
    virtual void disconnected(DisconnectReason end) = 0;
};

class TcpConnection;
using TcpConnectionPtr = std::shared_ptr<TcpConnection>;

/** A connection; closing it silences its handler. */
class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
    /**
     * Opens a connection.
     * @param loop The loop.
     * @param to Where to.
     * @param timeout Longest wait for it to open.
     * @param handler Told what happens.
     * @param fromIp IP number that it comes from; empty for any.
     * @return the connection, not open yet.
     */
    static TcpConnectionPtr open(EventLoop &loop, const Endpoint &to, Duration timeout,
                                 ConnectionHandler &handler, const std::string &fromIp = {});
    ~TcpConnection();

    /** Begins to read; only for accepted connections. */
    void start(ConnectionHandler &handler);
    /** Sends bytes, in order. */
    void write(std::string bytes);
    /** Closes at once; bytes not sent yet are lost. */
    void close();
    /** Closes when all bytes are sent. */
    void closeWhenSent();
    /** @return bytes handed to write and not yet to the system. */
    std::size_t unsentBytes() const;
    /** @return true until it ended or was closed. */
    bool isOpen() const;
    /** @return IP number of the other side; empty when it is not connected. */
    std::string remoteIp() const;

    class Impl;
    /** For the listener and open. */
    explicit TcpConnection(std::unique_ptr<Impl> impl);

private:
    void startRead();
    void flush();
    void finish(DisconnectReason end);

    std::unique_ptr<Impl> m_impl;
};

/** Accepts connections. */
class TcpListener
{
public:
    /**
     * Listens.
     * @param loop The loop.
     * @param at Address.
     * @param onAccept Given each connection; it has to start it.
     * @return the listener, or ListenFailed.
     */
    static Result<std::unique_ptr<TcpListener>>
    listen(EventLoop &loop, const Endpoint &at, std::function<void(TcpConnectionPtr)> onAccept);
    ~TcpListener();

private:
    class Impl;
    explicit TcpListener(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace cornelwell
