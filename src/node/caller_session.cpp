/** @file caller_session.cpp Pipelining, timeouts and the end of a connection. */
#include "node/caller_session.h"

#include "exchange/message_func.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr std::size_t MAX_QUEUED_REQUESTS = 32; ///< Per connection; parsing pauses at this.
constexpr unsigned REQUEST_TIMEOUT = 408;
/** A closing session checks this often whether its last answer has left. */
constexpr Duration OUTPUT_CHECK_INTERVAL{20};
constexpr const char *CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n";

RequestLimits readerLimits(const TrafficLimits &limits)
{
    return {limits.headerBytes, limits.bodyBytes};
}

} // namespace

CallerSession::CallerSession(EventLoop &loop, CallerSessionOwner &owner,
                             TcpConnectionPtr connection, bool fromLocalServer)
    : m_loop(loop)
    , m_owner(owner)
    , m_connection(std::move(connection))
    , m_output(std::make_shared<PacedOutput>(m_connection,
                                             fromLocalServer ? nullptr : owner.bulkWriter()))
    , m_reader(readerLimits(owner.limits()))
    , m_lastActivity(loop.now())
    , m_fromLocalServer(fromLocalServer)
{}

CallerSession::~CallerSession()
{
    m_loop.cancel(m_idleTimer);
}

void CallerSession::start()
{
    startIdleTimer();
    m_connection->start(*this);
}

void CallerSession::close()
{
    m_connection->close();
    endSession();
}

void CallerSession::received(std::string_view bytes)
{
    if (m_ended)
        return;
    const auto self = shared_from_this();
    m_lastActivity = m_loop.now();
    if (!m_reader.inRequest())
        m_requestStarted = m_lastActivity;
    m_reader.feed(bytes);
    parseRequests();
}

void CallerSession::parseRequests()
{
    if (m_parsing)
        return;
    m_parsing = true;
    while (!m_ended && m_errorStatus == 0 && m_queue.size() < MAX_QUEUED_REQUESTS) {
        m_reader.setLimits(readerLimits(m_owner.limits()));
        const RequestParseStatus status = m_reader.parse();
        if (status == RequestParseStatus::NeedMore) {
            if (m_reader.shouldSendContinue() && m_queue.empty())
                m_output->write(CONTINUE_RESPONSE);
            break;
        }
        if (status == RequestParseStatus::Failed) {
            rejectInput(m_reader.errorStatus());
            break;
        }
        QueuedRequest queued;
        queued.request = m_reader.take();
        queued.method = queued.request.request.method;
        queued.keepAlive = queued.request.keepAlive;
        queued.concurrent = m_owner.mayRunConcurrently(queued.request.request);
        m_queue.push_back(std::move(queued));
        m_requestStarted = m_loop.now();
        advance();
    }
    m_parsing = false;
}

/** Dispatches requests and sends responses until neither is possible. */
void CallerSession::advance()
{
    if (m_advancing)
        return;
    m_advancing = true;
    do
        dispatchRequests();
    while (sendNextResponse());
    m_advancing = false;
    if (!m_ended && m_queue.empty() && m_errorStatus != 0)
        rejectInput(m_errorStatus);
}

/** A request that may not run concurrently waits until it is the first of the queue: callers resend
 * the requests that are unanswered when a connection closes. */
void CallerSession::dispatchRequests()
{
    bool allConcurrent = true;
    for (std::size_t i = 0; i < m_queue.size() && !m_ended; i++) {
        allConcurrent = allConcurrent && m_queue[i].concurrent;
        if (m_queue[i].id != 0)
            continue;
        if (i > 0 && !allConcurrent)
            return;
        const PendingRequestId id = m_owner.newRequestId();
        m_queue[i].id = id;
        m_owner.handleRequest(*this, id, std::move(m_queue[i].request));
    }
}

void CallerSession::respond(PendingRequestId id, const HttpResponse &response)
{
    const auto self = shared_from_this();
    for (QueuedRequest &queued : m_queue) {
        if (queued.id == id)
            queued.response = response;
    }
    advance();
    if (!m_ended && m_reader.inRequest())
        parseRequests();
}

/** @return true when a response was sent and the connection stays open. */
bool CallerSession::sendNextResponse()
{
    if (m_ended || m_queue.empty() || !m_queue.front().response)
        return false;
    const QueuedRequest first = std::move(m_queue.front());
    m_queue.pop_front();
    const bool last = m_queue.empty() && !m_reader.inRequest() && m_errorStatus == 0;
    const bool close = !first.keepAlive || (last && m_owner.shouldCloseConnections());
    m_output->write(serializeResponse(*first.response, first.method, close));
    m_lastActivity = m_loop.now();
    if (close) {
        m_output->closeWhenSent();
        endSession();
        return false;
    }
    return true;
}

/** Stops reading; sends an error response after the queued ones, then closes the connection. */
void CallerSession::rejectInput(unsigned status)
{
    m_errorStatus = status;
    if (!m_queue.empty())
        return;
    HttpResponse errorResponse;
    errorResponse.status = static_cast<int>(status);
    m_output->write(serializeResponse(errorResponse, "GET", true));
    m_output->closeWhenSent();
    endSession();
}

void CallerSession::disconnected(DisconnectReason)
{
    endSession();
}

void CallerSession::endSession()
{
    if (m_ended)
        return;
    m_ended = true;
    m_loop.cancel(m_idleTimer);
    for (const QueuedRequest &queued : m_queue) {
        if (queued.id != 0 && !queued.response)
            m_owner.callerDisconnected(queued.id);
    }
    m_queue.clear();
    reportClosed();
}

/** Tells the owner that the session is over once its last answer has left or cannot leave. */
void CallerSession::reportClosed()
{
    const auto self = shared_from_this();
    if (m_connection->isOpen() && m_output->unsentBytes() > 0) {
        m_loop.after(OUTPUT_CHECK_INTERVAL, [self] { self->reportClosed(); });
        return;
    }
    m_owner.sessionClosed(*this);
    // This may run inside a callback of the connection, so the session is destroyed later.
    m_loop.after({0}, [self] {});
}

void CallerSession::startIdleTimer()
{
    const TrafficLimits limits = m_owner.limits();
    const Duration interval{std::min(limits.idleTimeout.ms, limits.headerTimeout.ms)};
    m_idleTimer = m_loop.after(interval, [this] {
        m_idleTimer = 0;
        handleIdleTimer();
    });
}

void CallerSession::handleIdleTimer()
{
    const TrafficLimits limits = m_owner.limits();
    const TimePoint now = m_loop.now();
    // A caller that still reads a long response is not idle.
    if (m_output->unsentBytes() != m_lastUnsentBytes)
        m_lastActivity = now;
    m_lastUnsentBytes = m_output->unsentBytes();
    if (m_queue.empty() && m_reader.inRequest()) {
        const bool headerTimedOut
            = !m_reader.headerComplete() && now - m_requestStarted >= limits.headerTimeout;
        const bool bodyTimedOut
            = m_reader.headerComplete() && now - m_lastActivity >= limits.idleTimeout;
        if (headerTimedOut || bodyTimedOut) {
            rejectInput(REQUEST_TIMEOUT);
            return;
        }
    } else if (m_queue.empty() && now - m_lastActivity >= limits.idleTimeout) {
        // Output that has not moved for the whole time never leaves.
        if (m_output->unsentBytes() > 0)
            m_connection->close();
        else
            m_output->closeWhenSent();
        endSession();
        return;
    }
    startIdleTimer();
}

} // namespace cornelwell
