/** @file request_reader.cpp Request parsing with Boost.Beast; ambiguous framing is rejected. */
#include "exchange/request_reader.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cornelwell {

namespace beast = boost::beast;

struct RequestReader::Parser : beast::http::request_parser<beast::http::string_body>
{};

namespace {

constexpr unsigned BAD_REQUEST = 400;
constexpr unsigned TOO_LARGE = 413;
constexpr unsigned HEADER_TOO_LARGE = 431;

/**
 * Fields that allow two readings of the body length enable request smuggling.
 * @return true when at most one Content-Length or Transfer-Encoding field is present, and the
 * transfer coding is `chunked`.
 */
bool hasUnambiguousFraming(const beast::http::fields &fields)
{
    const auto lengths = fields.count(beast::http::field::content_length);
    const auto codings = fields.count(beast::http::field::transfer_encoding);
    if (lengths + codings > 1)
        return false;
    if (codings == 0)
        return true;
    return beast::iequals(fields[beast::http::field::transfer_encoding], "chunked");
}

/** @return true when the target is a path or `*`, without control characters and spaces, which
 * servers interpret in different ways. */
bool isAcceptableTarget(beast::string_view target)
{
    if (target.empty() || (target[0] != '/' && target != "*"))
        return false;
    for (const char c : target) {
        if (static_cast<unsigned char>(c) <= ' ' || c == '\x7f')
            return false;
    }
    return true;
}

} // namespace

RequestReader::RequestReader(RequestLimits limits) : m_limits(limits)
{
    reset();
}

RequestReader::~RequestReader() = default;

void RequestReader::reset()
{
    m_parser = std::make_unique<Parser>();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
    // Beast parses the header only. Its result for trailer fields depends on how the bytes are
    // split between reads.
    m_parser->skip(true);
    m_headerBytes = 0;
    m_started = false;
    m_complete = false;
    m_continueSent = false;
}

RequestParseStatus RequestReader::reject(unsigned status)
{
    m_errorStatus = status;
    return RequestParseStatus::Failed;
}

RequestParseStatus RequestReader::parse()
{
    if (m_errorStatus != 0)
        return RequestParseStatus::Failed;
    if (m_complete)
        return RequestParseStatus::Complete;
    // HTTP/1.1 allows empty lines before a request line (RFC 9112, section 2.2).
    while (!m_started && m_buffer.compare(0, 2, "\r\n") == 0)
        m_buffer.erase(0, 2);
    if (!m_started && m_buffer == "\r")
        return RequestParseStatus::NeedMore;
    if (!m_parser->is_header_done()) {
        const RequestParseStatus status = readHeader();
        if (status != RequestParseStatus::Complete)
            return status;
    }
    return readBody();
}

RequestParseStatus RequestReader::readHeader()
{
    if (m_buffer.empty())
        return RequestParseStatus::NeedMore;
    if (!m_started)
        reset();
    m_started = true;
    beast::error_code error;
    const std::size_t used
        = m_parser->put(boost::asio::const_buffer(m_buffer.data(), m_buffer.size()), error);
    m_buffer.erase(0, used);
    m_headerBytes += used;
    if (error == beast::http::error::header_limit)
        return reject(HEADER_TOO_LARGE);
    if (error && error != beast::http::error::need_more)
        return reject(BAD_REQUEST);
    if (!m_parser->is_header_done()) {
        // The parser bounds the bytes that it gets at once; twice the limit leaves room for a
        // request line and fields that it accepts in one piece each.
        const bool isTooLarge = m_buffer.size() > m_limits.headerBytes
                                || m_headerBytes + m_buffer.size() > 2 * m_limits.headerBytes;
        return isTooLarge ? reject(HEADER_TOO_LARGE) : RequestParseStatus::NeedMore;
    }
    const auto &header = m_parser->get();
    if (!hasUnambiguousFraming(header.base()) || !isAcceptableTarget(header.target()))
        return reject(BAD_REQUEST);
    if (header.count(beast::http::field::transfer_encoding) != 0)
        m_body.beginChunked(m_limits.bodyBytes);
    else
        m_body.beginFixedLength(m_parser->content_length().value_or(0), m_limits.bodyBytes);
    return RequestParseStatus::Complete;
}

RequestParseStatus RequestReader::readBody()
{
    switch (m_body.consume(m_buffer)) {
    case BodyParseStatus::NeedMore:
        return RequestParseStatus::NeedMore;
    case BodyParseStatus::Complete:
        m_complete = true;
        return RequestParseStatus::Complete;
    case BodyParseStatus::TooLarge:
        return reject(TOO_LARGE);
    case BodyParseStatus::Malformed:
        break;
    }
    return reject(BAD_REQUEST);
}

bool RequestReader::headerComplete() const
{
    return m_started && m_parser->is_header_done();
}

bool RequestReader::shouldSendContinue()
{
    if (m_continueSent || !headerComplete() || m_complete)
        return false;
    const bool expected
        = beast::iequals(m_parser->get()[beast::http::field::expect], "100-continue");
    m_continueSent = expected;
    return expected;
}

IncomingRequest RequestReader::take()
{
    auto message = m_parser->release();
    IncomingRequest incoming;
    incoming.keepAlive = message.keep_alive();
    incoming.request.method = std::string(message.method_string());
    incoming.request.path = std::string(message.target());
    for (const auto &field : message.base())
        incoming.request.headers.add(std::string(field.name_string()), std::string(field.value()));
    incoming.request.body = std::move(m_body.body());
    reset();
    return incoming;
}

} // namespace cornelwell
