/** @file response_reader.cpp Boost.Beast's parser of answers. */
#include "exchange/response_reader.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cornelwell {

namespace beast = boost::beast;

struct AnswerReader::Parser : beast::http::response_parser<beast::http::string_body>
{};

namespace {

constexpr std::size_t HEADER_BYTES = 65536;          ///< Longest header of an answer.
constexpr std::size_t BODY_BYTES = 64 * 1024 * 1024; ///< Longest body of an answer.
constexpr unsigned FINAL_STATUS = 200;               ///< Statuses below it are interim.
constexpr unsigned NO_CONTENT = 204;
constexpr unsigned NOT_MODIFIED = 304;
constexpr unsigned SWITCHING = 101; ///< Never asked for.

} // namespace

AnswerReader::AnswerReader() = default;

AnswerReader::~AnswerReader() = default;

void AnswerReader::begin()
{
    m_parser = std::make_unique<Parser>();
    m_parser->eager(true);
    m_parser->header_limit(HEADER_BYTES);
    m_parser->skip(true);
    m_begun = false;
    m_whole = false;
}

void AnswerReader::expect(std::string_view method)
{
    m_method = std::string(method);
    begin();
}

AnswerStep AnswerReader::step()
{
    while (!m_whole) {
        if (!m_parser->is_header_done()) {
            const AnswerStep step = readHeader();
            if (step != AnswerStep::Complete)
                return step;
        }
        const unsigned status = m_parser->get().result_int();
        if (status < FINAL_STATUS) {
            if (status == SWITCHING)
                return AnswerStep::Failed;
            begin();
            continue;
        }
        return readBody();
    }
    return AnswerStep::Complete;
}

AnswerStep AnswerReader::readHeader()
{
    if (m_buffer.empty())
        return AnswerStep::NeedMore;
    m_begun = true;
    beast::error_code error;
    const std::size_t used
        = m_parser->put(boost::asio::const_buffer(m_buffer.data(), m_buffer.size()), error);
    m_buffer.erase(0, used);
    if (error && error != beast::http::error::need_more)
        return AnswerStep::Failed;
    if (!m_parser->is_header_done())
        return AnswerStep::NeedMore;
    const auto &header = m_parser->get();
    const unsigned status = header.result_int();
    const auto codings = header.count(beast::http::field::transfer_encoding);
    const auto length = m_parser->content_length();
    if (m_method == "HEAD" || status < FINAL_STATUS || status == NO_CONTENT
        || status == NOT_MODIFIED)
        m_body.beginCounted(0, 0);
    else if (codings == 0 && length)
        m_body.beginCounted(*length, BODY_BYTES);
    else if (codings == 0)
        m_body.beginUnframed(BODY_BYTES);
    else if (codings == 1 && header.count(beast::http::field::content_length) == 0
             && beast::iequals(header[beast::http::field::transfer_encoding], "chunked"))
        m_body.beginChunked(BODY_BYTES);
    else
        return AnswerStep::Failed;
    return AnswerStep::Complete;
}

AnswerStep AnswerReader::readBody()
{
    switch (m_body.take(m_buffer)) {
    case BodyStep::NeedMore:
        return AnswerStep::NeedMore;
    case BodyStep::Complete:
        m_whole = true;
        return AnswerStep::Complete;
    case BodyStep::TooLarge:
    case BodyStep::Broken:
        break;
    }
    return AnswerStep::Failed;
}

AnswerStep AnswerReader::finish()
{
    if (m_whole || !m_begun || !m_parser->is_header_done() || !m_body.unframed())
        return AnswerStep::Failed;
    m_whole = true;
    return AnswerStep::Complete;
}

HttpResponse AnswerReader::take()
{
    m_keepAlive = m_parser->get().keep_alive() && !m_body.unframed();
    auto message = m_parser->release();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &field : message.base())
        response.headers.add(std::string(field.name_string()), std::string(field.value()));
    response.body = std::move(m_body.body());
    begin();
    return response;
}

} // namespace cornelwell
