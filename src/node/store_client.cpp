/** @file store_client.cpp One connection; a call without an answer ends it. */
#include "node/store_client.h"

#include "base/endpoint_func.h"
#include "exchange/message_func.h"

namespace cornelwell {

namespace {

constexpr Duration CONNECT_TIMEOUT{1000};
constexpr int TOO_MANY = 429;
constexpr int UNAVAILABLE = 503;

} // namespace

StoreClient::StoreClient(EventLoop &loop, Endpoint store, std::string fromIp)
    : m_loop(loop), m_store(std::move(store)), m_fromIp(std::move(fromIp))
{}

StoreClient::~StoreClient()
{
    drop();
    m_loop.cancel(m_timer);
}

void StoreClient::setAddress(const Endpoint &store)
{
    m_store = store;
    if (!m_sent)
        drop();
}

void StoreClient::call(HttpRequest request, Duration timeout, Callback callback)
{
    if (!request.headers.has("Host"))
        request.headers.add("Host", formatEndpoint(m_store));
    if (!request.body.empty())
        request.headers.add("Content-Type", "application/json");
    m_waiting.push_back({std::move(request), timeout, std::move(callback)});
    if (m_waiting.size() == 1)
        sendFirst();
}

void StoreClient::sendFirst()
{
    if (m_waiting.empty())
        return;
    m_timer = m_loop.after(m_waiting.front().timeout, [this] {
        m_timer = 0;
        drop();
        finishFirst(fail(m_sent ? ResultCode::PlatformUnknown : ResultCode::PlatformNotExecuted,
                         "no answer in time", formatEndpoint(m_store)));
    });
    m_sent = false;
    if (!m_connection || !m_connection->isOpen()) {
        m_connection = TcpConnection::open(m_loop, m_store, CONNECT_TIMEOUT, *this, m_fromIp);
        return;
    }
    connected();
}

void StoreClient::connected()
{
    if (m_waiting.empty() || m_sent)
        return;
    m_sent = true;
    m_calls++;
    const Call &call = m_waiting.front();
    m_reader.beginResponse(call.request.method);
    m_connection->write(serializeRequest(call.request));
}

void StoreClient::received(std::string_view bytes)
{
    if (!m_sent) {
        drop();
        return;
    }
    m_reader.feed(bytes);
    const ResponseParseStatus step = m_reader.parse();
    if (step == ResponseParseStatus::NeedMore)
        return;
    if (step == ResponseParseStatus::Failed) {
        drop();
        finishFirst(fail(ResultCode::PlatformProtocol, "no answer in the protocol",
                         formatEndpoint(m_store)));
        return;
    }
    HttpResponse response = m_reader.take();
    if (!m_reader.keepAlive() || m_reader.hasExtraBytes())
        drop();
    if (response.status == TOO_MANY || response.status == UNAVAILABLE) {
        finishFirst(fail(ResultCode::PlatformThrottled, "status " + std::to_string(response.status),
                         formatEndpoint(m_store)));
        return;
    }
    finishFirst(response);
}

void StoreClient::disconnected(DisconnectReason end)
{
    if (m_sent && end == DisconnectReason::Eof
        && m_reader.handleEof() == ResponseParseStatus::Complete) {
        finishFirst(m_reader.take());
        return;
    }
    if (m_waiting.empty() || m_timer == 0)
        return;
    finishFirst(fail(m_sent ? ResultCode::PlatformUnknown : ResultCode::PlatformNotExecuted,
                     "the connection ended", formatEndpoint(m_store)));
}

void StoreClient::drop()
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

void StoreClient::finishFirst(const Result<HttpResponse> &answer)
{
    m_loop.cancel(m_timer);
    m_sent = false;
    if (m_waiting.empty())
        return;
    const Call call = std::move(m_waiting.front());
    m_waiting.pop_front();
    call.callback(answer);
    if (m_timer == 0)
        sendFirst();
}

} // namespace cornelwell
