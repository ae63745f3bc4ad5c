/** @file http_service.h A small HTTP server for questions that are answered at once. */
#pragma once

#include "http/http_type.h"
#include "loop/tcp_connection.h"

#include <functional>
#include <memory>
#include <set>

namespace cornelwell {

/** Answers each request by a function, on the loop. */
class HttpService
{
public:
    /** Gives the answer to a request. */
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /** @return a listening service, or ListenFailed. */
    static Result<std::unique_ptr<HttpService>> listen(EventLoop &loop, const Endpoint &at,
                                                       Handler handler);
    ~HttpService();

private:
    class Session;
    HttpService(EventLoop &loop, Handler handler);

    void accept(TcpConnectionPtr connection);

    EventLoop &m_loop;
    Handler m_handler;
    std::unique_ptr<TcpListener> m_listener;
    std::set<std::shared_ptr<Session>> m_sessions;
};

} // namespace cornelwell
