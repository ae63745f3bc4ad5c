/** @file fleet.cpp Settings, processes and look-ups of a fleet. */
#include "fleet.h"

#include "base/clock.h"
#include "base/endpoint_func.h"
#include "http/http_client.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

extern char **environ;

namespace cornelwell {

namespace {

constexpr std::chrono::milliseconds POLL(50); ///< Pause between looks at processes.
constexpr Duration FETCH_TIMEOUT = {4000};    ///< Longest wait for an answer.
constexpr double KILOBYTES_PER_MEGABYTE = 1024.0;
constexpr unsigned SERVERS_PER_NET = 200; ///< Servers under one third number of the address.

std::string ownFolder()
{
    char path[4096];
    const ssize_t size = ::readlink("/proc/self/exe", path, sizeof path);
    const std::string whole(path, size > 0 ? static_cast<std::size_t>(size) : 0);
    return whole.substr(0, whole.rfind('/'));
}

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

Fleet::Fleet(unsigned net) : m_net(net), m_binaries(ownFolder())
{
    char folder[] = "/tmp/cornelwell-bench-XXXXXX";
    m_folder = ::mkdtemp(folder) != nullptr ? folder : "/tmp";
}

Fleet::~Fleet()
{
    for (Server &server : m_servers) {
        end(server.daemon, SIGKILL);
        end(server.backend, SIGKILL);
    }
    end(m_platform, SIGKILL);
}

pid_t Fleet::spawn(const std::vector<std::string> &words, const std::string &log)
{
    std::vector<char *> argv;
    argv.reserve(words.size() + 1);
    for (const std::string &word : words)
        argv.push_back(const_cast<char *>(word.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string path = m_folder + "/" + log + ".log";
    posix_spawn_file_actions_addopen(&actions, 1, path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t pid = -1;
    if (posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ) != 0)
        pid = -1;
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

void Fleet::end(pid_t &pid, int signal)
{
    if (pid <= 0)
        return;
    ::kill(pid, signal);
    if (signal != SIGKILL)
        return;
    ::waitpid(pid, nullptr, 0);
    pid = -1;
}

void Fleet::startPlatform()
{
    m_platform = spawn(
        {m_binaries + "/cornelwell-standin", "platform", "--listen", formatEndpoint(platform())},
        "platform");
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
    std::ofstream file(m_folder + "/" + id(index) + ".json");
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
    m_servers[server].daemon = spawn(
        {m_binaries + "/cornelwell", "daemon", "--settings", m_folder + "/" + id(server) + ".json"},
        id(server));
}

void Fleet::startBackend(std::size_t server)
{
    const ServerPlan &plan = m_servers[server].plan;
    m_servers[server].backend
        = spawn({m_binaries + "/cornelwell-standin", "backend", "--listen",
                 formatEndpoint(backend(server)), "--id", id(server), "--slots",
                 std::to_string(plan.slots), "--work-ms", std::to_string(plan.workMs)},
                id(server) + "-backend");
}

void Fleet::signalDaemon(std::size_t server, int signal)
{
    end(m_servers[server].daemon, signal);
}

void Fleet::signalBackend(std::size_t server, int signal)
{
    end(m_servers[server].backend, signal);
}

int Fleet::waitDaemon(std::size_t server, double seconds)
{
    const double until = secondsNow() + seconds;
    int status = 0;
    while (secondsNow() < until) {
        if (::waitpid(m_servers[server].daemon, &status, WNOHANG) > 0) {
            m_servers[server].daemon = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
        }
        std::this_thread::sleep_for(POLL);
    }
    return -1;
}

bool Fleet::reviveBackend(std::size_t server)
{
    int status = 0;
    const pid_t pid = m_servers[server].backend;
    if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == 0)
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
    const std::string folder = "/proc/" + std::to_string(m_servers[server].daemon);
    ProcessUsage usage;
    std::ifstream stat(folder + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(std::min(text.rfind(')') + 2, text.size())));
    std::string word;
    constexpr int USER_TIME_FIELD = 12; // After the name: state is field 1.
    for (int i = 1; i < USER_TIME_FIELD; i++)
        fields >> word;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.cpuSeconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream status(folder + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            usage.rssMegabytes = std::strtod(line.c_str() + 6, nullptr) / KILOBYTES_PER_MEGABYTE;
    }
    return usage;
}

} // namespace cornelwell
