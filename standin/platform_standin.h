/** @file platform_standin.h The stand-in for the platform's object API, over HTTP. */
#pragma once

#include "http/http_server.h"
#include "memory_store.h"

namespace cornelwell {

/** Answers the object API, and `/control` for faults and counts. */
class PlatformStandin final : public HttpHandler
{
public:
    explicit PlatformStandin(MemoryStore &store) : m_store(store) {}

    HttpResponse handle(const HttpRequest &request, int callerSocket) override;

private:
    HttpResponse control(const HttpRequest &request);
    HttpResponse readObject(const HttpRequest &request, const std::string &name);
    HttpResponse writeObject(const HttpRequest &request, const std::string &name, int callerSocket);
    HttpResponse removeObject(const HttpRequest &request, const std::string &name,
                              int callerSocket);
    HttpResponse afterWrite(HttpResponse response, int callerSocket);

    MemoryStore &m_store;
};

} // namespace cornelwell
