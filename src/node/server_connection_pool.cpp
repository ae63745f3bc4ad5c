/** @file server_connection_pool.cpp Requests to the local server and classification of the
 * responses. */
#include "node/server_connection_pool.h"

#include "exchange/message_func.h"
#include "http/response_reader.h"

#include <algorithm>
#include <cstdlib>
#include <deque>

namespace cornelwell {

namespace {

constexpr Duration CONNECT_TIMEOUT{1000};
constexpr Duration PROBE_TIMEOUT{400}; ///< The local server accepts a connection within this time.
constexpr Duration DEFAULT_IDLE_TIMEOUT{6000}; ///< Used when the server names no timeout.
constexpr long MAX_IDLE_TIMEOUT_S = 3600;      ///< A server's longer timeout is not relied on.
constexpr int MAX_STALE_RESPONSES = 3; ///< Most responses to earlier requests that are skipped.
/** Most bytes of unfinished responses on all connections; the response that exceeds it is broken
 * off, since a server may send bytes without end on each of its connections. */
constexpr std::size_t MAX_BUFFERED_BYTES = 24UL * 1024 * 1024;
/** Requests of a connection that are remembered. A server that repeats an earlier answer does so
 * after few others; more would only cost memory. */
constexpr std::size_t MAX_CARRIED_IDS = 64;
constexpr int MISDIRECTED_REQUEST = 421;
constexpr int MIN_SERVER_ERROR = 500;
constexpr int MIN_SUCCESS = 200;
constexpr int MAX_SUCCESS = 299;
/** An idle connection is reused for at most this part of the server's keep-alive timeout. */
constexpr double IDLE_TIMEOUT_FRACTION = 0.6;
constexpr double MS_PER_SECOND = 1000;

/** @return how long the connection may stay idle and still be reused. */
Duration idleTimeout(const HttpResponse &response)
{
    const std::string_view value = response.headers.get("Keep-Alive");
    const std::size_t at = value.find("timeout=");
    if (at == std::string_view::npos)
        return DEFAULT_IDLE_TIMEOUT;
    const long timeoutSeconds
        = std::clamp(std::strtol(std::string(value.substr(at + 8)).c_str(), nullptr, 10), 0L,
                     MAX_IDLE_TIMEOUT_S);
    return {static_cast<std::int64_t>(static_cast<double>(timeoutSeconds) * IDLE_TIMEOUT_FRACTION
                                      * MS_PER_SECOND)};
}

ServerResult failedResult(RunState state, HostReason reason, bool sentToServer)
{
    ServerResult result;
    result.outcome.state = state;
    result.outcome.reason = reason;
    result.outcome.sentToServer = sentToServer;
    return result;
}

} // namespace

HostOutcome classifyResponse(HttpResponse response, const std::string &requestId,
                             const CallFields &fields, ConnectionUse use)
{
    HostOutcome outcome;
    outcome.sentToServer = true;
    const Result<ServerAdvisory> advisory = parseServerAdvisory(
        response.headers.get(fields.serverLimit), response.headers.get(fields.serverLeaving));
    const bool echoesRequestId
        = !requestId.empty() && response.headers.get(fields.requestId) == requestId;
    // Without an identifier a refusal on a connection in use again may be a copy of an earlier one.
    const bool isAboutThis
        = echoesRequestId
          || (use == ConnectionUse::First && response.headers.get(fields.requestId).empty());
    if (isAboutThis && response.headers.has(fields.notRun)) {
        outcome.state = RunState::NotRun;
        outcome.reason = response.status == MISDIRECTED_REQUEST ? HostReason::InstanceChanged
                                                                : HostReason::ServerShed;
        if (outcome.reason == HostReason::ServerShed)
            outcome.advisory = advisory;
        return outcome;
    }
    if (isAboutThis && response.status == MISDIRECTED_REQUEST) {
        outcome.state = RunState::NotRun;
        outcome.reason = HostReason::InstanceChanged;
        return outcome;
    }
    const bool success = response.status >= MIN_SUCCESS && response.status <= MAX_SUCCESS;
    const bool missingSignature = !response.headers.has(fields.signature);
    if (!echoesRequestId || (success && missingSignature)
        || response.headers.has("Content-Encoding")) {
        outcome.state = RunState::Unknown;
        outcome.reason = HostReason::Garbled;
        return outcome;
    }
    outcome.state = RunState::Answered;
    outcome.advisory = advisory;
    outcome.response = std::move(response);
    return outcome;
}

/** A connection to the server that carries one request at a time. */
class ServerConnectionPool::Connection
    : public ConnectionHandler,
      public std::enable_shared_from_this<ServerConnectionPool::Connection>
{
public:
    explicit Connection(ServerConnectionPool &pool) : m_pool(pool) {}

    void open(const Endpoint &server)
    {
        address = server;
        m_connection = TcpConnection::open(m_pool.m_loop, server, CONNECT_TIMEOUT, *this);
    }

    void begin(ServerRequest request)
    {
        current = std::move(request);
        startedAt = m_pool.m_loop.now();
        m_carriedIds.push_back(current.requestId);
        if (m_carriedIds.size() > MAX_CARRIED_IDS)
            m_carriedIds.pop_front();
        m_staleResponses = 0;
        m_reader.beginResponse(current.request.method);
        if (m_connected)
            sendRequest();
    }

    void close()
    {
        forgetBufferedBytes();
        m_connection->close();
    }

    void connected() override
    {
        m_connected = true;
        if (current.id != 0)
            sendRequest();
    }

    void received(std::string_view bytes) override
    {
        // The callback of a finished request may send the next one, which may drop this connection.
        const auto self = shared_from_this();
        m_pool.m_lastActivity = m_pool.m_loop.now();
        if (current.id == 0) {
            // The server sent bytes without a request; later bytes cannot be trusted either.
            finish({}, false);
            return;
        }
        m_reader.feed(bytes);
        parseResponse();
        if (current.id != 0 && !countBufferedBytes())
            finish(failedResult(RunState::Unknown, HostReason::Garbled, true), false);
    }

    void disconnected(DisconnectReason reason) override
    {
        if (current.id == 0) {
            finish({}, false);
            return;
        }
        if (!m_requestSent) {
            ServerResult result = failedResult(RunState::NotRun, HostReason::ConnectFailed, false);
            result.connectionRefused = reason == DisconnectReason::Refused;
            finish(result, false);
            return;
        }
        if (reason == DisconnectReason::Eof
            && m_reader.handleEof() == ResponseParseStatus::Complete) {
            handleResponse(m_reader.take());
            return;
        }
        finish(failedResult(RunState::Unknown, HostReason::Broken, true), false);
    }

    /** @return true when the connection has carried the request before: the server may repeat the
     * answer that it gave then. */
    bool hasCarried(const std::string &requestId) const
    {
        return std::find(m_carriedIds.begin(), m_carriedIds.end(), requestId) != m_carriedIds.end();
    }

    /** Ends the request in progress as if the connection had been reset. */
    void failRequest()
    {
        if (current.id != 0)
            disconnected(DisconnectReason::Reset);
    }

    ServerRequest current;  ///< The request in progress; id 0 when idle.
    Endpoint address;       ///< Address of the server.
    TimePoint startedAt{0}; ///< When the pool received the request.
    TimePoint idleUntil{0}; ///< An idle connection is not reused after this.

private:
    void sendRequest()
    {
        m_requestSent = true;
        m_connection->write(serializeRequest(current.request));
    }

    void forgetBufferedBytes()
    {
        m_pool.m_bufferedBytes -= m_countedBytes;
        m_countedBytes = 0;
    }

    /** @return false when the unfinished responses of all connections hold too many bytes. */
    bool countBufferedBytes()
    {
        m_pool.m_bufferedBytes -= m_countedBytes;
        m_countedBytes = m_reader.bufferedBytes();
        m_pool.m_bufferedBytes += m_countedBytes;
        return m_pool.m_bufferedBytes <= MAX_BUFFERED_BYTES;
    }

    void parseResponse()
    {
        const ResponseParseStatus status = m_reader.parse();
        if (status == ResponseParseStatus::NeedMore)
            return;
        if (status == ResponseParseStatus::Failed) {
            finish(failedResult(RunState::Unknown, HostReason::Garbled, true), false);
            return;
        }
        handleResponse(m_reader.take());
    }

    void handleResponse(HttpResponse response)
    {
        const Duration idle = idleTimeout(response);
        const std::string_view echoedId = response.headers.get(m_pool.m_fields.requestId);
        if (!echoedId.empty() && echoedId != current.requestId) {
            // A late response to an earlier request; the expected one may follow.
            m_reusable = false;
            if (++m_staleResponses > MAX_STALE_RESPONSES || !m_connection->isOpen()) {
                finish(failedResult(RunState::Unknown, HostReason::Garbled, true), false);
                return;
            }
            parseResponse();
            return;
        }
        ServerResult result;
        const ConnectionUse use
            = m_carriedIds.size() > 1 ? ConnectionUse::Repeated : ConnectionUse::First;
        result.outcome
            = classifyResponse(std::move(response), current.requestId, m_pool.m_fields, use);
        const bool hasUnsentBytes = m_connection->unsentBytes() > 0;
        const bool keep = m_reusable && m_reader.keepAlive() && !m_reader.hasExtraBytes()
                          && !hasUnsentBytes && m_connection->isOpen() && idle.ms > 0
                          && result.outcome.state != RunState::Unknown;
        idleUntil = m_pool.m_loop.now() + idle;
        finish(result, keep);
    }

    void finish(ServerResult result, bool keep)
    {
        const auto self = shared_from_this();
        forgetBufferedBytes();
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
            result.finish = result.outcome.response.status >= MIN_SERVER_ERROR ? HostFinish::Failed
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
        m_requestSent = false;
        m_pool.m_callback(id, result);
    }

    ServerConnectionPool &m_pool;
    TcpConnectionPtr m_connection;
    ResponseReader m_reader;
    bool m_connected = false;
    bool m_requestSent = false;
    bool m_reusable = true;
    std::deque<std::string> m_carriedIds; ///< Of the last requests, the current one included.
    int m_staleResponses = 0;
    std::size_t m_countedBytes = 0; ///< Part of ServerConnectionPool::m_bufferedBytes.
};

/** Opens a connection to find out whether the server listens. */
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
    for (const auto &[id, connection] : m_active)
        connection->close();
}

