/** @file fleet.cpp Settings, processes and look-ups of a fleet. */
#include "fleet.h"

#include "base/clock.h"
#include "base/endpoint_func.h"
#include "http/http_client.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

namespace cornelwell {

namespace {

constexpr std::chrono::milliseconds POLL(50); ///< Pause between looks at processes.
constexpr Duration FETCH_TIMEOUT = {4000};    ///< Longest wait for an answer.
constexpr unsigned SERVERS_PER_NET = 200;     ///< Servers under one third number of the address.

double secondsNow()
{
    const SystemClock clock;
    return static_cast<double>(clock.now().ms) / 1000.0;
}

HttpOutcome request(const Endpoint &endpoint, const HttpRequest &request)
{
    const SystemClock clock;
    HttpClient client(clock, 0);
    HttpBounds bounds;
    bounds.deadline = clock.now() + FETCH_TIMEOUT;
    bounds.bodyBytesMax = 64 * 1024 * 1024;
    return client.execute(endpoint, request, bounds);
}

} // namespace

std::string fetch(const Endpoint &endpoint, const std::string &path)
{
    HttpRequest get;
    get.path = path;
    return request(endpoint, get).response.body;
}

std::string postWith(const Endpoint &endpoint, const std::string &path, const std::string &body,
                     const std::string &headerName, const std::string &headerValue)
{
    HttpRequest message;
    message.method = "POST";
    message.path = path;
    message.body = body;
    if (!headerName.empty())
        message.headers.add(headerName, headerValue);
    const HttpOutcome outcome = request(endpoint, message);
    const bool answered = outcome.failure == HttpFailure::None && outcome.response.status == 200;
    return answered ? outcome.response.body : std::string();
}

bool post(const Endpoint &endpoint, const std::string &path, const std::string &body)
{
    return !postWith(endpoint, path, body, "", "").empty();
}

double metricSum(const std::string &text, const std::string &name, const std::string &label)
{
    std::istringstream lines(text);
    std::string line;
    double sum = 0;
    const std::string full = "cornelwell_" + name;
    while (std::getline(lines, line)) {
        const bool named = line.rfind(full + " ", 0) == 0 || line.rfind(full + "{", 0) == 0;
        if (named && line.find(label) != std::string::npos)
            sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
    }
    return sum;
}

Fleet::Fleet(unsigned net) : m_net(net) {}

void Fleet::startPlatform()
{
    m_platform = m_processes.start(
        "cornelwell-standin", {"platform", "--listen", formatEndpoint(platform())}, "platform");
    for (int i = 0; i < 100 && fetch(platform(), "/control").empty(); i++)
        std::this_thread::sleep_for(POLL);
}

std::size_t Fleet::addServer(const ServerPlan &plan)
{
    Server server;
    server.plan = plan;
    const std::size_t index = m_servers.size();
    server.address = "127." + std::to_string(m_net) + "."
                     + std::to_string(1 + index / SERVERS_PER_NET) + "."
                     + std::to_string(1 + index % SERVERS_PER_NET);
    m_servers.push_back(server);
    std::ofstream file(m_processes.folder() + "/" + id(index) + ".json");
    file << settingsOf(index);
    return index;
}

std::string Fleet::id(std::size_t server) const
{
    return "dc-" + std::to_string(m_servers[server].plan.dataCentre) + "-s"
           + std::to_string(server);
}

std::string Fleet::settingsOf(std::size_t index) const
{
    const Server &server = m_servers[index];
    const ServerPlan &plan = server.plan;
    nlohmann::json settings
        = {{"id", id(index)},
           {"region", "bench"},
           {"data_centre", "dc-" + std::to_string(plan.dataCentre)},
           {"address", server.address},
           {"ports", {{"call", 7101}, {"relay", 7102}, {"peer", 7103}, {"admin", 7104}}},
           {"platform",
            {{"addresses", {formatEndpoint(platform())}}, {"direct", plan.direct ? 1 : 0}}},
           {"timeline", {{"events", 20000}}},
           {"experiment", {{"cuts", 1}}}};
    if (!plan.service.empty())
        settings["backend"]
            = {{"service", plan.service}, {"address", formatEndpoint(backend(index))},
               {"slots", plan.slots},     {"queue", plan.queue},
               {"connections", 130},      {"index", plan.index},
               {"warm_up_ms", 1000}};
    for (const std::string &service : plan.calls)
        settings["calls"].push_back(service);
    if (!plan.extra.empty())
        settings.update(nlohmann::json::parse(plan.extra));
    return settings.dump(2);
}

void Fleet::startDaemon(std::size_t server)
{
    m_servers[server].daemon = m_processes.start(
        "cornelwell", {"daemon", "--settings", m_processes.folder() + "/" + id(server) + ".json"},
        id(server));
}

void Fleet::startBackend(std::size_t server)
{
    const ServerPlan &plan = m_servers[server].plan;
    m_servers[server].backend = m_processes.start(
        "cornelwell-standin",
        {"backend", "--listen", formatEndpoint(backend(server)), "--id", id(server), "--slots",
         std::to_string(plan.slots), "--work-ms", std::to_string(plan.workMs)},
        id(server) + "-backend");
}

void Fleet::signalDaemon(std::size_t server, int signal)
{
    m_processes.signal(m_servers[server].daemon, signal);
}

void Fleet::signalBackend(std::size_t server, int signal)
{
    m_processes.signal(m_servers[server].backend, signal);
}

int Fleet::waitDaemon(std::size_t server, double seconds)
{
    return m_processes.wait(m_servers[server].daemon, seconds);
}

bool Fleet::reviveBackend(std::size_t server)
{
    if (!m_processes.ended(m_servers[server].backend))
        return false;
    startBackend(server);
    return true;
}

void Fleet::platformControl(const std::string &json)
{
    post(platform(), "/control", json);
}

bool Fleet::waitSettled(double seconds)
{
    const double until = secondsNow() + seconds;
    while (secondsNow() < until) {
        std::size_t settled = 0;
        std::size_t running = 0;
        for (std::size_t i = 0; i < m_servers.size(); i++) {
            if (!daemonRuns(i))
                continue;
            running++;
            const nlohmann::json status
                = nlohmann::json::parse(fetch(admin(i), "/status"), nullptr, false);
            const bool ready = status.is_object() && status.value("state", "") == "ready";
            if (!ready)
                break;
            settled++;
        }
        bool all = settled == running;
        for (std::size_t i = 0; all && i < m_servers.size(); i++) {
            if (!daemonRuns(i))
                continue;
            const nlohmann::json status
                = nlohmann::json::parse(fetch(admin(i), "/status"), nullptr, false);
            all = status.is_object() && status.value("members_living", std::size_t(0)) == running;
        }
        if (all)
            return true;
        std::this_thread::sleep_for(POLL);
    }
    return false;
}

bool Fleet::daemonRuns(std::size_t server) const
{
    return m_servers[server].daemon > 0;
}

Endpoint Fleet::platform() const
{
    return {"127." + std::to_string(m_net) + ".0.1", 7000};
}

Endpoint Fleet::call(std::size_t server) const
{
    return {m_servers[server].address, 7101};
}

Endpoint Fleet::admin(std::size_t server) const
{
    return {m_servers[server].address, 7104};
}

Endpoint Fleet::backend(std::size_t server) const
{
    return {m_servers[server].address, 8080};
}

ProcessUsage Fleet::usage(std::size_t server) const
{
    return usageOf(m_servers[server].daemon);
}

} // namespace cornelwell
