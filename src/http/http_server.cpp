/** @file http_server.cpp Adapts cxxtools' HTTP server to the handler interface. */
#include "http/http_server.h"

#include "base/endpoint_func.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <thread>

namespace cornelwell {

namespace {

constexpr int LISTEN_BACKLOG = 4096;   ///< Connections that wait for accept; the kernel may cap it.
constexpr int SOCKETS_SEARCHED = 4096; ///< Descriptors looked through for the listening socket.

/** Reads one request, asks the handler, writes the answer. */
class HandlerResponder final : public cxxtools::http::Responder
{
public:
    HandlerResponder(cxxtools::http::Service &service, HttpHandler &handler,
                     std::size_t bodyBytesMax)
        : cxxtools::http::Responder(service), m_handler(handler), m_bodyBytesMax(bodyBytesMax)
    {}

    void beginRequest(cxxtools::net::TcpSocket &socket, std::istream &,
                      cxxtools::http::Request &) override
    {
        m_request = HttpRequest();
        m_callerSocket = socket.getFd();
    }

    std::size_t readBody(std::istream &in) override
    {
        std::array<char, 8192> part;
        const auto ready = std::max<std::streamsize>(in.rdbuf()->in_avail(), 0);
        const auto wanted = std::min<std::streamsize>(ready, part.size());
        const auto count = static_cast<std::size_t>(in.readsome(part.data(), wanted));
        if (m_request.body.size() + count > m_bodyBytesMax)
            m_request.bodyTooLarge = true;
        if (!m_request.bodyTooLarge)
            m_request.body.append(part.data(), count);
        return count;
    }

    void reply(std::ostream &out, cxxtools::http::Request &request,
               cxxtools::http::Reply &reply) override
    {
        m_request.method = request.method();
        m_request.path = request.url();
        m_request.query = request.qparams();
        for (const auto &field : request.header()) {
            std::string name = field.first;
            if (!name.empty() && name.back() == ':')
                name.pop_back();
            m_request.headers.add(std::move(name), field.second);
        }
        const HttpResponse response = m_handler.handle(m_request, m_callerSocket);
        reply.httpReturn(static_cast<unsigned>(response.status), httpStatusText(response.status));
        for (const HttpHeader &field : response.headers.fields())
            reply.setHeader(field.name.c_str(), field.value.c_str());
        out << response.body;
    }

private:
    HttpHandler &m_handler;
    const std::size_t m_bodyBytesMax;
    HttpRequest m_request;
    int m_callerSocket = -1;
};

/** Makes responders for the handler. */
class HandlerService final : public cxxtools::http::Service
{
public:
    HandlerService(HttpHandler &handler, std::size_t bodyBytesMax)
        : m_handler(handler), m_bodyBytesMax(bodyBytesMax)
    {}

protected:
    cxxtools::http::Responder *createResponder(const cxxtools::http::Request &) override
    {
        return new HandlerResponder(*this, m_handler, m_bodyBytesMax);
    }

    void releaseResponder(cxxtools::http::Responder *responder) override { delete responder; }

private:
    HttpHandler &m_handler;
    const std::size_t m_bodyBytesMax;
};

bool listensOn(int descriptor, const Endpoint &endpoint)
{
    int listening = 0;
    socklen_t size = sizeof listening;
    if (getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0 || listening == 0)
        return false;
    sockaddr_in address{};
    size = sizeof address;
    if (getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return false;
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    return address.sin_family == AF_INET && ntohs(address.sin_port) == endpoint.port
           && endpoint.ip == text;
}

/** The library listens with a short backlog, and a connect burst then loses SYNs for a second. */
void deepenBacklog(const Endpoint &endpoint)
{
    for (int descriptor = 0; descriptor < SOCKETS_SEARCHED; descriptor++) {
        if (listensOn(descriptor, endpoint))
            ::listen(descriptor, LISTEN_BACKLOG);
    }
}

} // namespace

/** The library's parts, in the order in which they must be destroyed. */
struct HttpServer::Impl
{
    Impl(HttpHandler &handler, const HttpServerOptions &options)
        : service(handler, options.bodyBytesMax), server(loop)
    {
        server.minThreads(options.threadsMin);
        server.maxThreads(options.threadsMax);
        server.readTimeout(cxxtools::Milliseconds(options.readTimeout.ms));
        server.keepAliveTimeout(cxxtools::Milliseconds(options.keepAlive.ms));
        server.addService(cxxtools::Regex("."), service);
    }

    cxxtools::EventLoop loop;
    HandlerService service;
    cxxtools::http::Server server;
    std::thread thread;
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Result<std::unique_ptr<HttpServer>>
HttpServer::start(const Endpoint &endpoint, HttpHandler &handler, const HttpServerOptions &options)
{
    try {
        auto impl = std::make_unique<Impl>(handler, options);
        impl->server.listen(endpoint.ip, endpoint.port);
        deepenBacklog(endpoint);
        cxxtools::EventLoop &loop = impl->loop;
        impl->thread = std::thread([&loop] { loop.run(); });
        return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
    } catch (const std::exception &error) {
        return fail(ResultCode::ListenFailed, error.what(), formatEndpoint(endpoint));
    }
}

HttpServer::~HttpServer()
{
    m_impl->loop.exit();
    if (m_impl->thread.joinable())
        m_impl->thread.join();
}

} // namespace cornelwell
