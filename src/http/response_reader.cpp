/** @file response_reader.cpp Response parsing with Boost.Beast. */
#include "http/response_reader.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cornelwell {

namespace beast = boost::beast;

struct ResponseReader::Parser : beast::http::response_parser<beast::http::string_body>
{};

namespace {

/** Most interim responses before the final one. */
constexpr unsigned MAX_INTERIM_RESPONSES = 16;
constexpr int NO_CONTENT = 204;
constexpr int NOT_MODIFIED = 304;
constexpr int SWITCHING_PROTOCOLS = 101; ///< An error: no request asks for an upgrade.

/** @return true when a line begins with a blank or a tab, which continues the value of the field
 * before it (obsolete line folding, RFC 9112, section 5.2). */
bool hasFoldedLine(std::string_view lines)
{
    for (std::size_t at = lines.find('\n'); at != std::string_view::npos && at + 1 < lines.size();
         at = lines.find('\n', at + 1)) {
        if (lines[at + 1] == ' ' || lines[at + 1] == '\t')
            return true;
    }
    return false;
}

} // namespace

ResponseReader::ResponseReader(ResponseLimits limits) : m_limits(limits) {}

ResponseReader::~ResponseReader() = default;

void ResponseReader::reset()
{
    m_parser = std::make_unique<Parser>();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
    m_parser->skip(true);
    m_headerBytes = 0;
    m_started = false;
    m_complete = false;
}

void ResponseReader::beginResponse(std::string_view method)
{
    m_method = std::string(method);
    m_interimResponses = 0;
    m_buffer.clear();
    m_body = {};
    reset();
}

ResponseParseStatus ResponseReader::parse()
{
    while (!m_complete) {
        if (!m_parser->is_header_done()) {
            const ResponseParseStatus headerStatus = readHeader();
            if (headerStatus != ResponseParseStatus::Complete)
                return headerStatus;
        }
        if (isFinalStatus(status()))
            return readBody();
        if (status() == SWITCHING_PROTOCOLS || ++m_interimResponses > MAX_INTERIM_RESPONSES)
            return ResponseParseStatus::Failed;
        reset();
    }
    return ResponseParseStatus::Complete;
}

int ResponseReader::status() const
{
    return static_cast<int>(m_parser->get().result_int());
}

ResponseParseStatus ResponseReader::readHeader()
{
    if (m_buffer.empty())
        return ResponseParseStatus::NeedMore;
    m_started = true;
    beast::error_code error;
    const std::size_t used
        = m_parser->put(boost::asio::const_buffer(m_buffer.data(), m_buffer.size()), error);
    // The parser joins a folded line to the value before it, and takes both at once.
    const bool isFolded = hasFoldedLine(std::string_view(m_buffer).substr(0, used));
    m_buffer.erase(0, used);
    if (isFolded)
        return ResponseParseStatus::Failed;
    // The parser bounds the bytes that it gets at once; here all those of the header count.
    m_headerBytes += used;
    const std::size_t unparsedBytes = m_parser->is_header_done() ? 0 : m_buffer.size();
    if (m_headerBytes + unparsedBytes > m_limits.headerBytes)
        return ResponseParseStatus::Failed;
    if (error && error != beast::http::error::need_more)
        return ResponseParseStatus::Failed;
    return m_parser->is_header_done() ? beginBody() : ResponseParseStatus::NeedMore;
}

/** Determines from the header how the body ends. */
ResponseParseStatus ResponseReader::beginBody()
{
    const auto &header = m_parser->get();
    const auto codings = header.count(beast::http::field::transfer_encoding);
    const auto length = m_parser->content_length();
    const bool isInterim = isInterimStatus(status());
    if (!isInterim && !isFinalStatus(status()))
        return ResponseParseStatus::Failed;
    // Bytes after a response that states a body and may have none have two readings: the body, or
    // the next response.
    m_isEndAmbiguous
        = (isInterim || status() == NO_CONTENT) && (codings > 0 || length.value_or(0) > 0);
    if (isInterim && m_isEndAmbiguous)
        return ResponseParseStatus::Failed;
    if (m_method == "HEAD" || isInterim || status() == NO_CONTENT || status() == NOT_MODIFIED)
        m_body.beginFixedLength(0, 0);
    else if (codings == 0 && length)
        m_body.beginFixedLength(*length, m_limits.bodyBytes);
    else if (codings == 0)
        m_body.beginUntilClose(m_limits.bodyBytes);
    else if (codings == 1 && header.count(beast::http::field::content_length) == 0
             && beast::iequals(header[beast::http::field::transfer_encoding], "chunked"))
        m_body.beginChunked(m_limits.bodyBytes);
    else
        return ResponseParseStatus::Failed;
    return ResponseParseStatus::Complete;
}

ResponseParseStatus ResponseReader::readBody()
{
    switch (m_body.consume(m_buffer)) {
    case BodyParseStatus::NeedMore:
        return ResponseParseStatus::NeedMore;
    case BodyParseStatus::Complete:
        m_complete = true;
        return ResponseParseStatus::Complete;
    case BodyParseStatus::TooLarge:
    case BodyParseStatus::Malformed:
        break;
    }
    return ResponseParseStatus::Failed;
}

ResponseParseStatus ResponseReader::handleEof()
{
    if (m_complete || !m_started || !m_parser->is_header_done() || !m_body.endsAtClose())
        return ResponseParseStatus::Failed;
    m_complete = true;
    return ResponseParseStatus::Complete;
}

HttpResponse ResponseReader::take()
{
    m_keepAlive = m_parser->get().keep_alive() && !m_body.endsAtClose() && !m_isEndAmbiguous;
    auto message = m_parser->release();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &field : message.base())
        response.headers.add(std::string(field.name_string()), std::string(field.value()));
    response.body = std::move(m_body.body());
    reset();
    return response;
}

} // namespace cornelwell
