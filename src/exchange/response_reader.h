/** @file response_reader.h Answers out of the bytes of a connection to a server. */
#pragma once

#include "exchange/body_reader.h"
#include "http/http_type.h"

#include <memory>
#include <string>
#include <string_view>

namespace cornelwell {

/** How far the reader of an answer is. */
enum class ResponseParseStatus : std::uint8_t
{
    NeedMore, ///< No whole answer yet.
    Complete, ///< An answer is whole.
    Failed,   ///< The bytes are no answer.
};

/** Takes bytes, gives whole answers. No input and output. */
class ResponseReader
{
public:
    ResponseReader();
    ~ResponseReader();

    /** Begins with the answer to a request. @param method Method of the request. */
    void beginResponse(std::string_view method);
    /** Takes in bytes. */
    void feed(std::string_view bytes) { m_buffer.append(bytes); }
    /** Parses on. */
    ResponseParseStatus parse();
    /** The other side closed in order: an answer without a length is whole now. */
    ResponseParseStatus handleEof();
    /** @return the whole answer, once, after Complete. */
    HttpResponse take();
    /** @return true when the connection may carry another request after this answer. */
    bool keepAlive() const { return m_keepAlive; }
    /** @return true when bytes lie behind the answer, or before any was expected. */
    bool hasExtraBytes() const { return !m_buffer.empty(); }
    /** @return true when a byte of the answer has come. */
    bool started() const { return m_started; }

private:
    struct Parser;

    void reset();
    ResponseParseStatus readHeader();
    ResponseParseStatus readBody();

    std::string m_buffer;
    BodyReader m_body;
    bool m_complete = false;
    std::string m_method;
    std::unique_ptr<Parser> m_parser;
    bool m_started = false;
    bool m_keepAlive = false;
};

} // namespace cornelwell
