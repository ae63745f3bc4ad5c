/** @file app_standin.cpp Requests, reports, and the planned end of a server. */
#include "app_standin.h"

#include "platform/object_platform.h"

#include "base/endpoint_func.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr Duration REPORT_PAUSE{500};
constexpr Duration REPORT_TIMEOUT{1000};
constexpr const char *REPORT_PATH = "/api/instances/";

const CallFields &fields()
{
    static const ObjectPlatform PLATFORM;
    return PLATFORM.callFields();
}

} // namespace

AppStandin::AppStandin(EventLoop &loop, AppStandinOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_service(loop, [this](const HttpRequest &request,
                             const LoopService::Reply &reply) { handle(request, reply); })
    , m_daemon(loop, m_options.reports)
    , m_born(loop.clock().wallNow().ms)
{}

Result<void> AppStandin::start()
{
    BOOST_OUTCOME_TRY(m_service.listen(m_options.listen));
    report();
    return success();
}

void AppStandin::report()
{
    const Json body = {{"service", m_options.service},
                       {"address", formatEndpoint(m_options.listen)},
                       {"zone", m_options.zone},
                       {"version", "v1"},
                       {"slots", m_options.slots},
                       {"state", m_leaving ? "draining" : "ready"},
                       {"warmup-left-ms", 0},
                       {"sequence", ++m_sequence},
                       {"born", m_born}};
    HttpRequest request;
    request.method = "PUT";
    request.path = REPORT_PATH + m_options.id;
    request.body = body.dump();
    m_daemon.call(request, REPORT_TIMEOUT, [](const Result<HttpResponse> &) {});
    m_loop.after(REPORT_PAUSE, [this] {
        if (!m_leaving)
            report();
    });
}

void AppStandin::leave()
{
    m_leaving = true;
    report();
    m_loop.after(m_options.drain, [this] {
        HttpRequest request;
        request.method = "DELETE";
        request.path = REPORT_PATH + m_options.id;
        m_daemon.call(request, REPORT_TIMEOUT, [this](const Result<HttpResponse> &) {
            m_loop.after(m_options.drain, [this] { m_loop.stop(); });
        });
    });
}

HttpResponse AppStandin::sealed(int status, const std::string &requestId, std::string body) const
{
    HttpResponse response;
    response.status = status;
    response.headers.add(fields().requestId, requestId);
    response.headers.add(fields().seal, "seal-" + m_options.id);
    response.body = std::move(body);
    return response;
}

void AppStandin::handle(const HttpRequest &request, const LoopService::Reply &reply)
{
    if (request.path.rfind("/standin/records", 0) == 0) {
        HttpResponse response;
        response.body = Json{{"runs", m_runs}, {"callers", m_callers}}.dump();
        reply(response);
        return;
    }
    const std::string requestId(request.headers.get(fields().requestId));
    const std::string meant(request.headers.get(fields().instance));
    HttpResponse refusal;
    refusal.headers.add(fields().requestId, requestId);
    if (!meant.empty() && meant != m_options.id) {
        refusal.status = 421;
        reply(refusal);
        return;
    }
    if (m_running >= m_options.slots) {
        refusal.status = 503;
        refusal.headers.add(fields().notRun, "1");
        reply(refusal);
        return;
    }
    run(request, reply);
}

void AppStandin::run(const HttpRequest &request, const LoopService::Reply &reply)
{
    const std::string requestId(request.headers.get(fields().requestId));
    const std::size_t mark = request.path.find('?');
    const std::string query = mark == std::string::npos ? "" : request.path.substr(mark + 1);
    m_runs[requestId]++;
    m_callers[requestId] = std::string(request.headers.get(fields().caller));
    if (!queryValue(query, "cut").empty()) {
        m_service.breakConnection(m_service.current());
        return;
    }
    m_running++;
    const std::string named = queryValue(query, "work");
    const Duration work
        = named.empty() ? m_options.work : Duration{std::strtoll(named.c_str(), nullptr, 10)};
    const bool fails = !queryValue(query, "fail").empty();
    m_loop.after(work, [this, reply, requestId, fails, body = request.path + "\n" + request.body] {
        m_running--;
        reply(sealed(fails ? 500 : 200, requestId, body));
    });
}

} // namespace cornelwell
