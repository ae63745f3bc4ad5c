/** @file caller_session.h One caller's connection: requests in, answers out in the same order. */
#pragma once

#include "dispatch/dispatch_type.h"
#include "exchange/request_reader.h"
#include "loop/tcp_connection.h"
#include "routes/route_type.h"

#include <deque>
#include <memory>
#include <optional>

namespace cornelwell {

class CallerSession;

/** What sessions ask of the daemon. */
class CallerSessionOwner
{
public:
    virtual ~CallerSessionOwner() = default;
    /** @return the limits in force. */
    virtual TrafficLimits limits() const = 0;
    /** @return true when connections are to end behind the answer. */
    virtual bool shouldCloseConnections() const = 0;
    /** @return true when the request may be run while earlier ones of its connection are. */
    virtual bool mayRunConcurrently(const HttpRequest &request) const = 0;
    /** @return a number for a request. */
    virtual PendingRequestId newRequestId() = 0;
    /** A request was read. The answer is given to CallerSession::respond, at once or later. */
    virtual void handleRequest(CallerSession &session, PendingRequestId id, IncomingRequest request)
        = 0;
    /** The caller left before its answer. */
    virtual void callerDisconnected(PendingRequestId id) = 0;
    /** The session is over. */
    virtual void sessionClosed(CallerSession &session) = 0;
};

/** A connection with requests in order. */
class CallerSession : public ConnectionHandler, public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(EventLoop &loop, CallerSessionOwner &owner, TcpConnectionPtr connection,
                  bool fromLocalServer);
    ~CallerSession() override;

    /** Begins to read. */
    void start();
    /** Gives the answer to a request; it is sent when all earlier ones are. */
    void respond(PendingRequestId id, const HttpResponse &response);
    /** Closes at once. */
    void close();
    /** @return true when the server beside this daemon is the caller. */
    bool isFromLocalServer() const { return m_fromLocalServer; }
    /** @return true when no request is read or waits for its answer. */
    bool isIdle() const { return m_pending.empty() && !m_reader.inRequest(); }

    void received(std::string_view bytes) override;
    void disconnected(DisconnectReason end) override;

private:
    /** A request that was read. */
    struct Pending
    {
        PendingRequestId id = 0;            ///< 0 until it is dispatched.
        IncomingRequest request;            ///< Held until it is dispatched.
        std::string method;                 ///< Of the request.
        bool keepAlive = true;              ///< The caller keeps the connection.
        bool overlaps = false;              ///< May be run beside others.
        std::optional<HttpResponse> answer; ///< Set when it is known.
    };

    void readOn();
    void pump();
    void dispatch();
    bool sendAnswered();
    void refuseRest(unsigned status);
    void finish();
    void watchIdle();
    void onIdleTimer();

    EventLoop &m_loop;
    CallerSessionOwner &m_owner;
    TcpConnectionPtr m_connection;
    RequestReader m_reader;
    std::deque<Pending> m_pending;
    TimerId m_timer = 0;
    TimePoint m_lastByte{0};
    TimePoint m_requestBegan{0};
    unsigned m_refusal = 0; ///< Status for what could not be read, sent behind the answers.
    bool m_fromLocalServer;
    bool m_over = false;
    bool m_pumping = false;
    bool m_reading = false;
};

} // namespace cornelwell
