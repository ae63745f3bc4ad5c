/** @file server_connection_pool.h Connections to the server beside this daemon; one request on each
 * at a time.
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

/** A request for the server. */
struct ServerRequest
{
    HostCallId id = 0;     ///< The call.
    HttpRequest request;   ///< The request, whole.
    std::string requestId; ///< Identifier that the answer has to echo.
};

/** How a request to the server ended. */
struct ServerResult
{
    HostOutcome outcome;                    ///< What is known.
    HostFinish finish = HostFinish::Broken; ///< The same, for the gate.
    Duration processingTime;                ///< Time from the hand-over to the end.
    bool connectionRefused = false;         ///< The server does not listen.
    bool instanceChanged = false;           ///< Another server answered.
};

/** Sends requests to one address; keeps connections for later ones. */
class ServerConnectionPool
{
public:
    /** Told how each request ended, never before send returns. */
    using Callback = std::function<void(HostCallId, const ServerResult &)>;

    ServerConnectionPool(EventLoop &loop, const CallFields &fields, Callback callback);
    ~ServerConnectionPool();

    /** Sends a request to the server at an address. */
    void send(const Endpoint &server, ServerRequest request);
    /** Closes the connection of a request; nothing is told of it any more. */
    void abort(HostCallId id);
    /** Closes the connections of all requests; each is told as broken. */
    void failAll();
    /** Finds out whether the server still listens. @param callback Told true when it does. */
    void probe(const Endpoint &server, std::function<void(bool)> callback);
    /** Closes connections that lie idle: the server there is another one now. */
    void closeIdle();
    /** @return when the server last ended a request or took a connection. */
    TimePoint lastActivity() const { return m_lastActivity; }
    /** @return connections opened since the start. */
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
    class Exchange;
    class Probe;

    void ended(Exchange &exchange, const ServerResult &result);
    void release(Exchange &exchange, bool keep);

    EventLoop &m_loop;
    const CallFields &m_fields;
    Callback m_callback;
    std::unordered_map<HostCallId, std::shared_ptr<Exchange>> m_active;
    std::vector<std::shared_ptr<Exchange>> m_idle; ///< The one used last at the end.
    std::vector<std::shared_ptr<Probe>> m_probes;
    std::uint64_t m_connectionsOpened = 0;
    TimePoint m_lastActivity{0};
};

/**
 * Judges an answer of the server.
 * @param response The answer.
 * @param requestId Identifier that it has to echo.
 * @param fields Names of header fields.
 * @return what is known of the request now; Unknown with Garbled when it is not the server's
 * answer.
 */
HostOutcome classifyResponse(HttpResponse response, const std::string &requestId,
                             const CallFields &fields);

} // namespace cornelwell
