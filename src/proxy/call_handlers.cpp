/** @file call_handlers.cpp From HTTP requests to calls and back. */
#include "proxy/call_handlers.h"

#include "base/result_code_func.h"
#include "proxy/call_func.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace cornelwell {

namespace {

constexpr Duration RETRY_SOON = {200};      ///< Advice when the cause is likely to pass soon.
constexpr std::size_t KEY_LENGTH_MAX = 200; ///< Longest Idempotency-Key.
constexpr double MICROSECONDS_PER_MILLISECOND = 1000.0;

std::string remoteAddress(int socket)
{
    sockaddr_storage storage{};
    socklen_t size = sizeof storage;
    char text[INET6_ADDRSTRLEN] = "";
    if (getpeername(socket, reinterpret_cast<sockaddr *>(&storage), &size) != 0)
        return text;
    if (storage.ss_family == AF_INET)
        inet_ntop(AF_INET, &reinterpret_cast<sockaddr_in *>(&storage)->sin_addr, text, sizeof text);
    else
        inet_ntop(AF_INET6, &reinterpret_cast<sockaddr_in6 *>(&storage)->sin6_addr, text,
                  sizeof text);
    return text;
}

/** Counts a call for as long as it is under way. */
class UnderWay
{
public:
    explicit UnderWay(std::atomic<std::uint32_t> &count) : m_count(count) { m_count++; }
    ~UnderWay() { m_count--; }
    UnderWay(const UnderWay &) = delete;
    UnderWay &operator=(const UnderWay &) = delete;

private:
    std::atomic<std::uint32_t> &m_count;
};

HttpRequest plainRequest(const HttpRequest &request)
{
    HttpRequest plain;
    plain.method = request.method;
    plain.path = request.path;
    plain.query = request.query;
    plain.headers = passedHeaders(request.headers);
    plain.body = request.body;
    return plain;
}

} // namespace

EdgeHandler::EdgeHandler(SenderParts parts, CallSender &sender, CallRegistry &registry,
                         const Settings &settings)
    : m_parts(parts)
    , m_sender(sender)
    , m_registry(registry)
    , m_address(settings.address)
    , m_service(settings.backend.service)
    , m_patienceMax(settings.call.patienceMax)
{}

HttpResponse EdgeHandler::handle(const HttpRequest &request, int callerSocket)
{
    const UnderWay underWay(m_underWay);
    const auto begun = std::chrono::steady_clock::now();
    CallContext context = contextOf(request, callerSocket);
    const CallResult result = carry(request, callerSocket, context);
    const auto spent = std::chrono::steady_clock::now() - begun;
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(spent).count();
    count(result, static_cast<double>(microseconds) / MICROSECONDS_PER_MILLISECOND);
    return answer(result, context);
}

CallContext EdgeHandler::contextOf(const HttpRequest &request, int callerSocket)
{
    // Only this daemon hands out tokens, so a known token proves where the call comes from.
    const auto parent = m_registry.find(std::string(request.headers.get(header::CALL)));
    CallContext context;
    if (parent) {
        context = *parent;
        context.chain.push_back(m_service);
        return context;
    }
    context.id = m_parts.identity.server.text() + "-"
                 + std::to_string(m_parts.identity.incarnation.load() % 1000000) + "-"
                 + std::to_string(m_nextCall++);
    context.deadline = NEVER;
    if (!m_service.empty() && remoteAddress(callerSocket) == m_address)
        context.chain.push_back(m_service);
    return context;
}

