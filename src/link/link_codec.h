/** @file link_codec.h Messages of links as length-prefixed CBOR. */
#pragma once

#include "base/result.h"
#include "link/link_message_type.h"

#include <string>
#include <string_view>

namespace cornelwell {

/** Longest message that is taken in, in bytes. */
constexpr std::size_t LINK_MESSAGE_BYTES_MAX = 72UL * 1024 * 1024;

/** @return the message with its length in front. */
std::string encodeLinkMessage(const LinkMessage &message);
/** @return the message, or PeerMalformed. @param bytes CBOR without the length. */
Result<LinkMessage> decodeLinkMessage(std::string_view bytes);

/** Cuts a stream of bytes into messages. */
class LinkReader
{
public:
    /** Takes in bytes. */
    void feed(std::string_view bytes) { m_buffer.append(bytes); }
    /** @return true when a message is whole, or when the stream cannot be read on. */
    bool ready() const;
    /** @return the next message after ready, or PeerMalformed, PeerTooLarge: the link has to end.
     */
    Result<LinkMessage> next();

private:
    std::size_t length() const;

    std::string m_buffer;
    std::size_t m_begin = 0;
};

} // namespace cornelwell
