/** @file call_func.cpp The call path's headers. */
#include "proxy/call_func.h"

#include "base/hash_func.h"
#include "base/result_code_func.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace cornelwell {

namespace {

constexpr const char *CONNECTION_HEADERS[] = {"Connection",
                                              "Keep-Alive",
                                              "Proxy-Connection",
                                              "Transfer-Encoding",
                                              "Content-Length",
                                              "Host",
                                              "Upgrade",
                                              "TE",
                                              "Trailer",
                                              "Expect",
                                              "Date",
                                              "Server"};
constexpr std::string_view SYSTEM_PREFIX = "Cornelwell-"; ///< Prefix of the system's headers.
constexpr std::size_t CHAIN_MAX = 32;                     ///< Longest chain that is read.
constexpr std::int64_t MILLISECONDS_PER_SECOND = 1000;

bool isSystemHeader(std::string_view name)
{
    return name.size() > SYSTEM_PREFIX.size()
           && sameHeaderName(name.substr(0, SYSTEM_PREFIX.size()), SYSTEM_PREFIX);
}

bool isConnectionHeader(std::string_view name)
{
    return std::any_of(std::begin(CONNECTION_HEADERS), std::end(CONNECTION_HEADERS),
                       [&](const char *known) { return sameHeaderName(name, known); });
}

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

RunState runStateFrom(std::string_view text)
{
    for (std::size_t i = 0; i < static_cast<std::size_t>(RunState::Count); i++) {
        if (text == runStateName(static_cast<RunState>(i)))
            return static_cast<RunState>(i);
    }
    return RunState::Unknown;
}

void addRetryAfter(HttpHeaders &headers, Duration after)
{
    if (after.ms <= 0)
        return;
    const std::int64_t whole = (after.ms + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
    headers.add(header::RETRY_AFTER, std::to_string(whole));
    headers.add(header::RETRY_AFTER_MS, std::to_string(after.ms));
}

} // namespace

HttpHeaders passedHeaders(const HttpHeaders &headers)
{
    HttpHeaders passed;
    for (const HttpHeader &field : headers.fields()) {
        if (!isConnectionHeader(field.name) && !isSystemHeader(field.name))
            passed.add(field.name, field.value);
    }
    return passed;
}

std::string chainText(const std::vector<ServiceName> &chain)
{
    std::string text;
    for (const ServiceName &service : chain)
        text += (text.empty() ? "" : ",") + service.text();
    return text;
}

std::vector<ServiceName> parseChain(std::string_view text)
{
    std::vector<ServiceName> chain;
    while (!text.empty() && chain.size() < CHAIN_MAX) {
        const std::size_t comma = std::min(text.find(','), text.size());
        chain.emplace_back(std::string(text.substr(0, comma)));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return chain;
}

std::optional<Duration> parseMilliseconds(std::string_view text)
{
    const auto number = parseNumber<std::int64_t>(text);
    if (!number || *number < 0)
        return std::nullopt;
    return Duration{*number};
}

std::string loadText(const LoadReport &load)
{
    return std::to_string(load.running) + "/" + std::to_string(load.waiting);
}

std::optional<LoadReport> parseLoad(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto running = parseNumber<std::uint32_t>(text.substr(0, slash));
    const auto waiting = parseNumber<std::uint32_t>(text.substr(slash + 1));
    if (!running || !waiting)
        return std::nullopt;
    return LoadReport{*running, *waiting};
}

std::uint64_t requestFingerprint(const HttpRequest &request)
{
    const std::uint64_t line = hash64(request.method + " " + request.path + "?" + request.query);
    return hash64(request.body, line);
}

bool mayCall(const Entry &entry, const std::vector<ServiceName> &chain)
{
    if (entry.onBehalfOf.empty())
        return true;
    return std::any_of(chain.begin(), chain.end(), [&](const ServiceName &service) {
        return std::find(entry.onBehalfOf.begin(), entry.onBehalfOf.end(), service)
               != entry.onBehalfOf.end();
    });
}

CallResult notRun(ResultCode code, std::string detail, Duration retryAfter, bool retryElsewhere)
{
    CallResult result;
    result.attempt = {RunState::NotRun, code, retryElsewhere};
    result.detail = std::move(detail);
    result.retryAfter = retryAfter;
    return result;
}

CallResult unknownOutcome(ResultCode code, std::string detail, bool retryElsewhere)
{
    CallResult result;
    result.attempt = {RunState::Unknown, code, retryElsewhere};
    result.detail = std::move(detail);
    return result;
}

HttpResponse refusalResponse(const CallResult &result, const std::string &callId)
{
    const ResultCodeInfo &info = resultCodeInfo(result.attempt.code);
    HttpResponse response;
    response.status = info.httpStatus == 0 ? 503 : info.httpStatus;
    response.headers.add("Content-Type", "text/plain; charset=utf-8");
    response.headers.add(header::CODE, std::to_string(resultCodeNumber(result.attempt.code)));
    response.headers.add(header::OUTCOME, runStateName(result.attempt.state));
    response.headers.add(header::CALL, callId);
    addRetryAfter(response.headers, result.retryAfter);
    response.body = std::to_string(resultCodeNumber(result.attempt.code)) + " " + info.name + ": "
                    + info.cause + (result.detail.empty() ? "" : " (" + result.detail + ")") + "\n"
                    + info.remedy + "\n";
    return response;
}

HttpResponse relayResponse(const CallResult &result, const LoadReport &load)
{
    HttpResponse response;
    if (result.attempt.state == RunState::Answered) {
        response.status = result.response.status;
        response.headers = passedHeaders(result.response.headers);
        response.body = result.response.body;
        if (result.response.headers.has(header::REPEAT))
            response.headers.add(header::REPEAT, "1");
        response.headers.add(header::CODE, "0");
        response.headers.add(header::OUTCOME, runStateName(RunState::Answered));
    } else {
        response = refusalResponse(result, {});
    }
    response.headers.add(header::LOAD, loadText(load));
    if (!result.claimedBy.empty())
        response.headers.add(header::CLAIMED_BY,
                             result.claimedBy + " " + std::to_string(result.claimIncarnation));
    return response;
}

CallResult parseRelayResponse(HttpOutcome outcome)
{
    switch (outcome.failure) {
    case HttpFailure::None:
        break;
    case HttpFailure::NotSent:
        return notRun(ResultCode::CallNoServer, outcome.detail, {0}, true);
    case HttpFailure::Cancelled:
        return unknownOutcome(ResultCode::CallCancelled, outcome.detail, false);
    case HttpFailure::TimedOut:
        return unknownOutcome(ResultCode::CallOutcomeUnknown, outcome.detail, false);
    case HttpFailure::Broken:
    case HttpFailure::Malformed:
        return unknownOutcome(ResultCode::CallServerFailed, outcome.detail, true);
    }
    const HttpHeaders &headers = outcome.response.headers;
    // An answer without the system's headers is no daemon's; what became of the request is open.
    if (!headers.has(header::OUTCOME))
        return unknownOutcome(ResultCode::CallServerFailed, "no answer of a daemon", false);
    CallResult result;
    result.attempt.state = runStateFrom(headers.get(header::OUTCOME));
    result.attempt.code
        = static_cast<ResultCode>(parseNumber<int>(headers.get(header::CODE)).value_or(0));
    result.load = parseLoad(headers.get(header::LOAD));
    result.retryAfter
        = parseMilliseconds(headers.get(header::RETRY_AFTER_MS)).value_or(Duration{0});
    const std::string_view claimed = headers.get(header::CLAIMED_BY);
    const std::size_t space = claimed.find(' ');
    if (space != std::string_view::npos) {
        result.claimedBy = std::string(claimed.substr(0, space));
        result.claimIncarnation = parseNumber<std::uint64_t>(claimed.substr(space + 1)).value_or(0);
    }
    const bool busy = result.attempt.code == ResultCode::CallOverloaded
                      || result.attempt.code == ResultCode::CallDeadline
                      || result.attempt.code == ResultCode::CallDraining
                      || result.attempt.code == ResultCode::CallLimitReached
                      || result.attempt.code == ResultCode::CallNoServer
                      || result.attempt.code == ResultCode::CallServerFailed;
    result.attempt.retryElsewhere = busy;
    if (result.attempt.state != RunState::Answered) {
        result.detail = outcome.response.body.substr(0, outcome.response.body.find('\n'));
        return result;
    }
    result.response.status = outcome.response.status;
    result.response.headers = passedHeaders(headers);
    if (headers.has(header::REPEAT))
        result.response.headers.add(header::REPEAT, "1");
    result.response.body = std::move(outcome.response.body);
    return result;
}

HttpRequest relayRequest(const OutgoingCall &call, TimePoint now)
{
    HttpRequest request = call.request;
    request.headers.add(header::CALL, call.context.id);
    request.headers.add(header::ENTRY, call.entry->entry.name.text());
    request.headers.add(header::TIMEOUT, std::to_string((call.context.deadline - now).ms));
    if (!call.context.chain.empty())
        request.headers.add(header::CHAIN, chainText(call.context.chain));
    return request;
}

} // namespace cornelwell
