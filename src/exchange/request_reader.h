/** @file request_reader.h Incremental parser of HTTP/1.1 requests. */
#pragma once

#include "base/result.h"
#include "http/body_reader.h"
#include "http/http_type.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cornelwell {

/** A complete request received from a caller. */
struct IncomingRequest
{
    HttpRequest request;   ///< `path` holds the whole request target, query included.
    bool keepAlive = true; ///< The caller expects the connection to stay open.
};

/** Size limits of one request. */
struct RequestLimits
{
    std::size_t headerBytes = 16384;          ///< Request line and header fields, in bytes.
    std::size_t bodyBytes = 64 * 1024 * 1024; ///< Decoded body, in bytes.
};

/** Result of parsing the bytes received so far. */
enum class RequestParseStatus : std::uint8_t
{
    NeedMore, ///< The request is incomplete.
    Complete, ///< A request is complete.
    Failed,   ///< The bytes are not an acceptable request; the connection has to be closed.
};

/**
 * Parses the bytes of one connection into requests. Bytes of pipelined requests stay buffered until
 * the request before them is taken. Does no input or output.
 */
class RequestReader
{
public:
    explicit RequestReader(RequestLimits limits);
    ~RequestReader();

    /** Changes the limits for requests whose first byte is not parsed yet. */
    void setLimits(RequestLimits limits) { m_limits = limits; }
    /** Appends received bytes to the buffer. */
    void feed(std::string_view bytes) { m_buffer.append(bytes); }
    /** Parses buffered bytes. */
    RequestParseStatus parse();
    /** @return the complete request; call it once after each Complete. */
    IncomingRequest take();
    /** @return the HTTP status to respond with after Failed: 400, 413 or 431; 0 before. */
    unsigned errorStatus() const { return m_errorStatus; }
    /** @return true when a request has been received in part. */
    bool inRequest() const { return m_started || !m_buffer.empty(); }
    /** @return true when the header of the current request is complete. */
    bool headerComplete() const;
    /** @return true, at most once per request, when the caller waits for 100 (Continue). */
    bool shouldSendContinue();

private:
    struct Parser;

    void reset();
    RequestParseStatus readHeader();
    RequestParseStatus readBody();
    RequestParseStatus reject(unsigned status);

    RequestLimits m_limits;
    std::string m_buffer;
    std::unique_ptr<Parser> m_parser;
    std::size_t m_headerBytes = 0; ///< Bytes of the header that were parsed.
    BodyReader m_body;
    unsigned m_errorStatus = 0;
    bool m_started = false;
    bool m_complete = false;
    bool m_continueSent = false;
};

} // namespace cornelwell
