/** @file http_client.cpp HTTP client on Boost.Beast; docs/design/http-client.md says why not
 * cxxtools. */
#include "http/http_client.h"

#include "base/endpoint_func.h"
#include "http/deadline_stream.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace cornelwell {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr Duration IDLE_MAX = seconds(8); ///< Unused connections older than this are closed.
constexpr std::uint32_t HEADER_BYTES_MAX = 16 * 1024; ///< Longest header of an answer.

http::request<http::string_body> toBeast(const Endpoint &server, const HttpRequest &request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.query.empty() ? request.path : request.path + "?" + request.query);
    message.version(11);
    if (!request.headers.has("Host"))
        message.set(http::field::host, formatEndpoint(server));
    for (const HttpHeader &field : request.headers.fields())
        message.insert(field.name, field.value);
    message.body() = request.body;
    message.prepare_payload();
    if (request.body.empty() && request.method != "GET" && request.method != "HEAD")
        message.content_length(0);
    return message;
}

HttpResponse fromBeast(http::response<http::string_body> &&message)
{
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &field : message.base())
        response.headers.add(std::string(field.name_string()), std::string(field.value()));
    response.body = std::move(message.body());
    return response;
}

HttpFailure failureOf(const DeadlineStream &stream, const error_code &error)
{
    if (!stream.hasSent())
        return HttpFailure::NotSent;
    if (stream.callerLeft())
        return HttpFailure::Cancelled;
    if (error == boost::asio::error::timed_out)
        return HttpFailure::TimedOut;
    if (error == http::error::end_of_stream || error == boost::asio::error::eof
        || error.category() == boost::system::system_category())
        return HttpFailure::Broken;
    return HttpFailure::Malformed;
}

void failWith(HttpOutcome &outcome, HttpFailure failure, const error_code &error)
{
    outcome.failure = failure;
    outcome.detail = error.message();
}

/** One request and its answer on an open connection. @return true when the connection can be kept.
 */
bool exchange(DeadlineStream &stream, const Endpoint &server, const HttpRequest &request,
              const HttpBounds &bounds, HttpOutcome &outcome)
{
    error_code error;
    stream.resetSent();
    const auto message = toBeast(server, request);
    http::write(stream, message, error);
    if (error) {
        failWith(outcome, failureOf(stream, error), error);
        return false;
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.header_limit(HEADER_BYTES_MAX);
    parser.body_limit(bounds.bodyBytesMax);
    parser.skip(request.method == "HEAD");
    http::read(stream, buffer, parser, error);
    if (error) {
        failWith(outcome, failureOf(stream, error), error);
        return false;
    }
    // An answer that ends with the connection cannot be told from one that was cut.
    const bool delimited = parser.get().has_content_length() || parser.chunked()
                           || request.method == "HEAD" || parser.get().result_int() == 304
                           || parser.get().result_int() == 204;
    if (!delimited) {
        outcome.failure = HttpFailure::Malformed;
        outcome.detail = "the answer states no length";
        return false;
    }
    const bool keepAlive = parser.keep_alive() && buffer.size() == 0;
    outcome.response = fromBeast(parser.release());
    return keepAlive;
}

} // namespace

HttpClient::HttpClient(const Clock &clock, std::size_t idlePerServer, const NetworkCuts *cuts)
    : m_clock(clock), m_idlePerServer(idlePerServer), m_cuts(cuts)
{}

HttpClient::~HttpClient() = default;

HttpClient::StreamPtr HttpClient::takeIdle(const Endpoint &server)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto at = m_idle.find(server);
    if (at == m_idle.end())
        return nullptr;
    std::deque<IdleStream> &idle = at->second;
    while (!idle.empty() && m_clock.now() - idle.front().since > IDLE_MAX)
        idle.pop_front();
    while (!idle.empty()) {
        StreamPtr stream = std::move(idle.back().stream);
        idle.pop_back();
        if (stream->isIdle())
            return stream;
    }
    return nullptr;
}

void HttpClient::keep(const Endpoint &server, StreamPtr stream)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::deque<IdleStream> &idle = m_idle[server];
    if (idle.size() < m_idlePerServer)
        idle.push_back({std::move(stream), m_clock.now()});
}

HttpClient::StreamPtr HttpClient::open(const Endpoint &server, const HttpBounds &bounds,
                                       HttpOutcome &outcome)
{
    auto stream = std::make_unique<DeadlineStream>();
    const TimePoint soonest = std::min(bounds.deadline, m_clock.now() + bounds.connectMax);
    stream->setBounds(soonest, bounds.callerSocket);
    const error_code error = stream->connect(server);
    if (error) {
        failWith(outcome, HttpFailure::NotSent, error);
        return nullptr;
    }
    return stream;
}

HttpOutcome HttpClient::execute(const Endpoint &server, const HttpRequest &request,
                                const HttpBounds &bounds)
{
    HttpOutcome outcome;
    if (m_cuts != nullptr && m_cuts->isCut(server.ip)) {
        const TimePoint soonest = std::min(bounds.deadline, m_clock.now() + bounds.connectMax);
        std::this_thread::sleep_for(std::chrono::milliseconds((soonest - m_clock.now()).ms));
        outcome.failure = HttpFailure::NotSent;
        outcome.detail = "cut off by an experiment";
        return outcome;
    }
    StreamPtr stream = takeIdle(server);
    if (!stream)
        stream = open(server, bounds, outcome);
    if (!stream)
        return outcome;
    stream->setBounds(bounds.deadline, bounds.callerSocket);
    const bool reusable = exchange(*stream, server, request, bounds, outcome);
    m_bytesSent += stream->bytesSent();
    m_bytesReceived += stream->bytesReceived();
    if (reusable)
        keep(server, std::move(stream));
    return outcome;
}

std::size_t HttpClient::openAhead(const Endpoint &server, std::size_t count)
{
    for (std::size_t i = 0; i < count; i++) {
        HttpOutcome outcome;
        StreamPtr stream = open(server, HttpBounds(), outcome);
        if (!stream)
            break;
        keep(server, std::move(stream));
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto at = m_idle.find(server);
    return at == m_idle.end() ? 0 : at->second.size();
}

void HttpClient::forget(const Endpoint &server)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_idle.erase(server);
}

} // namespace cornelwell
