/** @file request_reader.h Requests out of the bytes of a caller's connection. */
#pragma once

#include "base/result.h"
#include "exchange/body_reader.h"
#include "http/http_type.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cornelwell {

/** A whole request as it was read. */
struct IncomingRequest
{
    HttpRequest request;   ///< The request; `path` holds the whole target, query included.
    bool keepAlive = true; ///< The caller keeps the connection open.
};

/** Bounds of what a caller may send. */
struct RequestLimits
{
    std::size_t headerBytes = 16384;          ///< Request line and header fields.
    std::size_t bodyBytes = 64 * 1024 * 1024; ///< Body.
};

/** How far the reader is. */
enum class RequestParseStatus : std::uint8_t
{
    NeedMore, ///< No whole request yet.
    Complete, ///< A request is whole.
    Failed,   ///< The bytes are no request that may be served; the connection has to end.
};

/**
 * Takes bytes, gives whole requests in order. Pipelined bytes are kept until the next request is
 * asked for. No input and output.
 */
class RequestReader
{
public:
    explicit RequestReader(RequestLimits limits);
    ~RequestReader();

    /** Changes the bounds, for requests that have not begun. */
    void setLimits(RequestLimits limits) { m_limits = limits; }
    /** Takes in bytes. */
    void feed(std::string_view bytes) { m_buffer.append(bytes); }
    /** Parses on. */
    RequestParseStatus parse();
    /** @return the whole request, once, after Complete. */
    IncomingRequest take();
    /** @return the status of the refusal after Failed: 400, 413 or 431. */
    unsigned errorStatus() const { return m_errorStatus; }
    /** @return true when a request has begun and is not whole. */
    bool inRequest() const { return m_started || !m_buffer.empty(); }
    /** @return true when the header of the current request is whole. */
    bool headerComplete() const;
    /** @return true, once for a request, when the caller waits to be told to send the body. */
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
    BodyReader m_body;
    unsigned m_errorStatus = 0;
    bool m_started = false;
    bool m_complete = false;
    bool m_continueSent = false;
};

} // namespace cornelwell
