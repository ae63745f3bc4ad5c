/** @file closing_connections.h Connections that have sent their last byte and discard their input.
 */
#pragma once

#include "loop/closing_state.h"
#include "loop/event_loop.h"

#include <list>
#include <memory>

namespace cornelwell {

class TcpConnection;
using TcpConnectionPtr = std::shared_ptr<TcpConnection>;

/** How a connection ended that had sent its last byte. */
struct ConnectionClose
{
    CloseCause cause = CloseCause::PeerClosed;
    /** Input that was not read. The system then resets the connection, and sent bytes that the peer
     * has not received are lost. */
    std::size_t unreadBytes = 0;
    std::size_t unacknowledgedBytes = 0; ///< Sent bytes that the peer has not acknowledged.
    std::size_t discardedBytes = 0;      ///< Input that was read after the last byte was sent.
    Duration lasted{0};                  ///< Time since the last byte was sent.
};

/** Receives the ends of closing connections. */
class CloseObserver
{
public:
    virtual ~CloseObserver() = default;
    /** A connection that had sent its last byte was closed. */
    virtual void connectionClosed(const ConnectionClose &close) = 0;
};

/**
 * Closes connections in stages (RFC 9112, section 9.6). The end of this side's direction is sent
 * first; input is read and discarded until the peer closes too. A socket that is closed with unread
 * input, or that gets input later, makes the system reset the connection, which discards the part
 * of the answer that the peer has not received.
 */
class ClosingConnections
{
public:
    /** @param loop The event loop; outlives this. @param options Bounds. */
    ClosingConnections(EventLoop &loop, ClosingOptions options);
    ~ClosingConnections();

    /** Sets who receives the ends of connections, or null. */
    void setObserver(CloseObserver *observer) { m_observer = observer; }
    /** Adds a connection whose last byte, and the end of its direction, were sent. */
    void add(TcpConnectionPtr connection);
    /** Records input. @return true when the connection shall go on reading. */
    bool recordInput(const TcpConnection &connection, std::size_t bytes);
    /** Removes a connection that ended; does nothing when it is not closing. */
    void remove(TcpConnection &connection, CloseCause cause);
    /** @return true when a stop of the process need not wait for any of the connections. */
    bool areSettled();
    /** @return number of connections. */
    std::size_t count() const { return m_closing.size(); }

private:
    /** A connection and its bounds. */
    struct Closing
    {
        TcpConnectionPtr connection;
        ClosingState state;
    };
    using Position = std::list<Closing>::iterator;

    Position find(const TcpConnection &connection);
    void displace();
    void close(Position position, CloseCause cause);
    void startTimer();
    void closeDue();

    EventLoop &m_loop;
    const ClosingOptions m_options;
    CloseObserver *m_observer = nullptr;
    std::list<Closing> m_closing; ///< In the order in which they were added.
    TimerId m_timer = 0;
};

} // namespace cornelwell
