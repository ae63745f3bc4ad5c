/** @file server_connection_pool.cpp Exchanges with the server, and what their ends prove. */
#include "node/server_connection_pool.h"

#include "exchange/message_func.h"
#include "exchange/response_reader.h"

#include <algorithm>
#include <cstdlib>

namespace cornelwell {

namespace {

constexpr Duration CONNECT_TIMEOUT{1000};
constexpr Duration PROBE_TIMEOUT{400}; ///< A server on the same VM takes a connection within this.
constexpr Duration IDLE_DEFAULT{
    6000}; ///< An idle connection is used within this, when the server names no time.
constexpr int STRAY_ANSWERS_MAX = 3; ///< Answers to other requests that are read past.
constexpr int MISDIRECTED = 421;
constexpr int SERVER_ERROR = 500;
constexpr int SUCCESS_MIN = 200;
constexpr int SUCCESS_MAX = 299;
constexpr double IDLE_SHARE = 0.6; ///< Part of the server's time within which a connection is used.
constexpr double MS_PER_SECOND = 1000;

/** @return how long an idle connection may be used again. */
Duration idleTime(const HttpResponse &response)
{
    const std::string_view value = response.headers.get("Keep-Alive");
    const std::size_t at = value.find("timeout=");
    if (at == std::string_view::npos)
        return IDLE_DEFAULT;
    const long whole = std::strtol(std::string(value.substr(at + 8)).c_str(), nullptr, 10);
    return {static_cast<std::int64_t>(static_cast<double>(whole) * IDLE_SHARE * MS_PER_SECOND)};
}

ServerResult failedResult(RunState state, HostReason reason, bool handed)
{
    ServerResult result;
    result.outcome.state = state;
    result.outcome.reason = reason;
    result.outcome.sentToServer = handed;
    return result;
}

} // namespace

HostOutcome classifyResponse(HttpResponse response, const std::string &requestId,
                             const CallFields &fields)
{
    HostOutcome outcome;
    outcome.sentToServer = true;
    const bool own = response.headers.get(fields.requestId) == requestId;
    if (response.headers.has(fields.notRun) && (own || !response.headers.has(fields.requestId))) {
        outcome.state = RunState::NotRun;
        outcome.reason
            = response.status == MISDIRECTED ? HostReason::InstanceChanged : HostReason::ServerShed;
        return outcome;
    }
    if (response.status == MISDIRECTED) {
        outcome.state = RunState::NotRun;
        outcome.reason = HostReason::InstanceChanged;
        return outcome;
    }
    const bool success = response.status >= SUCCESS_MIN && response.status <= SUCCESS_MAX;
    const bool unsealed = !response.headers.has(fields.seal);
    if (!own || (success && unsealed) || response.headers.has("Content-Encoding")) {
        outcome.state = RunState::Unknown;
        outcome.reason = HostReason::Garbled;
        return outcome;
    }
    outcome.state = RunState::Answered;
    outcome.response = std::move(response);
    return outcome;
}

class ServerConnectionPool::Exchange
    : public ConnectionHandler,
      public std::enable_shared_from_this<ServerConnectionPool::Exchange>
{
public:
    explicit Exchange(ServerConnectionPool &pool) : m_pool(pool) {}

    void open(const Endpoint &server)
    {
        address = server;
        m_connection = TcpConnection::open(m_pool.m_loop, server, CONNECT_TIMEOUT, *this);
    }

    void begin(ServerRequest request)
    {
        current = std::move(request);
        startedAt = m_pool.m_loop.now();
        m_strays = 0;
        m_reader.beginResponse(current.request.method);
        if (m_open)
            sendNow();
    }

    void close() { m_connection->close(); }

    void connected() override
    {
        m_open = true;
        if (current.id != 0)
            sendNow();
    }

    void received(std::string_view bytes) override
    {
        m_pool.m_lastActivity = m_pool.m_loop.now();
        if (current.id == 0) {
            // Bytes that answer nothing: whatever follows on this connection cannot be trusted.
            finish({}, false);
            return;
        }
        m_reader.feed(bytes);
        advance();
    }

    void disconnected(DisconnectReason end) override
    {
        if (current.id == 0) {
            finish({}, false);
            return;
        }
        if (!m_sent) {
            ServerResult result = failedResult(RunState::NotRun, HostReason::ConnectFailed, false);
            result.connectionRefused = end == DisconnectReason::Refused;
            finish(result, false);
            return;
        }
        if (end == DisconnectReason::Eof && m_reader.handleEof() == ResponseParseStatus::Complete) {
            judge(m_reader.take());
            return;
        }
        finish(failedResult(RunState::Unknown, HostReason::Broken, true), false);
    }

    /** Ends the request as broken. */
    void giveUp()
    {
        if (current.id != 0)
            disconnected(DisconnectReason::Reset);
    }

    ServerRequest current;  ///< The request under way; id 0 when idle.
    Endpoint address;       ///< Where it is connected to.
    TimePoint startedAt{0}; ///< When the request was handed over.
    TimePoint idleUntil{0}; ///< When an idle connection is not used any more.

private:
    void sendNow()
    {
        m_sent = true;
        m_connection->write(serializeRequest(current.request));
    }

    void advance()
    {
        const ResponseParseStatus step = m_reader.parse();
        if (step == ResponseParseStatus::NeedMore)
            return;
        if (step == ResponseParseStatus::Failed) {
            finish(failedResult(RunState::Unknown, HostReason::Garbled, true), false);
            return;
        }
        judge(m_reader.take());
    }

    void judge(HttpResponse response)
    {
        const Duration idle = idleTime(response);
        const std::string_view echoed = response.headers.get(m_pool.m_fields.requestId);
        if (!echoed.empty() && echoed != current.requestId) {
            // A late answer to an earlier request; the own one may follow.
            m_trusted = false;
            if (++m_strays > STRAY_ANSWERS_MAX || !m_connection->isOpen()) {
                finish(failedResult(RunState::Unknown, HostReason::Garbled, true), false);
                return;
            }
            advance();
            return;
        }
        ServerResult result;
        result.outcome = classifyResponse(std::move(response), current.requestId, m_pool.m_fields);
        const bool unsent = m_connection->unsentBytes() > 0;
        const bool keep = m_trusted && m_reader.keepAlive() && !m_reader.hasExtraBytes() && !unsent
                          && m_connection->isOpen() && idle.ms > 0
                          && result.outcome.state != RunState::Unknown;
        idleUntil = m_pool.m_loop.now() + idle;
        finish(result, keep);
    }

    void finish(ServerResult result, bool keep)
    {
        const auto self = shared_from_this();
        if (!keep)
            m_connection->close();
        if (current.id == 0) {
            m_pool.release(*this, false);
            return;
        }
        result.processingTime = m_pool.m_loop.now() - startedAt;
        result.instanceChanged = result.outcome.reason == HostReason::InstanceChanged;
        switch (result.outcome.state) {
        case RunState::Answered:
            result.finish = result.outcome.response.status >= SERVER_ERROR ? HostFinish::Failed
                                                                           : HostFinish::Served;
            break;
        case RunState::NotRun:
            result.finish = result.outcome.sentToServer ? HostFinish::Shed : HostFinish::Broken;
            break;
        case RunState::Unknown:
        case RunState::Count:
            result.finish = HostFinish::Broken;
            break;
        }
        const HostCallId id = current.id;
        m_pool.release(*this, keep);
        current = {};
        m_sent = false;
        m_pool.m_callback(id, result);
    }

    ServerConnectionPool &m_pool;
    TcpConnectionPtr m_connection;
    ResponseReader m_reader;
    bool m_open = false;
    bool m_sent = false;
    bool m_trusted = true;
    int m_strays = 0;
};

/** Opens a connection only to see whether somebody listens. */
class ServerConnectionPool::Probe : public ConnectionHandler
{
public:
    Probe(ServerConnectionPool &pool, const Endpoint &server, std::function<void(bool)> callback)
        : m_pool(pool)
        , m_callback(std::move(callback))
        , m_connection(TcpConnection::open(pool.m_loop, server, PROBE_TIMEOUT, *this))
    {}

