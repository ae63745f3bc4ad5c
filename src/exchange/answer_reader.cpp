/** @file answer_reader.cpp Boost.Beast's parser of answers. */
#include "exchange/answer_reader.h"

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
constexpr unsigned SWITCHING = 101;                  ///< Never asked for.

} // namespace

AnswerReader::AnswerReader() = default;

AnswerReader::~AnswerReader() = default;

void AnswerReader::begin()
{
    m_parser = std::make_unique<Parser>();
    m_parser->eager(true);
    m_parser->header_limit(HEADER_BYTES);
    m_parser->body_limit(BODY_BYTES);
    m_parser->skip(m_method == "HEAD");
    m_begun = false;
}

void AnswerReader::expect(std::string_view method)
{
    m_method = std::string(method);
    begin();
}

AnswerStep AnswerReader::step()
{
    while (!m_parser->is_done()) {
        if (m_buffer.empty())
            return AnswerStep::NeedMore;
        m_begun = true;
        beast::error_code error;
        const std::size_t used
            = m_parser->put(boost::asio::const_buffer(m_buffer.data(), m_buffer.size()), error);
        m_buffer.erase(0, used);
        if (error == beast::http::error::need_more)
            return AnswerStep::NeedMore;
        if (error)
            return AnswerStep::Failed;
        if (m_parser->is_done() && m_parser->get().result_int() < FINAL_STATUS) {
            if (m_parser->get().result_int() == SWITCHING)
                return AnswerStep::Failed;
            begin();
            continue;
        }
        if (used == 0 && !m_parser->is_done())
            return AnswerStep::NeedMore;
    }
    return AnswerStep::Complete;
}

AnswerStep AnswerReader::finish()
{
    if (!m_begun || !m_parser->is_header_done() || !m_parser->need_eof())
        return AnswerStep::Failed;
    beast::error_code error;
    m_parser->put_eof(error);
    return error || !m_parser->is_done() ? AnswerStep::Failed : AnswerStep::Complete;
}

HttpResponse AnswerReader::take()
{
    m_keepAlive = m_parser->get().keep_alive() && !m_parser->need_eof();
    auto message = m_parser->release();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &field : message.base())
        response.headers.add(std::string(field.name_string()), std::string(field.value()));
    response.body = std::move(message.body());
    begin();
    return response;
}

} // namespace cornelwell