void ServerConnectionPool::send(const Endpoint &server, ServerRequest request)
{
    const TimePoint now = m_loop.now();
    std::shared_ptr<Connection> connection;
    while (!m_idle.empty() && !connection) {
        const auto last = m_idle.back();
        m_idle.pop_back();
        if (last->idleUntil > now && last->address == server
            && !last->hasCarried(request.requestId))
            connection = last;
        else
            last->close();
    }
    const HostCallId id = request.id;
    if (!connection) {
        connection = std::make_shared<Connection>(*this);
        connection->open(server);
        m_connectionsOpened++;
    }
    m_active.emplace(id, connection);
    connection->begin(std::move(request));
}

void ServerConnectionPool::release(Connection &connection, bool keep)
{
    const auto shared = connection.shared_from_this();
    m_active.erase(connection.current.id);
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
    const auto connection = found->second;
    connection->close();
    m_active.erase(found);
    m_loop.after({0}, [connection] {});
}

void ServerConnectionPool::failAll()
{
    std::vector<std::shared_ptr<Connection>> connections;
    for (const auto &[id, connection] : m_active)
        connections.push_back(connection);
    for (const auto &connection : connections)
        connection->failRequest();
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
    for (const auto &connection : m_idle)
        connection->close();
    m_idle.clear();
}

} // namespace cornelwell
