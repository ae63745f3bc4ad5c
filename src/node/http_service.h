/** @file http_service.h HTTP listener for requests that a function answers synchronously. */
#pragma once

#include "http/http_type.h"
#include "loop/tcp_connection.h"

#include <functional>
#include <memory>
#include <set>

namespace cornelwell {

/** Listens for HTTP requests and passes each one to a function on the event loop. Requests of one
 * connection are handled one after the other. */
class HttpService
{
public:
    /** Returns the response to a request; called on the event loop. */
    using Handler = std::function<HttpResponse(const HttpRequest &)>;
    /** Sends the response to a request; may be called later, on the event loop. */
    using Reply = std::function<void(const HttpResponse &)>;
    /** Answers a request through its reply; called on the event loop. */
    using DeferringHandler = std::function<void(const HttpRequest &, Reply)>;

    /**
     * Listens on an address.
     * @param loop The event loop.
     * @param address Address to listen on.
     * @param handler Function that handles the requests.
     * @return the service, or AddressInvalid or ListenFailed.
     */
    static Result<std::unique_ptr<HttpService>> listen(EventLoop &loop, const Endpoint &address,
                                                       Handler handler);
    /** Listens, as listen(), with a handler that may answer later. */
    static Result<std::unique_ptr<HttpService>>
    listenDeferring(EventLoop &loop, const Endpoint &address, DeferringHandler handler);
    ~HttpService();

private:
    class Session;
    HttpService(EventLoop &loop, DeferringHandler handler);

    void accept(TcpConnectionPtr connection);

    EventLoop &m_loop;
    DeferringHandler m_handler;
    std::unique_ptr<TcpListener> m_listener;
    std::set<std::shared_ptr<Session>> m_sessions;
};

} // namespace cornelwell
