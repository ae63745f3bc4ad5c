/** @file body_reader.h Incremental reader of an HTTP/1.1 message body. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelwell {

/** Result of parsing the bytes of a body received so far. */
enum class BodyParseStatus : std::uint8_t
{
    NeedMore,  ///< The body is incomplete.
    Complete,  ///< The body is complete.
    Malformed, ///< The bytes violate the framing.
    TooLarge,  ///< The body exceeds its size limit.
};

/**
 * Reads one message body from a buffer.
 * Trailer fields and lines that do not end in CRLF are malformed.
 */
class BodyReader
{
public:
    /**
     * Starts a body whose length is known.
     * @param length Length of the body, in bytes.
     * @param maxBytes Size limit of the body, in bytes.
     */
    void beginFixedLength(std::uint64_t length, std::size_t maxBytes);
    /** Starts a body in the chunked coding. @param maxBytes Size limit of the decoded body. */
    void beginChunked(std::size_t maxBytes);
    /** Starts a body that ends when the connection closes. @param maxBytes Size limit. */
    void beginUntilClose(std::size_t maxBytes);
    /** Moves the bytes that belong to the body from the front of @p buffer into the body. */
    BodyParseStatus consume(std::string &buffer);
    /** @return true for a body that ends when the connection closes. */
    bool endsAtClose() const { return m_framing == Framing::UntilClose; }
    /** @return the decoded body; the caller may move it out. */
    std::string &body() { return m_body; }
    /** @return size of the decoded body so far. */
    std::size_t size() const { return m_body.size(); }

private:
    /** How the end of the body is marked. */
    enum class Framing : std::uint8_t
    {
        FixedLength,
        Chunked,
        UntilClose,
    };

    BodyParseStatus consumeBytes(std::string_view &bytes);
    BodyParseStatus consumeChunk(std::string_view &bytes);
    std::optional<BodyParseStatus> consumeLine(std::string_view &bytes, std::string_view &line);

    Framing m_framing = Framing::FixedLength;
    std::uint64_t m_bytesLeft = 0; ///< Bytes left of the body, or of the current chunk.
    std::size_t m_maxBytes = 0;
    bool m_inChunk = false;    ///< The next bytes are data of a chunk.
    bool m_afterChunk = false; ///< The next line is the empty one after the data of a chunk.
    bool m_complete = false;   ///< The last chunk and the empty line after it were read.
    std::string m_body;
};

} // namespace cornelwell
