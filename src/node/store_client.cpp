/** @file store_client.cpp One connection; a call without a valid response closes it. */
#include "node/store_client.h"

#include "base/endpoint_func.h"
#include "exchange/message_func.h"

namespace cornelwell {

namespace {

constexpr Duration CONNECT_TIMEOUT{1000};
constexpr int TOO_MANY_REQUESTS = 429;
constexpr int SERVICE_UNAVAILABLE = 503;

} // namespace

StoreClient::StoreClient(EventLoop &loop, Endpoint address, std::string fromIp)
    : m_loop(loop), m_address(std::move(address)), m_fromIp(std::move(fromIp))
{}

StoreClient::~StoreClient()
{
    closeConnection();
    m_loop.cancel(m_timeoutTimer);
}

void StoreClient::setAddress(const Endpoint &address)
{
    if (m_address == address)
        return;
    m_address = address;
    if (m_requestSent)
        return;
    closeConnection();
    if (!m_queue.empty() && m_timeoutTimer != 0)
        openConnection();
}

void StoreClient::call(HttpRequest request, Duration timeout, Callback callback)
{
    if (!request.body.empty())
        request.headers.add("Content-Type", "application/json");
    m_queue.push_back({std::move(request), timeout, std::move(callback)});
    if (m_queue.size() == 1)
        startNextCall();
}

void StoreClient::startNextCall()
{
    if (m_queue.empty())
        return;
    startTimeout(m_queue.front().timeout);
    m_requestSent = false;
    if (m_connection && m_connection->isOpen() && m_connectedTo == m_address)
        connected();
    else
        openConnection();
}

void StoreClient::openConnection()
{
    closeConnection();
    m_connectedTo = m_address;
    m_connection = TcpConnection::open(m_loop, m_address, CONNECT_TIMEOUT, *this, m_fromIp);
}

void StoreClient::startTimeout(Duration timeout)
{
    m_timeoutTimer = m_loop.after(timeout, [this] {
        m_timeoutTimer = 0;
        closeConnection();
        completeCall(
            fail(m_requestSent ? ResultCode::PlatformUnknown : ResultCode::PlatformNotExecuted,
                 "the store did not respond in time", formatEndpoint(m_address)));
    });
}

void StoreClient::abandonCall()
{
    if (m_queue.empty() || m_timeoutTimer == 0)
        return;
    m_loop.cancel(m_timeoutTimer);
    startTimeout({0});
}

void StoreClient::connected()
{
    if (m_queue.empty() || m_requestSent)
        return;
    m_requestSent = true;
    m_requestsSent++;
    HttpRequest &request = m_queue.front().request;
    if (!request.headers.has("Host"))
        request.headers.add("Host", formatEndpoint(m_address));
    m_reader.beginResponse(request.method);
    m_connection->write(serializeRequest(request));
}

void StoreClient::received(std::string_view bytes)
{
    if (!m_requestSent) {
        closeConnection();
        return;
    }
    m_reader.feed(bytes);
    const ResponseParseStatus status = m_reader.parse();
    if (status == ResponseParseStatus::NeedMore)
        return;
    if (status == ResponseParseStatus::Failed) {
        closeConnection();
        completeCall(fail(ResultCode::PlatformProtocol, "the store sent a malformed response",
                          formatEndpoint(m_address)));
        return;
    }
    HttpResponse response = m_reader.take();
    if (!m_reader.keepAlive() || m_reader.hasExtraBytes())
        closeConnection();
    completeWith(std::move(response));
}

/** Ends the call in progress with a response of the store. */
void StoreClient::completeWith(HttpResponse response)
{
    if (response.status == TOO_MANY_REQUESTS || response.status == SERVICE_UNAVAILABLE) {
        completeCall(fail(ResultCode::PlatformThrottled,
                          "the store responded with status " + std::to_string(response.status),
                          formatEndpoint(m_address)));
        return;
    }
    completeCall(std::move(response));
}

void StoreClient::disconnected(DisconnectReason reason)
{
    if (m_requestSent && reason == DisconnectReason::Eof
        && m_reader.handleEof() == ResponseParseStatus::Complete) {
        completeWith(m_reader.take());
        return;
    }
    if (m_queue.empty() || m_timeoutTimer == 0)
        return;
    completeCall(fail(m_requestSent ? ResultCode::PlatformUnknown : ResultCode::PlatformNotExecuted,
                      "the connection to the store ended", formatEndpoint(m_address)));
}

void StoreClient::closeConnection()
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

void StoreClient::completeCall(const Result<HttpResponse> &result)
{
    m_loop.cancel(m_timeoutTimer);
    m_requestSent = false;
    if (m_queue.empty())
        return;
    const Call call = std::move(m_queue.front());
    m_queue.pop_front();
    call.callback(result);
    if (m_timeoutTimer == 0)
        startNextCall();
}

} // namespace cornelwell
