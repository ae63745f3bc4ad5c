/** @file closing_connections.cpp Bounds of the closing connections, checked by one timer. */
#include "loop/closing_connections.h"

#include "loop/tcp_connection.h"

#include <algorithm>
#include <utility>

namespace cornelwell {

namespace {

/** Interval of the checks; the bounds are seconds. */
constexpr Duration CHECK_INTERVAL{200};

} // namespace

ClosingConnections::ClosingConnections(EventLoop &loop, ClosingOptions options)
    : m_loop(loop), m_options(options)
{}

ClosingConnections::~ClosingConnections() = default;

void ClosingConnections::add(TcpConnectionPtr connection)
{
    if (m_closing.size() >= m_options.connectionsMax)
        displace();
    m_closing.push_back({std::move(connection), ClosingState(m_options, m_loop.now())});
    startTimer();
}

/** Closes the connection that loses least: the oldest one whose peer has received all, or else the
 * oldest one. */
void ClosingConnections::displace()
{
    const auto settled = std::find_if(m_closing.begin(), m_closing.end(), [](const Closing &one) {
        return one.connection->unacknowledgedBytes() == 0;
    });
    close(settled == m_closing.end() ? m_closing.begin() : settled, CloseCause::Displaced);
}

ClosingConnections::Position ClosingConnections::find(const TcpConnection &connection)
{
    return std::find_if(m_closing.begin(), m_closing.end(),
                        [&](const Closing &one) { return one.connection.get() == &connection; });
}

bool ClosingConnections::recordInput(const TcpConnection &connection, std::size_t bytes)
{
    const Position position = find(connection);
    if (position == m_closing.end())
        return true;
    position->state.recordInput(bytes, m_loop.now());
    return position->state.readsInput();
}

void ClosingConnections::remove(TcpConnection &connection, CloseCause cause)
{
    const Position position = find(connection);
    if (position == m_closing.end())
        return;
    const Closing closing = std::move(*position);
    m_closing.erase(position);
    if (m_observer != nullptr)
        m_observer->connectionClosed(
            {cause, closing.connection->unreadBytes(), closing.connection->unacknowledgedBytes(),
             closing.state.inputBytes(), m_loop.now() - closing.state.startedAt()});
}

void ClosingConnections::close(Position position, CloseCause cause)
{
    const TcpConnectionPtr connection = position->connection;
    remove(*connection, cause);
    connection->close();
}

bool ClosingConnections::areSettled()
{
    const TimePoint now = m_loop.now();
    return std::all_of(m_closing.begin(), m_closing.end(), [now](Closing &one) {
        one.state.recordUnacknowledged(one.connection->unacknowledgedBytes(), now);
        return one.state.isSettled(now);
    });
}

void ClosingConnections::startTimer()
{
    if (m_timer != 0 || m_closing.empty())
        return;
    m_timer = m_loop.after(CHECK_INTERVAL, [this] {
        m_timer = 0;
        closeDue();
        startTimer();
    });
}

void ClosingConnections::closeDue()
{
    const TimePoint now = m_loop.now();
    for (Position position = m_closing.begin(); position != m_closing.end();) {
        const Position next = std::next(position);
        position->state.recordUnacknowledged(position->connection->unacknowledgedBytes(), now);
        if (const auto cause = position->state.closeCause(now))
            close(position, *cause);
        position = next;
    }
}

} // namespace cornelwell
