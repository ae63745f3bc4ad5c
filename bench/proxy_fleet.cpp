/** @file proxy_fleet.cpp Addresses, start and look-ups of a fleet on the event loop. */
#include "proxy_fleet.h"

#include "standin/platform_words.h"

#include "base/clock.h"
#include "base/endpoint_func.h"
#include "http/http_client.h"

#include <chrono>
#include <fstream>
#include <thread>

namespace cornelwell {

namespace {

constexpr std::chrono::milliseconds POLL(50); ///< Pause between looks at processes.
constexpr Duration CALL_TIMEOUT = {2000};     ///< Longest wait for one answer.
constexpr std::uint16_t CALLS_PORT = 8141;
constexpr std::uint16_t READY_PORT = 8140;
constexpr std::uint16_t REPORTS_PORT = 8146;
constexpr std::uint16_t SERVER_PORT = 8080;
constexpr std::uint16_t STORE_PORT = 7000;
constexpr double SETTLE_SECONDS = 1.5; ///< From readiness of all until they know each other.

HttpResponse exchange(const Endpoint &endpoint, const HttpRequest &request)
{
    const SystemClock clock;
    HttpClient client(clock, 0);
    HttpBounds bounds;
    bounds.deadline = clock.now() + CALL_TIMEOUT;
    const HttpOutcome outcome = client.execute(endpoint, request, bounds);
    HttpResponse response = outcome.response;
    if (outcome.failure != HttpFailure::None)
        response.status = 0;
    return response;
}

HttpResponse get(const Endpoint &endpoint, const std::string &path)
{
    HttpRequest request;
    request.path = path;
    return exchange(endpoint, request);
}

void pauseFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

} // namespace

ProxyFleet::ProxyFleet(unsigned net) : m_net(net) {}

std::string ProxyFleet::name(std::size_t vm) const
{
    return m_plans[vm].service + "-" + std::to_string(vm);
}

std::string ProxyFleet::ip(std::size_t vm) const
{
    return "127." + std::to_string(m_net) + ".1." + std::to_string(vm + 1);
}

Endpoint ProxyFleet::store() const
{
    return {"127." + std::to_string(m_net) + ".0.1", STORE_PORT};
}

Endpoint ProxyFleet::calls(std::size_t vm) const
{
    return {ip(vm), CALLS_PORT};
}

Endpoint ProxyFleet::server(std::size_t vm) const
{
    return {ip(vm), SERVER_PORT};
}

bool ProxyFleet::configure(std::int64_t goalMs, std::int64_t timeoutMs)
{
    std::vector<PlatformRoute> routes;
    for (const ProxyPlan &plan : m_plans) {
        const bool known = !routes.empty() && routes.back().service == plan.service;
        if (!known)
            routes.push_back({plan.service, plan.service, true, goalMs, timeoutMs});
    }
    const auto [target, body] = platformConfiguration(routes);
    HttpRequest request;
    request.method = "POST";
    request.path = target;
    request.body = body;
    for (int i = 0; i < 100; i++) {
        if (exchange(store(), request).status == 200)
            return true;
        std::this_thread::sleep_for(POLL);
    }
    return false;
}

void ProxyFleet::startVm(std::size_t vm)
{
    const ProxyPlan &plan = m_plans[vm];
    PlatformVm words;
    words.name = name(vm);
    words.ip = ip(vm);
    words.zone = plan.zone;
    words.service = plan.service;
    words.calls = calls(vm);
    words.ready = {ip(vm), READY_PORT};
    words.reports = {ip(vm), REPORTS_PORT};
    words.server = server(vm);
    words.store = store();
    const std::string path = m_processes.folder() + "/" + name(vm) + ".json";
    std::ofstream(path) << platformSettings(words).dump();
    m_daemons.push_back(
        m_processes.start("cornelwell", {"proxy"}, name(vm), "CORNELWELL_CONFIG=" + path));
    std::vector<std::string> app = {"app",
                                    "--listen",
                                    formatEndpoint(server(vm)),
                                    "--reports",
                                    formatEndpoint(words.reports),
                                    "--id",
                                    "i-" + name(vm),
                                    "--service",
                                    plan.service,
                                    "--zone",
                                    plan.zone,
                                    "--slots",
                                    std::to_string(plan.slots),
                                    "--work-ms",
                                    std::to_string(plan.work.ms)};
    if (!plan.next.empty()) {
        for (const std::string &word :
             {std::string("--next"), plan.next, std::string("--calls"), formatEndpoint(calls(vm))})
            app.push_back(word);
    }
    m_processes.start("cornelwell-standin", app, "app-" + name(vm));
}

bool ProxyFleet::waitReady(double seconds) const
{
    const SystemClock clock;
    const TimePoint end = clock.now() + Duration{static_cast<std::int64_t>(seconds * 1000)};
    for (std::size_t vm = 0; vm < m_plans.size(); vm++) {
        while (get({ip(vm), READY_PORT}, platformReadyPath()).status != 200) {
            if (clock.now() >= end)
                return false;
            std::this_thread::sleep_for(POLL);
        }
    }
    pauseFor(SETTLE_SECONDS);
    return true;
}

bool ProxyFleet::start(const std::vector<ProxyPlan> &plans, std::int64_t goalMs,
                       std::int64_t timeoutMs, double seconds)
{
    m_plans = plans;
    m_processes.start("cornelwell-standin", {"objects", "--listen", formatEndpoint(store())},
                      "store");
    if (!configure(goalMs, timeoutMs))
        return false;
    for (std::size_t vm = 0; vm < m_plans.size(); vm++)
        startVm(vm);
    return waitReady(seconds);
}

std::uint64_t ProxyFleet::runs(const std::string &service) const
{
    std::uint64_t sum = 0;
    for (std::size_t vm = 0; vm < m_plans.size(); vm++) {
        if (m_plans[vm].service != service)
            continue;
        const auto all
            = nlohmann::json::parse(get(server(vm), "/standin/records").body, nullptr, false);
        if (!all.is_object())
            continue;
        for (const auto &item : all["runs"].items())
            sum += item.value().get<std::uint64_t>();
    }
    return sum;
}

ProcessUsage ProxyFleet::usage(std::size_t vm) const
{
    return usageOf(m_daemons[vm]);
}

} // namespace cornelwell
