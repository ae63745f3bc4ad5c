/** @file deadline_stream.h A TCP stream whose every wait ends at a deadline or when a caller
 * leaves. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <boost/system/system_error.hpp>

#include <sys/uio.h>

#include <array>
#include <cstddef>

namespace cornelwell {

/**
 * A non-blocking socket with blocking reads and writes, each bounded by one deadline. It has the
 * shape that Boost.Beast asks of a synchronous stream, whence the names of its calls.
 */
class DeadlineStream
{
public:
    DeadlineStream() = default;
    ~DeadlineStream();
    DeadlineStream(const DeadlineStream &) = delete;
    DeadlineStream &operator=(const DeadlineStream &) = delete;

    /** Sets the point at which every wait ends, and a socket whose closing ends it too (-1: none).
     */
    void setBounds(TimePoint deadline, int callerSocket);

    /** Opens a connection. @return no error when it is open. */
    boost::system::error_code connect(const Endpoint &endpoint);

    /** Closes the connection. */
    void close();

    /** @return true when a connection is open and the other side neither closed it nor sent bytes.
     */
    bool isIdle() const;

    /** @return true once bytes were handed to the kernel since the last call of resetSent. */
    bool hasSent() const { return m_sent; }

    /** Begins a new exchange. */
    void resetSent()
    {
        m_sent = false;
        m_bytesSent = 0;
        m_bytesReceived = 0;
    }

    /** @return bytes sent in this exchange. */
    std::size_t bytesSent() const { return m_bytesSent; }

    /** @return bytes received in this exchange. */
    std::size_t bytesReceived() const { return m_bytesReceived; }

    /** @return true when the caller's socket ended the last wait. */
    bool callerLeft() const { return m_callerLeft; }

    /** Reads what is there, waiting for at least one byte. */
    template<typename Buffers>
    std::size_t read_some(const Buffers &buffers, boost::system::error_code &error)
    {
        const boost::asio::mutable_buffer first = *boost::asio::buffer_sequence_begin(buffers);
        return readBytes(first.data(), first.size(), error);
    }

    /** Writes some bytes, all buffers in one call to the kernel. */
    template<typename Buffers>
    std::size_t write_some(const Buffers &buffers, boost::system::error_code &error)
    {
        std::array<iovec, GATHER_MAX> parts;
        std::size_t count = 0;
        for (auto at = boost::asio::buffer_sequence_begin(buffers);
             at != boost::asio::buffer_sequence_end(buffers) && count < parts.size(); ++at) {
            const boost::asio::const_buffer part = *at;
            if (part.size() > 0)
                parts[count++] = {const_cast<void *>(part.data()), part.size()};
        }
        return count == 0 ? 0 : writeParts(parts.data(), count, error);
    }

    /** As above; throws on errors. */
    template<typename Buffers>
    std::size_t read_some(const Buffers &buffers)
    {
        boost::system::error_code error;
        const std::size_t count = read_some(buffers, error);
        if (error)
            throw boost::system::system_error(error);
        return count;
    }

    /** As above; throws on errors. */
    template<typename Buffers>
    std::size_t write_some(const Buffers &buffers)
    {
        boost::system::error_code error;
        const std::size_t count = write_some(buffers, error);
        if (error)
            throw boost::system::system_error(error);
        return count;
    }

private:
    static constexpr std::size_t GATHER_MAX = 16; ///< Buffers handed to the kernel at once.

    std::size_t readBytes(void *data, std::size_t size, boost::system::error_code &error);
    std::size_t writeParts(iovec *parts, std::size_t count, boost::system::error_code &error);
    boost::system::error_code waitFor(short events);

    int m_socket = -1;
    int m_callerSocket = -1;
    TimePoint m_deadline = NEVER;
    bool m_sent = false;
    bool m_callerLeft = false;
    std::size_t m_bytesSent = 0;
    std::size_t m_bytesReceived = 0;
};

} // namespace cornelwell
