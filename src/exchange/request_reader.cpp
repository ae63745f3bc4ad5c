/** @file request_reader.cpp Boost.Beast's parser, with the ambiguous framings refused. */
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

/** @return true when the length of the body can be told in one way only. */
bool framingIsPlain(const beast::http::fields &fields)
{
    const auto lengths = fields.count(beast::http::field::content_length);
    const auto codings = fields.count(beast::http::field::transfer_encoding);
    if (lengths + codings > 1)
        return false;
    if (codings == 0)
        return true;
    return beast::iequals(fields[beast::http::field::transfer_encoding], "chunked");
}

/** @return true when the target is a path or `*`, without bytes that servers read in different
 * ways. */
bool targetIsPlain(beast::string_view target)
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
    begin();
}

RequestReader::~RequestReader() = default;

void RequestReader::begin()
{
    m_parser = std::make_unique<Parser>();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
    m_parser->body_limit(m_limits.bodyBytes);
    m_begun = false;
    m_continueAsked = false;
}

ReadStep RequestReader::refuse(unsigned status)
{
    m_refusal = status;
    return ReadStep::Failed;
}

ReadStep RequestReader::step()
{
    if (m_refusal != 0)
        return ReadStep::Failed;
    // Empty lines before a request are allowed by the protocol.
    while (!m_begun && m_buffer.compare(0, 2, "\r\n") == 0)
        m_buffer.erase(0, 2);
    while (!m_parser->is_done()) {
        if (m_buffer.empty())
            return ReadStep::NeedMore;
        if (!m_begun) {
            begin();
            m_begun = true;
        }
        beast::error_code error;
        const std::size_t used
            = m_parser->put(boost::asio::const_buffer(m_buffer.data(), m_buffer.size()), error);
        m_buffer.erase(0, used);
        if (error == beast::http::error::need_more) {
            if (!m_parser->is_header_done() && m_buffer.size() > m_limits.headerBytes)
                return refuse(HEADER_TOO_LARGE);
            return ReadStep::NeedMore;
        }
        if (error == beast::http::error::header_limit)
            return refuse(HEADER_TOO_LARGE);
        if (error == beast::http::error::body_limit)
            return refuse(TOO_LARGE);
        if (error)
            return refuse(BAD_REQUEST);
        if (m_parser->is_header_done()
            && (!framingIsPlain(m_parser->get().base())
                || !targetIsPlain(m_parser->get().target())))
            return refuse(BAD_REQUEST);
        if (used == 0 && !m_parser->is_done())
            return ReadStep::NeedMore;
    }
    return ReadStep::Complete;
}

bool RequestReader::headerDone() const
{
    return m_begun && m_parser->is_header_done();
}

bool RequestReader::wantsContinue()
{
    if (m_continueAsked || !headerDone() || m_parser->is_done())
        return false;
    const bool wants = beast::iequals(m_parser->get()[beast::http::field::expect], "100-continue");
    m_continueAsked = wants;
    return wants;
}

IncomingRequest RequestReader::take()
{
    auto message = m_parser->release();
    IncomingRequest whole;
    whole.keepAlive = message.keep_alive();
    whole.request.method = std::string(message.method_string());
    whole.request.path = std::string(message.target());
    for (const auto &field : message.base())
        whole.request.headers.add(std::string(field.name_string()), std::string(field.value()));
    whole.request.body = std::move(message.body());
    begin();
    return whole;
}

} // namespace cornelwell
