/** @file caller_session.cpp Pipelining, limits of time, and the end of a connection. */
#include "node/caller_session.h"

#include "exchange/message_func.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr std::size_t PIPELINE_MAX = 32; ///< Requests read ahead on one connection.
constexpr unsigned REQUEST_TIMEOUT = 408;
constexpr const char *CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

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
    , m_reader(readerLimits(owner.limits()))
    , m_lastByte(loop.now())
    , m_fromLocalServer(fromLocalServer)
{}

CallerSession::~CallerSession()
{
    m_loop.cancel(m_timer);
}

void CallerSession::start()
{
    watchIdle();
    m_connection->start(*this);
}

void CallerSession::close()
{
    m_connection->close();
    finish();
}

void CallerSession::received(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_lastByte = m_loop.now();
    if (!m_reader.inRequest())
        m_requestBegan = m_lastByte;
    m_reader.feed(bytes);
    readOn();
}

void CallerSession::readOn()
{
    if (m_reading)
        return;
    m_reading = true;
    while (!m_over && m_refusal == 0 && m_pending.size() < PIPELINE_MAX) {
        m_reader.setLimits(readerLimits(m_owner.limits()));
        const RequestParseStatus step = m_reader.parse();
        if (step == RequestParseStatus::NeedMore) {
            if (m_reader.shouldSendContinue() && m_pending.empty())
                m_connection->write(CONTINUE);
            break;
        }
        if (step == RequestParseStatus::Failed) {
            refuseRest(m_reader.errorStatus());
            break;
        }
        Pending pending;
        pending.request = m_reader.take();
        pending.method = pending.request.request.method;
        pending.keepAlive = pending.request.keepAlive;
        pending.overlaps = m_owner.mayRunConcurrently(pending.request.request);
        m_pending.push_back(std::move(pending));
        m_requestBegan = m_loop.now();
        pump();
    }
    m_reading = false;
}

/** Hands on what may run and sends what is answered, until neither moves. */
void CallerSession::pump()
{
    if (m_pumping)
        return;
    m_pumping = true;
    do
        dispatch();
    while (sendAnswered());
    m_pumping = false;
    if (!m_over && m_pending.empty() && m_refusal != 0)
        refuseRest(m_refusal);
}

/** Requests that may not be repeated wait until they are the first: what lies behind the end of a
 * connection is sent again by callers. */
void CallerSession::dispatch()
{
    bool allOverlap = true;
    for (std::size_t i = 0; i < m_pending.size() && !m_over; i++) {
        allOverlap = allOverlap && m_pending[i].overlaps;
        if (m_pending[i].id != 0)
            continue;
        if (i > 0 && !allOverlap)
            return;
        const PendingRequestId id = m_owner.newRequestId();
        m_pending[i].id = id;
        m_owner.handleRequest(*this, id, std::move(m_pending[i].request));
    }
}

void CallerSession::respond(PendingRequestId id, const HttpResponse &response)
{
    const auto self = shared_from_this();
    for (Pending &pending : m_pending) {
        if (pending.id == id)
            pending.answer = response;
    }
    pump();
    if (!m_over && m_reader.inRequest())
        readOn();
}

/** @return true when an answer was sent and requests behind it may go on. */
bool CallerSession::sendAnswered()
{
    if (m_over || m_pending.empty() || !m_pending.front().answer)
        return false;
    const Pending first = std::move(m_pending.front());
    m_pending.pop_front();
    const bool last = m_pending.empty() && !m_reader.inRequest() && m_refusal == 0;
    const bool close = !first.keepAlive || (last && m_owner.shouldCloseConnections());
    m_connection->write(serializeResponse(*first.answer, first.method, close));
    m_lastByte = m_loop.now();
    if (close) {
        m_connection->closeWhenSent();
        finish();
        return false;
    }
    return true;
}

void CallerSession::refuseRest(unsigned status)
{
    m_refusal = status;
    if (!m_pending.empty())
        return;
    HttpResponse refusal;
    refusal.status = static_cast<int>(status);
    m_connection->write(serializeResponse(refusal, "GET", true));
    m_connection->closeWhenSent();
    finish();
}

void CallerSession::disconnected(DisconnectReason)
{
    finish();
}

void CallerSession::finish()
{
    if (m_over)
        return;
    m_over = true;
    const auto self = shared_from_this();
    m_loop.cancel(m_timer);
    for (const Pending &pending : m_pending) {
        if (pending.id != 0 && !pending.answer)
            m_owner.callerDisconnected(pending.id);
    }
    m_pending.clear();
    m_owner.sessionClosed(*this);
    // The connection may be in the middle of a callback.
    m_loop.after({0}, [self] {});
}

void CallerSession::watchIdle()
{
    const TrafficLimits limits = m_owner.limits();
    const Duration shortest{std::min(limits.idleTimeout.ms, limits.headerTimeout.ms)};
    m_timer = m_loop.after(shortest, [this] {
        m_timer = 0;
        onIdleTimer();
    });
}

void CallerSession::onIdleTimer()
{
    const TrafficLimits limits = m_owner.limits();
    const TimePoint now = m_loop.now();
    if (m_pending.empty() && m_reader.inRequest()) {
        const bool headerLate
            = !m_reader.headerComplete() && now - m_requestBegan >= limits.headerTimeout;
        const bool bodySilent = m_reader.headerComplete() && now - m_lastByte >= limits.idleTimeout;
        if (headerLate || bodySilent) {
            refuseRest(REQUEST_TIMEOUT);
            return;
        }
    } else if (m_pending.empty() && now - m_lastByte >= limits.idleTimeout) {
        m_connection->close();
        finish();
        return;
    }
    watchIdle();
}

} // namespace cornelwell
