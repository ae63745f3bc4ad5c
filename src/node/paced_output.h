/** @file paced_output.h Output of a caller's connection; large responses leave in frames. */
#pragma once

#include "loop/tcp_connection.h"
#include "node/bulk_writer.h"

#include <deque>
#include <memory>
#include <string>

namespace cornelwell {

/** Writes to one connection in order; sends large messages when the VM's link has room. */
class PacedOutput : public std::enable_shared_from_this<PacedOutput>
{
public:
    /**
     * @param connection The connection.
     * @param bulk Sends the frames; outlives this. Null for a connection that does not use the
     *     VM's link: everything is sent at once.
     */
    PacedOutput(TcpConnectionPtr connection, BulkWriter *bulk)
        : m_connection(std::move(connection)), m_bulk(bulk)
    {}

    /** Sends bytes after those of earlier calls. */
    void write(std::string bytes);
    /** Closes the connection after all bytes are sent; write must not be called any more. */
    void closeWhenSent();
    /** @return number of bytes that the operating system has not taken yet. */
    std::size_t unsentBytes() const { return m_queuedBytes + m_connection->unsentBytes(); }

private:
    void sendQueued();
    BulkProgress sendFrame(std::size_t bytes);

    TcpConnectionPtr m_connection;
    BulkWriter *m_bulk;
    std::deque<std::string> m_queue; ///< The first one is sent in frames, the others wait for it.
    std::size_t m_queuedBytes = 0;
    std::size_t m_sentOfFirst = 0;
    bool m_closeWhenSent = false;
};

} // namespace cornelwell
