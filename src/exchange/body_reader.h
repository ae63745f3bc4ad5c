/** @file body_reader.h The body behind a header: counted, in chunks, or until the end. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cornelwell {

/** How far a body is. */
enum class BodyParseStatus : std::uint8_t
{
    NeedMore,  ///< It is not whole.
    Complete,  ///< It is whole.
    Malformed, ///< The bytes are no body of this framing.
    TooLarge,  ///< It is longer than allowed.
};

/** Takes the bytes of one body out of a buffer. Trailer fields and odd line ends are broken. */
class BodyReader
{
public:
    /** Begins a body of known length. */
    void beginFixedLength(std::uint64_t length, std::size_t maxBytes);
    /** Begins a body in chunks. */
    void beginChunked(std::size_t maxBytes);
    /** Begins a body that ends with its connection. */
    void beginUntilClose(std::size_t maxBytes);
    /** Takes what belongs to the body from the front of @p buffer. */
    BodyParseStatus consume(std::string &buffer);
    /** @return true for a body that ends with its connection. */
    bool endsAtClose() const { return m_framing == Framing::UntilClose; }
    /** @return the body. */
    std::string &body() { return m_body; }

private:
    /** How the end is told. */
    enum class Framing : std::uint8_t
    {
        FixedLength,
        Chunked,
        UntilClose,
    };

    BodyParseStatus consumeBytes(std::string &buffer);
    BodyParseStatus consumeChunk(std::string &buffer);
    std::optional<BodyParseStatus> consumeLine(std::string &buffer, std::string &line);

    Framing m_framing = Framing::FixedLength;
    std::uint64_t m_bytesLeft = 0; ///< Of the body or of the current chunk.
    std::size_t m_maxBytes = 0;
    bool m_inChunk = false;
    bool m_afterChunk = false; ///< The line end behind a chunk's bytes is due.
    bool m_complete = false;   ///< The last chunk was read.
    std::string m_body;
};

} // namespace cornelwell
