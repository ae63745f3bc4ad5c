/** @file http_server.h HTTP listener on cxxtools: one handler for all paths, bounded bodies. */
#pragma once

#include "base/identifier_type.h"
#include "base/result.h"
#include "http/http_type.h"

#include <cstddef>
#include <memory>

namespace cornelwell {

/** Answers requests; called by many threads at once. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /**
     * Answers one request.
     * @param request The whole request.
     * @param callerSocket Socket of the caller, to notice that it went away.
     * @return the whole answer.
     */
    virtual HttpResponse handle(const HttpRequest &request, int callerSocket) = 0;
};

/** Bounds of a listener. */
struct HttpServerOptions
{
    std::size_t bodyBytesMax = 1024 * 1024; ///< Longest request body.
    unsigned threadsMin = 2;                ///< Threads kept.
    unsigned threadsMax = 200;              ///< Requests handled at once.
    Duration readTimeout = {5000};          ///< Longest pause within a request.
    Duration keepAlive = {30000};           ///< An unused connection is closed after this.
};

/** A listener with threads of its own; stops when destroyed. */
class HttpServer
{
public:
    /**
     * Listens and begins to answer.
     * @param endpoint IP number and port.
     * @param handler Answers; must outlive the server.
     * @param options Bounds.
     * @return the running server, or ListenFailed.
     */
    static Result<std::unique_ptr<HttpServer>> start(const Endpoint &endpoint, HttpHandler &handler,
                                                     const HttpServerOptions &options);

    ~HttpServer();

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace cornelwell
