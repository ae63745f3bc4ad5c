/** @file server_connection_pool.h Connections to the local server, one request at a time on each.
 */
#pragma once

#include "hosting/hosting_type.h"
#include "http/http_type.h"
#include "loop/tcp_connection.h"
#include "node/platform_adapter.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cornelwell {

/** A request to send to the local server. */
struct ServerRequest
{
    HostCallId id = 0;     ///< Identifier of the call.
    HttpRequest request;   ///< The complete request.
    std::string requestId; ///< Identifier that the response has to echo.
};

/** Result of a request to the local server. */
struct ServerResult
{
    HostOutcome outcome;                    ///< What is known of the request.
    HostFinish finish = HostFinish::Broken; ///< The same, for HostScheduler.
    Duration processingTime;                ///< Time from send to the end of the request.
    bool connectionRefused = false;         ///< Nothing listens at the address.
    bool instanceChanged = false;           ///< Another server has the address now.
};

/** Sends requests to the local server and reuses its connections. */
class ServerConnectionPool
{
public:
    /** Receives the result of each request; never called before send returns. */
    using Callback = std::function<void(HostCallId, const ServerResult &)>;

    /**
     * @param loop The event loop.
     * @param fields Names of header fields; they outlive the pool.
     * @param callback Receives the results.
     */
    ServerConnectionPool(EventLoop &loop, const CallFields &fields, Callback callback);
    ~ServerConnectionPool();

    /** Sends a request to the server at an address, on an idle connection or a new one. */
    void send(const Endpoint &server, ServerRequest request);
    /** Closes the connection of a request; its result is not reported. */
    void abort(HostCallId id);
    /** Ends all requests in progress as if their connections had been reset. */
    void failAll();
    /**
     * Finds out whether the server listens; does nothing while another probe is in progress.
     * @param server Address of the server.
     * @param callback Receives true when a connection could be opened.
     */
    void probe(const Endpoint &server, std::function<void(bool)> callback);
    /** Closes idle connections; for use when another server has the address, or none. */
    void closeIdle();
    /** @return when the server last sent bytes or accepted the connection of a probe. */
    TimePoint lastActivity() const { return m_lastActivity; }
    /** @return number of connections attempted since the start, probes included. */
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }
    /** @return bytes that unfinished responses hold. */
    std::size_t bufferedBytes() const { return m_bufferedBytes; }

private:
    class Connection;
    class Probe;

    void release(Connection &connection, bool keep);

    EventLoop &m_loop;
    const CallFields &m_fields;
    Callback m_callback;
    std::unordered_map<HostCallId, std::shared_ptr<Connection>> m_active;
    std::vector<std::shared_ptr<Connection>> m_idle; ///< The connection used last is at the end.
    std::vector<std::shared_ptr<Probe>> m_probes;
    std::uint64_t m_connectionsOpened = 0;
    std::size_t m_bufferedBytes = 0; ///< Bytes that unfinished responses hold.
    TimePoint m_lastActivity{0};
};

/** Whether a connection has carried an earlier request. */
enum class ConnectionUse : std::uint8_t
{
    First,    ///< Its first request.
    Repeated, ///< It has carried another request before.
};

/**
 * Determines from a response whether the server ran the request.
 * @param response The response.
 * @param requestId Identifier that the response has to echo.
 * @param fields Names of header fields.
 * @param use Whether the response can be a copy of an earlier one.
 * @return the outcome; Unknown with HostReason::Garbled when the response is not a valid one to
 * this request.
 */
HostOutcome classifyResponse(HttpResponse response, const std::string &requestId,
                             const CallFields &fields, ConnectionUse use);

} // namespace cornelwell
