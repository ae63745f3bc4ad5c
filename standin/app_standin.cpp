/** @file app_standin.cpp Requests, reports, and the planned end of a server. */
#include "app_standin.h"

#include "platform/object_platform.h"

#include "base/endpoint_func.h"
#include "base/hash_func.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr Duration REPORT_PAUSE{500};
constexpr int OK = 200;
constexpr int FAILED = 500;
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
                       {"version", m_options.version},
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
    response.headers.add(fields().signature, "seal-" + m_options.id);
    if (!m_limit.empty())
        response.headers.add(fields().serverLimit, m_limit);
    if (m_answersLeaving)
        response.headers.add(fields().serverLeaving, "1");
    response.body = std::move(body);
    return response;
}

void AppStandin::handle(const HttpRequest &request, const LoopService::Reply &reply)
{
    if (request.path.rfind("/standin/records", 0) == 0) {
        reply(records());
        return;
    }
    if (request.path.rfind("/standin/advisory", 0) == 0) {
        setAdvisory(request.path.substr(request.path.find('?') + 1));
        reply(records());
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

HttpResponse AppStandin::records() const
{
    HttpResponse response;
    response.body
        = Json{{"runs", m_runs}, {"callers", m_callers}, {"arrivals", m_arrivalsMs}}.dump();
    return response;
}

void AppStandin::setAdvisory(const std::string &query)
{
    m_limit = queryValue(query, "limit");
    m_answersLeaving = !queryValue(query, "leaving").empty();
    m_arrivalsMs.clear();
}

/** @return true when the server's version shows its fault on this request. */
bool AppStandin::isBadFor(const HttpRequest &request) const
{
    return m_loop.clock().wallNow().ms - m_born >= m_options.badAfter.ms
           && m_running >= m_options.badRunning && request.path.rfind(m_options.badPath, 0) == 0;
}

void AppStandin::run(const HttpRequest &request, const LoopService::Reply &reply)
{
    const std::string requestId(request.headers.get(fields().requestId));
    const std::size_t mark = request.path.find('?');
    const std::string query = mark == std::string::npos ? "" : request.path.substr(mark + 1);
    m_runs[requestId]++;
    m_arrivalsMs.push_back(m_loop.now().ms);
    m_callers[requestId] = std::string(request.headers.get(fields().caller));
    if (!queryValue(query, "cut").empty()) {
        m_service.breakConnection(m_service.current());
        return;
    }
    m_running++;
    const std::string named = queryValue(query, "work");
    const bool bad = isBadFor(request);
    const Duration work
        = (named.empty() ? m_options.work : Duration{std::strtoll(named.c_str(), nullptr, 10)})
          * (bad ? m_options.slowFactor : 1);
    const bool last = m_options.next.empty();
    const bool failsByVersion = bad && hash64(requestId) % 1000 < m_options.failPerMille;
    const bool fails = failsByVersion || !queryValue(query, "fail").empty()
                       || (last && !queryValue(query, "deepfail").empty());
    m_loop.after(work, [this, reply, requestId, fails, last, request] {
        if (last || fails)
            finish(requestId, fails ? FAILED : OK, request.path + "\n" + request.body, reply);
        else
            callNext(request, reply);
    });
}

void AppStandin::finish(const std::string &requestId, int status, const std::string &body,
                        const LoopService::Reply &reply)
{
    m_running--;
    reply(sealed(status, requestId, body));
}

/** A run of a chain lasts as long as the call that it makes. */
void AppStandin::callNext(const HttpRequest &request, const LoopService::Reply &reply)
{
    const std::string requestId(request.headers.get(fields().requestId));
    const Duration left{
        std::strtoll(std::string(request.headers.get(fields().deadline)).c_str(), nullptr, 10)};
    HttpRequest onwards;
    const std::size_t mark = request.path.find('?');
    onwards.path
        = "/" + m_options.next + "/" + (mark == std::string::npos ? "" : request.path.substr(mark));
    onwards.headers.add("Host", m_options.next + ".bench");
    onwards.headers.add(fields().requestId, requestId + "." + m_options.next);
    onwards.headers.add(fields().deadline, std::to_string(left.ms));
    std::unique_ptr<StoreClient> client;
    if (m_idle.empty()) {
        client = std::make_unique<StoreClient>(m_loop, m_options.calls, m_options.listen.ip);
    } else {
        client = std::move(m_idle.back());
        m_idle.pop_back();
    }
    StoreClient *const calling = client.release();
    calling->call(onwards, left,
                  [this, calling, requestId, reply,
                   body = request.path + "\n" + request.body](const Result<HttpResponse> &answer) {
                      m_idle.emplace_back(calling);
                      const bool good = answer && answer.value().status == OK;
                      finish(requestId, good ? OK : FAILED, body, reply);
                  });
}

} // namespace cornelwell
