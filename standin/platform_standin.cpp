/** @file platform_standin.cpp HTTP form of the stand-in platform. */
#include "platform_standin.h"

#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace cornelwell {

namespace {

constexpr std::size_t OBJECT_BYTES_MAX = 1024 * 1024; ///< Largest value that the platform takes.
constexpr const char *OBJECTS = "/objects/";          ///< Prefix of objects.

HttpResponse plain(int status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

HttpResponse objectResponse(const StoredObject &object, bool withText)
{
    HttpResponse response;
    response.headers.add("ETag", "\"" + std::to_string(object.version) + "\"");
    if (withText)
        response.body = object.text;
    return response;
}

/** Version of an If-Match header; 0 when there is none. */
ObjectVersion expectedVersion(const HttpRequest &request)
{
    const std::string tag(request.headers.get("If-Match"));
    return tag.size() < 3 ? 0 : std::strtoull(tag.c_str() + 1, nullptr, 10);
}

void pauseFor(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

HttpResponse PlatformStandin::handle(const HttpRequest &request, int callerSocket)
{
    if (request.path == "/control")
        return control(request);
    if (request.path.rfind(OBJECTS, 0) != 0)
        return plain(404);
    const std::string name = request.path.substr(std::string(OBJECTS).size());
    const bool write = request.method != "GET";
    const bool watch = !queryValue(request.query, "watch").empty();
    pauseFor(m_store.faults().delayMs);
    const ResultCode admitted = m_store.admit(write, watch);
    if (admitted != ResultCode::Ok)
        return plain(admitted == ResultCode::PlatformThrottled ? 429 : 503);
    if (request.method == "GET")
        return readObject(request, name);
    if (request.method == "PUT")
        return writeObject(request, name, callerSocket);
    if (request.method == "DELETE")
        return removeObject(request, name, callerSocket);
    return plain(405);
}

HttpResponse PlatformStandin::readObject(const HttpRequest &request, const std::string &name)
{
    const std::string held = queryValue(request.query, "watch");
    if (held.empty()) {
        const StoredObject object = m_store.read(name);
        return object.version == 0 ? plain(404) : objectResponse(object, true);
    }
    const std::int64_t wait
        = std::strtoll(queryValue(request.query, "wait_ms").c_str(), nullptr, 10);
    const StoredObject object
        = m_store.watch(name, std::strtoull(held.c_str(), nullptr, 10), {wait});
    if (m_store.faults().down)
        return plain(503);
    return object.version == 0 ? plain(304) : objectResponse(object, true);
}

HttpResponse PlatformStandin::writeObject(const HttpRequest &request, const std::string &name,
                                          int callerSocket)
{
    if (request.bodyTooLarge || request.body.size() > OBJECT_BYTES_MAX)
        return plain(413);
    const bool create = request.headers.get("If-None-Match") == "*";
    const ObjectVersion expected = expectedVersion(request);
    if (!create && expected == 0)
        return plain(400);
    const ObjectVersion version = m_store.write(name, request.body, create ? 0 : expected);
    if (version == 0)
        return plain(412);
    return afterWrite(objectResponse({{}, version}, false), callerSocket);
}

HttpResponse PlatformStandin::removeObject(const HttpRequest &request, const std::string &name,
                                           int callerSocket)
{
    if (!m_store.remove(name, expectedVersion(request)))
        return plain(412);
    return afterWrite(plain(200), callerSocket);
}

HttpResponse PlatformStandin::afterWrite(HttpResponse response, int callerSocket)
{
    if (m_store.losesAnswer())
        ::shutdown(callerSocket, SHUT_RDWR);
    return response;
}

HttpResponse PlatformStandin::control(const HttpRequest &request)
{
    if (request.method == "POST") {
        const nlohmann::json wanted = nlohmann::json::parse(request.body, nullptr, false);
        if (!wanted.is_object())
            return plain(400);
        PlatformFaults faults;
        faults.down = wanted.value("down", false);
        faults.delayMs = wanted.value("delay_ms", std::int64_t(0));
        faults.losePerMille = wanted.value("lose_per_mille", 0U);
        faults.stalePerMille = wanted.value("stale_per_mille", 0U);
        PlatformRates rates = m_store.rates();
        rates.reads = wanted.value("reads_per_second", rates.reads);
        rates.writes = wanted.value("writes_per_second", rates.writes);
        m_store.configure(faults, rates);
    }
    const PlatformCounts counts = m_store.counts();
    HttpResponse response;
    response.body = nlohmann::json{{"reads", counts.reads},     {"watches", counts.watches},
                                   {"writes", counts.writes},   {"throttled", counts.throttled},
                                   {"refused", counts.refused}, {"lost", counts.lost}}
                        .dump();
    return response;
}

} // namespace cornelwell
