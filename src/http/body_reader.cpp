/** @file body_reader.cpp Strict parsing of body framing. */
#include "http/body_reader.h"

#include <algorithm>
#include <cctype>

namespace cornelwell {

namespace {

constexpr std::size_t MAX_LINE_BYTES = 256; ///< Longest chunk size line, with its extensions.
constexpr std::size_t MAX_SIZE_DIGITS = 8;  ///< Most hexadecimal digits of a chunk size.
constexpr unsigned HEX_BASE = 16;

/** @return the size, in bytes, in a chunk size line; nothing when the line is malformed. */
std::optional<std::uint64_t> parseChunkSize(std::string_view line)
{
    std::size_t digits = 0;
    std::uint64_t size = 0;
    while (digits < line.size() && std::isxdigit(static_cast<unsigned char>(line[digits])) != 0) {
        const char c = line[digits++];
        const int value = c <= '9' ? c - '0' : (c | 0x20) - 'a' + 10;
        size = size * HEX_BASE + static_cast<unsigned>(value);
    }
    if (digits == 0 || digits > MAX_SIZE_DIGITS || (digits < line.size() && line[digits] != ';'))
        return std::nullopt;
    return size;
}

} // namespace

void BodyReader::beginFixedLength(std::uint64_t length, std::size_t maxBytes)
{
    *this = {};
    m_bytesLeft = length;
    m_maxBytes = maxBytes;
}

void BodyReader::beginChunked(std::size_t maxBytes)
{
    *this = {};
    m_framing = Framing::Chunked;
    m_maxBytes = maxBytes;
}

void BodyReader::beginUntilClose(std::size_t maxBytes)
{
    *this = {};
    m_framing = Framing::UntilClose;
    m_bytesLeft = UINT64_MAX;
    m_maxBytes = maxBytes;
}

BodyParseStatus BodyReader::consume(std::string &buffer)
{
    if (m_framing == Framing::FixedLength && m_bytesLeft > m_maxBytes)
        return BodyParseStatus::TooLarge;
    std::string_view bytes = buffer;
    BodyParseStatus status = BodyParseStatus::Complete;
    if (m_framing != Framing::Chunked)
        status = consumeBytes(bytes);
    while (m_framing == Framing::Chunked && status == BodyParseStatus::Complete && !m_complete)
        status = consumeChunk(bytes);
    // Once for all parts: a block of small chunks would be moved to the front for each of them.
    buffer.erase(0, buffer.size() - bytes.size());
    return status;
}

BodyParseStatus BodyReader::consumeBytes(std::string_view &bytes)
{
    const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(m_bytesLeft, bytes.size()));
    if (m_body.size() + count > m_maxBytes)
        return BodyParseStatus::TooLarge;
    m_body.append(bytes.data(), count);
    bytes.remove_prefix(count);
    m_bytesLeft -= count;
    return m_bytesLeft == 0 ? BodyParseStatus::Complete : BodyParseStatus::NeedMore;
}

/** @return NeedMore or Malformed when no line was read; nothing when @p line holds the line. */
std::optional<BodyParseStatus> BodyReader::consumeLine(std::string_view &bytes,
                                                       std::string_view &line)
{
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos)
        return bytes.size() > MAX_LINE_BYTES ? BodyParseStatus::Malformed
                                             : BodyParseStatus::NeedMore;
    if (end == 0 || end > MAX_LINE_BYTES || bytes[end - 1] != '\r')
        return BodyParseStatus::Malformed;
    line = bytes.substr(0, end - 1);
    bytes.remove_prefix(end + 1);
    return std::nullopt;
}

/** Reads one part of a chunk: the size line, the data, or the CRLF after the data. */
BodyParseStatus BodyReader::consumeChunk(std::string_view &bytes)
{
    if (m_inChunk) {
        const BodyParseStatus status = consumeBytes(bytes);
        if (status == BodyParseStatus::Complete) {
            m_inChunk = false;
            m_afterChunk = true;
        }
        return status;
    }
    std::string_view line;
    if (const auto status = consumeLine(bytes, line))
        return *status;
    if (m_afterChunk) {
        // UINT64_MAX marks the last chunk.
        m_complete = m_bytesLeft == UINT64_MAX;
        m_afterChunk = false;
        return line.empty() ? BodyParseStatus::Complete : BodyParseStatus::Malformed;
    }
    const auto size = parseChunkSize(line);
    if (!size)
        return BodyParseStatus::Malformed;
    if (m_body.size() + *size > m_maxBytes)
        return BodyParseStatus::TooLarge;
    m_bytesLeft = *size == 0 ? UINT64_MAX : *size;
    m_inChunk = *size != 0;
    m_afterChunk = *size == 0;
    return BodyParseStatus::Complete;
}

} // namespace cornelwell