    void connected() override
    {
        m_connection->close();
        m_pool.m_lastActivity = m_pool.m_loop.now();
        m_callback(true);
    }
    void received(std::string_view) override {}
    void disconnected(DisconnectReason) override { m_callback(false); }

private:
    ServerConnectionPool &m_pool;
    std::function<void(bool)> m_callback;
    TcpConnectionPtr m_connection;
};

ServerConnectionPool::ServerConnectionPool(EventLoop &loop, const CallFields &fields,
                                           Callback callback)
    : m_loop(loop), m_fields(fields), m_callback(std::move(callback))
{}

ServerConnectionPool::~ServerConnectionPool()
{
    closeIdle();
    for (const auto &[id, exchange] : m_active)
        exchange->close();
}

void ServerConnectionPool::send(const Endpoint &server, ServerRequest request)
{
    const TimePoint now = m_loop.now();
    std::shared_ptr<Exchange> exchange;
    while (!m_idle.empty() && !exchange) {
        const auto last = m_idle.back();
        m_idle.pop_back();
        if (last->idleUntil > now && last->address == server)
            exchange = last;
        else
            last->close();
    }
    const HostCallId id = request.id;
    if (!exchange) {
        exchange = std::make_shared<Exchange>(*this);
        exchange->open(server);
        m_connectionsOpened++;
    }
    m_active.emplace(id, exchange);
    exchange->begin(std::move(request));
}

void ServerConnectionPool::release(Exchange &exchange, bool keep)
{
    const auto shared = exchange.shared_from_this();
    m_active.erase(exchange.current.id);
    m_idle.erase(std::remove(m_idle.begin(), m_idle.end(), shared), m_idle.end());
    if (keep)
        m_idle.push_back(shared);
    else
        m_loop.after({0}, [shared] {});
}

void ServerConnectionPool::abort(HostCallId id)
{
    const auto found = m_active.find(id);
    if (found == m_active.end())
        return;
    const auto exchange = found->second;
    exchange->close();
    m_active.erase(found);
    m_loop.after({0}, [exchange] {});
}

void ServerConnectionPool::failAll()
{
    std::vector<std::shared_ptr<Exchange>> all;
    for (const auto &[id, exchange] : m_active)
        all.push_back(exchange);
    for (const auto &exchange : all)
        exchange->giveUp();
}

void ServerConnectionPool::probe(const Endpoint &server, std::function<void(bool)> callback)
{
    if (!m_probes.empty())
        return;
    m_connectionsOpened++;
    m_probes.push_back(std::make_shared<Probe>(*this, server, [this, callback](bool listens) {
        m_loop.after({0}, [this] { m_probes.clear(); });
        callback(listens);
    }));
}

void ServerConnectionPool::closeIdle()
{
    for (const auto &exchange : m_idle)
        exchange->close();
    m_idle.clear();
}

} // namespace cornelwell
