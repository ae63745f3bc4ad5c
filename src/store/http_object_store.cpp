/** @file http_object_store.cpp Maps the object API's HTTP answers to results. */
#include "store/http_object_store.h"

#include "base/endpoint_func.h"

#include <charconv>

namespace cornelwell {

namespace {

constexpr std::size_t IDLE_CONNECTIONS = 4;           ///< Connections kept to the platform.
constexpr std::size_t OBJECT_BYTES_MAX = 1100 * 1024; ///< Longest object that is read.

std::string quoted(ObjectVersion version)
{
    return "\"" + std::to_string(version) + "\"";
}

Result<ObjectVersion> versionOf(const HttpResponse &response)
{
    const std::string_view tag = response.headers.get("ETag");
    ObjectVersion version = 0;
    if (tag.size() < 3 || tag.front() != '"')
        return fail(ResultCode::PlatformProtocol, "an answer without ETag");
    const char *end = tag.data() + tag.size() - 1;
    const auto parsed = std::from_chars(tag.data() + 1, end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end || version == 0)
        return fail(ResultCode::PlatformProtocol, "an ETag that is no version");
    return version;
}

HttpRequest requestFor(const char *method, const std::string &name)
{
    HttpRequest request;
    request.method = method;
    request.path = "/objects/" + name;
    return request;
}

/** Error of an answer that is not a success; null code when it is one. */
ResultCode codeOf(int status)
{
    switch (status) {
    case 200:
    case 201:
    case 304:
        return ResultCode::Ok;
    case 404:
        return ResultCode::PlatformNotFound;
    case 412:
        return ResultCode::PlatformRefused;
    case 429:
        return ResultCode::PlatformThrottled;
    case 503:
        return ResultCode::PlatformNotExecuted;
    case 500:
    case 502:
    case 504:
        return ResultCode::PlatformUnknown;
    default:
        return ResultCode::PlatformProtocol;
    }
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpObjectStoreOptions options, const Clock &clock)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_client(clock, IDLE_CONNECTIONS, m_options.cuts)
{}

Result<HttpResponse> HttpObjectStore::call(const HttpRequest &request, Duration wait)
{
    std::string detail = "no address";
    const std::size_t first = m_current.load();
    for (std::size_t i = 0; i < m_options.addresses.size(); i++) {
        const std::size_t index = (first + i) % m_options.addresses.size();
        const Endpoint &server = m_options.addresses[index];
        HttpBounds bounds;
        bounds.deadline = m_clock.now() + m_options.timeout + wait;
        bounds.connectMax = m_options.timeout;
        bounds.callerSocket = m_options.cancelSocket;
        bounds.bodyBytesMax = OBJECT_BYTES_MAX;
        HttpOutcome outcome = m_client.execute(server, request, bounds);
        detail = formatEndpoint(server) + ": " + outcome.detail;
        if (outcome.failure == HttpFailure::NotSent)
            continue;
        if (outcome.failure != HttpFailure::None)
            return fail(ResultCode::PlatformUnknown, detail);
        m_current = index;
        const int status = outcome.response.status;
        if (codeOf(status) != ResultCode::Ok)
            return fail(codeOf(status),
                        formatEndpoint(server) + " answered " + std::to_string(status),
                        request.path);
        return std::move(outcome.response);
    }
    return fail(ResultCode::PlatformNotExecuted, detail);
}

Result<StoredObject> HttpObjectStore::read(const std::string &name)
{
    BOOST_OUTCOME_TRY(response, call(requestFor("GET", name), {0}));
    BOOST_OUTCOME_TRY(version, versionOf(response));
    return StoredObject{std::move(response.body), version};
}

Result<ObjectVersion> HttpObjectStore::write(HttpRequest request)
{
    request.headers.add("Content-Type", "application/json");
    BOOST_OUTCOME_TRY(response, call(request, {0}));
    return versionOf(response);
}

Result<ObjectVersion> HttpObjectStore::create(const std::string &name, const std::string &text)
{
    HttpRequest request = requestFor("PUT", name);
    request.headers.add("If-None-Match", "*");
    request.body = text;
    return write(std::move(request));
}

Result<ObjectVersion> HttpObjectStore::update(const std::string &name, const std::string &text,
                                              ObjectVersion version)
{
    HttpRequest request = requestFor("PUT", name);
    request.headers.add("If-Match", quoted(version));
    request.body = text;
    return write(std::move(request));
}

Result<void> HttpObjectStore::remove(const std::string &name, ObjectVersion version)
{
    HttpRequest request = requestFor("DELETE", name);
    request.headers.add("If-Match", quoted(version));
    auto response = call(request, {0});
    if (!response && response.error().code != ResultCode::PlatformNotFound)
        return boost::outcome_v2::failure(response.error());
    return success();
}

Result<std::optional<StoredObject>> HttpObjectStore::watch(const std::string &name,
                                                           ObjectVersion version, Duration wait)
{
    HttpRequest request = requestFor("GET", name);
    request.query = "watch=" + std::to_string(version) + "&wait_ms=" + std::to_string(wait.ms);
    BOOST_OUTCOME_TRY(response, call(request, wait));
    if (response.status == 304)
        return std::optional<StoredObject>();
    BOOST_OUTCOME_TRY(newer, versionOf(response));
    return std::optional<StoredObject>(StoredObject{std::move(response.body), newer});
}

} // namespace cornelwell