CallResult EdgeHandler::carry(const HttpRequest &request, int callerSocket, CallContext &context)
{
    if (m_refusing)
        return notRun(ResultCode::CallDraining, {}, {0}, false);
    if (request.bodyTooLarge)
        return notRun(ResultCode::CallTooLarge, {}, {0}, false);
    const ConfigurationPtr configuration = m_parts.view.configuration();
    if (configuration->revision() == 0)
        return notRun(ResultCode::CallNoConfiguration, {}, RETRY_SOON, false);
    const EntryInForce *entry = configuration->match(request.method, request.path);
    if (entry == nullptr)
        return notRun(ResultCode::CallUnknownKind, request.method + " " + request.path, {0}, false);
    if (!mayCall(entry->entry, context.chain))
        return notRun(ResultCode::CallNotOnBehalf, entry->entry.name.text(), {0}, false);
    if (m_parts.view.hasQuarantined() && m_parts.view.isQuarantined(requestFingerprint(request)))
        return notRun(ResultCode::CallQuarantined, {}, {0}, false);
    const std::string_view key = request.headers.get(header::KEY);
    if (!entry->entry.idempotent && (key.empty() || key.size() > KEY_LENGTH_MAX))
        return notRun(ResultCode::CallKeyRequired, {}, {0}, false);
    Duration patience = std::min(entry->entry.patience, m_patienceMax);
    if (request.headers.has(header::TIMEOUT)) {
        const auto asked = parseMilliseconds(request.headers.get(header::TIMEOUT));
        if (!asked)
            return notRun(ResultCode::CallBadRequest, "Cornelwell-Timeout-Ms is no number", {0},
                          false);
        patience = std::min(patience, *asked);
    }
    context.deadline = std::min(context.deadline, m_parts.clock.now() + patience);
    OutgoingCall call;
    call.context = context;
    call.entry = entry;
    call.request = plainRequest(request);
    call.callerSocket = callerSocket;
    CallResult result = m_sender.send(call);
    if (result.attempt.state == RunState::Unknown
        && result.attempt.code == ResultCode::CallServerFailed && !entry->entry.idempotent)
        result.attempt.code = ResultCode::CallOutcomeUnknown;
    return result;
}

HttpResponse EdgeHandler::answer(const CallResult &result, const CallContext &context) const
{
    if (result.attempt.state != RunState::Answered) {
        const bool unknown = result.attempt.state == RunState::Unknown;
        const EventKind kind = unknown ? EventKind::CallUnknown : EventKind::CallRefused;
        m_parts.timeline.record(kind, context.id, "call", result.detail, result.attempt.code);
        return refusalResponse(result, context.id);
    }
    HttpResponse response = result.response;
    response.headers.add(header::OUTCOME, runStateName(RunState::Answered));
    response.headers.add(header::CALL, context.id);
    response.headers.add(header::SERVER, result.server.text());
    return response;
}

void EdgeHandler::count(const CallResult &result, double milliseconds)
{
    const std::string labels = "code=\"" + std::to_string(resultCodeNumber(result.attempt.code))
                               + "\",outcome=\"" + runStateName(result.attempt.state) + "\"";
    m_parts.metrics.count("calls_total", labels);
    if (result.attempt.state == RunState::Answered)
        m_parts.metrics.sample("call_milliseconds", {}, milliseconds);
}

HttpResponse RelayHandler::handle(const HttpRequest &request, int callerSocket)
{
    const CallResult result = run(request, callerSocket);
    return relayResponse(result, m_receiver.load());
}

CallResult RelayHandler::run(const HttpRequest &request, int callerSocket)
{
    if (request.bodyTooLarge)
        return notRun(ResultCode::CallTooLarge, {}, {0}, false);
    const auto left = parseMilliseconds(request.headers.get(header::TIMEOUT));
    if (!left)
        return notRun(ResultCode::CallBadRequest, "no call of a daemon", {0}, false);
    // Holds the version for as long as the call uses its entry.
    const ConfigurationPtr configuration = m_parts.view.configuration();
    const EntryInForce *entry = configuration->match(request.method, request.path);
    const std::string_view name = request.headers.get(header::ENTRY);
    if (entry == nullptr || entry->entry.name.text() != name)
        return notRun(ResultCode::CallUnknownKind,
                      "entry '" + std::string(name) + "' is not in force here", RETRY_SOON, false);
    if (m_parts.view.hasQuarantined() && m_parts.view.isQuarantined(requestFingerprint(request)))
        return notRun(ResultCode::CallQuarantined, {}, {0}, false);
    OutgoingCall call;
    call.context.id = std::string(request.headers.get(header::CALL));
    call.context.deadline = m_parts.clock.now() + *left;
    call.context.chain = parseChain(request.headers.get(header::CHAIN));
    call.entry = entry;
    call.request = plainRequest(request);
    call.callerSocket = callerSocket;
    return m_receiver.run(call);
}

} // namespace cornelwell
