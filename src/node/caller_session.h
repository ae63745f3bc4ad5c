/** @file caller_session.h A caller's HTTP connection; responses leave in the order of the requests.
 */
#pragma once

#include "dispatch/dispatch_type.h"
#include "exchange/request_reader.h"
#include "loop/tcp_connection.h"
#include "node/paced_output.h"
#include "routes/route_type.h"

#include <deque>
#include <memory>
#include <optional>

namespace cornelwell {

class CallerSession;

/** What a session needs from the daemon. */
class CallerSessionOwner
{
public:
    virtual ~CallerSessionOwner() = default;
    /** @return the current size limits and timeouts. */
    virtual TrafficLimits limits() const = 0;
    /** @return true when connections are to be closed after the last response that is due. */
    virtual bool shouldCloseConnections() const = 0;
    /** @return true when the request may run while earlier ones of the same connection run. */
    virtual bool mayRunConcurrently(const HttpRequest &request) const = 0;
    /** @return the writer for responses that leave over the VM's link; null to send all at once. */
    virtual BulkWriter *bulkWriter() { return nullptr; }
    /** @return a new identifier for a request. */
    virtual PendingRequestId newRequestId() = 0;
    /** Handles a request. The response goes to CallerSession::respond, during the call or later. */
    virtual void handleRequest(CallerSession &session, PendingRequestId id, IncomingRequest request)
        = 0;
    /** The connection ended before the response to a request was ready. */
    virtual void callerDisconnected(PendingRequestId id) = 0;
    /** The session ended and its last answer has left; it makes no further calls. */
    virtual void sessionClosed(CallerSession &session) = 0;
};

/** One connection of a caller, with pipelining. */
class CallerSession : public ConnectionHandler, public std::enable_shared_from_this<CallerSession>
{
public:
    /**
     * @param loop The event loop.
     * @param owner Handles the requests; outlives the session.
     * @param connection The accepted connection.
     * @param fromLocalServer Whether the caller is the local server.
     */
    CallerSession(EventLoop &loop, CallerSessionOwner &owner, TcpConnectionPtr connection,
                  bool fromLocalServer);
    ~CallerSession() override;

    /** Starts reading requests. */
    void start();
    /** Sets the response to a request; it is sent after the responses to all earlier requests. */
    void respond(PendingRequestId id, const HttpResponse &response);
    /** Closes the connection immediately; unsent responses are discarded. */
    void close();
    /** @return true when the caller is the local server. */
    bool isFromLocalServer() const { return m_fromLocalServer; }
    /** @return true when no request is received in part or waits for its response. */
    bool isIdle() const { return m_queue.empty() && !m_reader.inRequest(); }
    /** @return number of bytes of responses that the operating system has not taken yet. */
    std::size_t unsentBytes() const { return m_output->unsentBytes(); }

    /** @return number of bytes of responses that the caller has not acknowledged. */
    std::size_t undeliveredBytes() const
    {
        return unsentBytes() + m_connection->unacknowledgedBytes();
    }

    void received(std::string_view bytes) override;
    void disconnected(DisconnectReason reason) override;

private:
    /** A complete request whose response is not sent yet. */
    struct QueuedRequest
    {
        PendingRequestId id = 0;              ///< 0 until the request is dispatched.
        IncomingRequest request;              ///< Moved out when the request is dispatched.
        std::string method;                   ///< Method of the request.
        bool keepAlive = true;                ///< The caller expects the connection to stay open.
        bool concurrent = false;              ///< May run while earlier requests run.
        std::optional<HttpResponse> response; ///< Set when the response is ready.
    };

    void parseRequests();
    void advance();
    void dispatchRequests();
    bool sendNextResponse();
    void rejectInput(unsigned status);
    void endSession();
    void reportClosed();
    void startIdleTimer();
    void handleIdleTimer();

    EventLoop &m_loop;
    CallerSessionOwner &m_owner;
    TcpConnectionPtr m_connection;
    std::shared_ptr<PacedOutput> m_output;
    std::size_t m_lastUnsentBytes = 0; ///< At the last check of the idle timer.
    RequestReader m_reader;
    std::deque<QueuedRequest> m_queue; ///< In the order of arrival.
    TimerId m_idleTimer = 0;
    TimePoint m_lastActivity{0}; ///< Last received bytes or sent response.
    TimePoint m_requestStarted{0};
    /** Status of the error response to send after the queued responses; 0 for none. */
    unsigned m_errorStatus = 0;
    bool m_fromLocalServer;
    bool m_ended = false;
    bool m_advancing = false;
    bool m_parsing = false;
};

} // namespace cornelwell
