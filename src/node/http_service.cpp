/** @file http_service.cpp Sessions of the small HTTP server. */
#include "node/http_service.h"

#include "exchange/message_func.h"
#include "exchange/request_reader.h"

namespace cornelwell {

namespace {

constexpr std::size_t SESSIONS_MAX = 64;            ///< Connections at once.
constexpr RequestLimits LIMITS{16384, 1024 * 1024}; ///< Questions are short.

} // namespace

class HttpService::Session : public ConnectionHandler,
                             public std::enable_shared_from_this<HttpService::Session>
{
public:
    Session(HttpService &service, TcpConnectionPtr connection)
        : m_service(service), m_connection(std::move(connection)), m_reader(LIMITS)
    {}

    void start() { m_connection->start(*this); }

    void stop() { m_connection->close(); }

    void received(std::string_view bytes) override
    {
        m_reader.feed(bytes);
        while (m_connection->isOpen()) {
            const RequestParseStatus step = m_reader.parse();
            if (step == RequestParseStatus::NeedMore)
                return;
            if (step == RequestParseStatus::Failed) {
                HttpResponse refusal;
                refusal.status = static_cast<int>(m_reader.errorStatus());
                m_connection->write(serializeResponse(refusal, "GET", true));
                end();
                return;
            }
            const IncomingRequest incoming = m_reader.take();
            const HttpResponse answer = m_service.m_handler(incoming.request);
            m_connection->write(
                serializeResponse(answer, incoming.request.method, !incoming.keepAlive));
            if (!incoming.keepAlive) {
                end();
                return;
            }
        }
    }

    void disconnected(DisconnectReason) override { forget(); }

private:
    void end()
    {
        m_connection->closeWhenSent();
        forget();
    }

    void forget()
    {
        const auto self = shared_from_this();
        m_service.m_sessions.erase(self);
        // The connection calls back until it returns; the session goes after that.
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
        session->stop();
}

Result<std::unique_ptr<HttpService>> HttpService::listen(EventLoop &loop, const Endpoint &at,
                                                         Handler handler)
{
    std::unique_ptr<HttpService> service(new HttpService(loop, std::move(handler)));
    HttpService *raw = service.get();
    BOOST_OUTCOME_TRY(listener, TcpListener::listen(loop, at, [raw](TcpConnectionPtr connection) {
                          raw->accept(std::move(connection));
                      }));
    service->m_listener = std::move(listener);
    return service;
}

void HttpService::accept(TcpConnectionPtr connection)
{
    if (m_sessions.size() >= SESSIONS_MAX) {
        connection->close();
        return;
    }
    const auto session = std::make_shared<Session>(*this, std::move(connection));
    m_sessions.insert(session);
    session->start();
}

} // namespace cornelwell
