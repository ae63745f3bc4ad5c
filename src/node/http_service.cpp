/** @file http_service.cpp Sessions of HttpService. */
#include "node/http_service.h"

#include "exchange/message_func.h"
#include "exchange/request_reader.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr std::size_t MAX_SESSIONS = 64; ///< A further connection ends the one silent longest.
constexpr RequestLimits LIMITS{16384, 1024 * 1024};

} // namespace

class HttpService::Session : public ConnectionHandler,
                             public std::enable_shared_from_this<HttpService::Session>
{
public:
    Session(HttpService &service, TcpConnectionPtr connection)
        : m_service(service)
        , m_connection(std::move(connection))
        , m_reader(LIMITS)
        , m_lastReceivedAt(service.m_loop.now())
    {}

    /** @return when bytes arrived last, or the connection was accepted. */
    TimePoint lastReceivedAt() const { return m_lastReceivedAt; }

    void start() { m_connection->start(*this); }

    void close() { m_connection->close(); }

    void received(std::string_view bytes) override
    {
        m_lastReceivedAt = m_service.m_loop.now();
        m_reader.feed(bytes);
        handleRequests();
    }

    void disconnected(DisconnectReason) override { removeSession(); }

    /** Closes after the responses that were sent. */
    void closeAfterResponse()
    {
        m_connection->closeWhenSent();
        removeSession();
    }

private:
    /** Handles the requests that have arrived, until one of them has to wait for its response. */
    void handleRequests()
    {
        while (m_connection->isOpen() && !m_awaitsResponse) {
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
            handle(m_reader.take());
        }
    }

    void handle(const IncomingRequest &incoming)
    {
        m_awaitsResponse = true;
        m_isHandling = true;
        const std::weak_ptr<Session> weak = weak_from_this();
        m_service.m_handler(incoming.request,
                            [weak, method = incoming.request.method,
                             keepAlive = incoming.keepAlive](const HttpResponse &response) {
                                if (const auto session = weak.lock())
                                    session->respond(response, method, keepAlive);
                            });
        m_isHandling = false;
    }

    void respond(const HttpResponse &response, const std::string &method, bool keepAlive)
    {
        if (!m_awaitsResponse || !m_connection->isOpen())
            return;
        m_awaitsResponse = false;
        m_connection->write(serializeResponse(response, method, !keepAlive));
        if (!keepAlive) {
            closeAfterResponse();
            return;
        }
        if (!m_isHandling)
            handleRequests();
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
    TimePoint m_lastReceivedAt;
    bool m_awaitsResponse = false; ///< A request was passed to the handler and not answered.
    bool m_isHandling = false;     ///< The handler runs, within handleRequests().
};

HttpService::HttpService(EventLoop &loop, DeferringHandler handler)
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
    return listenDeferring(
        loop, address,
        [handler = std::move(handler)](const HttpRequest &request, const Reply &reply) {
            reply(handler(request));
        });
}

Result<std::unique_ptr<HttpService>>
HttpService::listenDeferring(EventLoop &loop, const Endpoint &address, DeferringHandler handler)
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
        const auto silent = std::min_element(
            m_sessions.begin(), m_sessions.end(),
            [](const auto &a, const auto &b) { return a->lastReceivedAt() < b->lastReceivedAt(); });
        const auto session = *silent;
        session->closeAfterResponse();
    }
    const auto accepted = std::make_shared<Session>(*this, std::move(connection));
    m_sessions.insert(accepted);
    accepted->start();
}

} // namespace cornelwell
