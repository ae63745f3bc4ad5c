/** @file response_reader.h Incremental parser of HTTP/1.1 responses. */
#pragma once

#include "http/body_reader.h"
#include "http/http_type.h"

#include <memory>
#include <string>
#include <string_view>

namespace cornelwell {

/** Result of parsing the bytes received so far. */
enum class ResponseParseStatus : std::uint8_t
{
    NeedMore, ///< The response is incomplete.
    Complete, ///< A response is complete.
    Failed,   ///< The bytes are not an acceptable response.
};

/** Size limits of one response. */
struct ResponseLimits
{
    std::size_t headerBytes = 65536;          ///< Status line and header fields, in bytes.
    std::size_t bodyBytes = 16 * 1024 * 1024; ///< Decoded body, in bytes.
};

/** Parses the bytes of one connection into responses. Does no input or output. */
class ResponseReader
{
public:
    explicit ResponseReader(ResponseLimits limits = {});
    ~ResponseReader();

    /** Starts the response to the next request; drops bytes that belong to no response taken
     * before, such as those of one that broke off. @param method Method of that request. */
    void beginResponse(std::string_view method);
    /** Appends received bytes to the buffer. */
    void feed(std::string_view bytes) { m_buffer.append(bytes); }
    /** Parses buffered bytes; interim (1xx) responses are skipped. */
    ResponseParseStatus parse();
    /**
     * Handles an orderly close by the server.
     * @return Complete for a response that ends when the connection closes, else Failed.
     */
    ResponseParseStatus handleEof();
    /** @return the complete response; call it once after each Complete. */
    HttpResponse take();
    /** @return true when the connection may carry another request after the response taken last. */
    bool keepAlive() const { return m_keepAlive; }
    /** @return true when bytes are buffered that belong to no response taken so far. */
    bool hasExtraBytes() const { return !m_buffer.empty(); }
    /** @return bytes that the response in progress and later ones hold. */
    std::size_t bufferedBytes() const { return m_buffer.size() + m_body.size(); }
    /** @return true when a byte of the current response was parsed. */
    bool started() const { return m_started; }

private:
    struct Parser;

    void reset();
    int status() const;
    ResponseParseStatus readHeader();
    ResponseParseStatus beginBody();
    ResponseParseStatus readBody();

    const ResponseLimits m_limits;
    std::string m_buffer;
    BodyReader m_body;
    bool m_complete = false;
    std::string m_method;
    unsigned m_interimResponses = 0; ///< Before the response in progress.
    std::unique_ptr<Parser> m_parser;
    std::size_t m_headerBytes = 0; ///< Bytes of the header that were parsed.
    bool m_started = false;
    bool m_isEndAmbiguous = false; ///< The response states a body that it may not have.
    bool m_keepAlive = false;
};

} // namespace cornelwell
