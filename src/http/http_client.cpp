/** @file http_client.cpp HTTP client on Boost.Beast; docs/design/http-client.md says why not
 * cxxtools. */
#include "http/http_client.h"

#include "base/endpoint_func.h"
#include "http/deadline_stream.h"
#include "http/response_reader.h"

#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

namespace cornelwell {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr Duration IDLE_MAX = seconds(8); ///< Unused connections older than this are closed.
constexpr std::size_t HEADER_BYTES_MAX = 16 * 1024; ///< Longest header of an answer.
constexpr std::size_t READ_BYTES_MAX = 16 * 1024;   ///< Bytes that one call reads.

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

HttpFailure failureOf(const DeadlineStream &stream, const error_code &error)
{
    if (!stream.hasSent())
        return HttpFailure::NotSent;
    if (stream.callerLeft())
        return HttpFailure::Cancelled;
    if (error == boost::asio::error::timed_out)
        return HttpFailure::TimedOut;
    if (error == boost::asio::error::eof || error.category() == boost::system::system_category())
        return HttpFailure::Broken;
    return HttpFailure::Malformed;
}

void failWith(HttpOutcome &outcome, HttpFailure failure, const error_code &error)
{
    outcome.failure = failure;
    outcome.detail = error.message();
}

/** Reads until the answer is complete. An answer that ends with the connection cannot be told from
 * one that was cut. @return true when it is complete. */
bool receive(DeadlineStream &stream, ResponseReader &reader, HttpOutcome &outcome)
{
    std::array<char, READ_BYTES_MAX> bytes;
    ResponseParseStatus status = ResponseParseStatus::NeedMore;
    while (status == ResponseParseStatus::NeedMore) {
        error_code error;
        const std::size_t count = stream.read_some(boost::asio::buffer(bytes), error);
        if (error) {
            const bool isCut = error == boost::asio::error::eof && reader.started();
            failWith(outcome, isCut ? HttpFailure::Malformed : failureOf(stream, error), error);
            return false;
        }
        reader.feed({bytes.data(), count});
        status = reader.parse();
    }
    if (status == ResponseParseStatus::Complete)
        return true;
    outcome.failure = HttpFailure::Malformed;
    outcome.detail = "the answer is malformed or too large";
    return false;
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
    ResponseReader reader({HEADER_BYTES_MAX, bounds.bodyBytesMax});
    reader.beginResponse(request.method);
    if (!receive(stream, reader, outcome))
        return false;
    outcome.response = reader.take();
    return reader.keepAlive() && !reader.hasExtraBytes();
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
