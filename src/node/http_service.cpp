/** @file http_service.cpp Sessions of HttpService. */
#include "node/http_service.h"

#include "exchange/message_func.h"
#include "exchange/request_reader.h"

namespace cornelwell {

namespace {

constexpr std::size_t MAX_SESSIONS = 64; ///< Further connections are closed.
constexpr RequestLimits LIMITS{16384, 1024 * 1024};

} // namespace

class HttpService::Session : public ConnectionHandler,
                             public std::enable_shared_from_this<HttpService::Session>
{
public:
    Session(HttpService &service, TcpConnectionPtr connection)
        : m_service(service), m_connection(std::move(connection)), m_reader(LIMITS)
    {}

    void start() { m_connection->start(*this); }

    void close() { m_connection->close(); }

    void received(std::string_view bytes) override
    {
        m_reader.feed(bytes);
        while (m_connection->isOpen()) {
            const RequestParseStatus status = m_reader.parse();
            if (status == RequestParseStatus::NeedMore)
                return;
            if (status == RequestParseStatus::Failed) {
                HttpResponse errorResponse;
                errorResponse.status = static_cast<int>(m_reader.errorStatus());
                m_connection->write(serializeResponse(errorResponse, "GET", true));
                closeAfterResponse();
                return;
            }
            const IncomingRequest incoming = m_reader.take();
            const HttpResponse response = m_service.m_handler(incoming.request);
            m_connection->write(
                serializeResponse(response, incoming.request.method, !incoming.keepAlive));
            if (!incoming.keepAlive) {
                closeAfterResponse();
                return;
            }
        }
    }

    void disconnected(DisconnectReason) override { removeSession(); }

private:
    void closeAfterResponse()
    {
        m_connection->closeWhenSent();
        removeSession();
    }

    void removeSession()
    {
        const auto self = shared_from_this();
        m_service.m_sessions.erase(self);
        // This may run inside a callback of the connection, so the session is destroyed later.
        m_service.m_loop.after({0}, [self] {});
    }

    HttpService &m_service;
    TcpConnectionPtr m_connection;
    RequestReader m_reader;
};

HttpService::HttpService(EventLoop &loop, Handler handler)
    : m_loop(loop), m_handler(std::move(handler))
{}

HttpService::~HttpService()
{
    for (const auto &session : m_sessions)
        session->close();
}

Result<std::unique_ptr<HttpService>> HttpService::listen(EventLoop &loop, const Endpoint &address,
                                                         Handler handler)
{
    std::unique_ptr<HttpService> service(new HttpService(loop, std::move(handler)));
    HttpService *raw = service.get();
    BOOST_OUTCOME_TRY(listener,
                      TcpListener::listen(loop, address, [raw](TcpConnectionPtr connection) {
                          raw->accept(std::move(connection));
                      }));
    service->m_listener = std::move(listener);
    return service;
}

void HttpService::accept(TcpConnectionPtr connection)
{
    if (m_sessions.size() >= MAX_SESSIONS) {
        connection->close();
        return;
    }
    const auto session = std::make_shared<Session>(*this, std::move(connection));
    m_sessions.insert(session);
    session->start();
}

} // namespace cornelwell
