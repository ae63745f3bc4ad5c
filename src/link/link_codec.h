/** @file link_codec.h Link messages as length-prefixed CBOR. */
#pragma once

#include "base/result.h"
#include "link/link_message_type.h"

#include <string>
#include <string_view>

namespace cornelwell {

/** Largest encoded message that a daemon accepts, in bytes. */
constexpr std::size_t LINK_MESSAGE_BYTES_MAX = 72UL * 1024 * 1024;

/** @return the encoded message with its length prefix. */
std::string encodeLinkMessage(const LinkMessage &message);
/**
 * @param bytes Encoded message without the length prefix.
 * @return the message, or PeerMalformed.
 */
Result<LinkMessage> decodeLinkMessage(std::string_view bytes);

/** Splits a stream of bytes into messages. */
class LinkReader
{
public:
    /** Appends received bytes. */
    void feed(std::string_view bytes) { m_buffer.append(bytes); }
    /** @return true when next() may be called: a message is complete or its length is too large. */
    bool ready() const;
    /**
     * Removes the next message; call it only when ready() returns true.
     * @return the message, or PeerMalformed or PeerTooLarge; after an error the link must be
     * closed.
     */
    Result<LinkMessage> next();

private:
    std::size_t messageLength() const;

    std::string m_buffer;
    std::size_t m_consumed = 0; ///< Bytes at the front of m_buffer that were already read.
};

} // namespace cornelwell
