/** @file fleet.h Real processes on loopback: the stand-in platform, daemons, stand-in backend
 * servers. */
#pragma once

#include "processes.h"

#include "base/identifier_type.h"
#include "base/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** One server of the fleet. */
struct ServerPlan
{
    std::string service;            ///< Service of its backend server; empty for none.
    unsigned dataCentre = 1;        ///< Number of its data centre, from 1.
    unsigned slots = 8;             ///< Requests at once.
    unsigned queue = 32;            ///< Requests that wait.
    unsigned index = 0;             ///< Number in its service.
    std::int64_t workMs = 5;        ///< Time of a request.
    std::vector<std::string> calls; ///< Services that it calls.
    bool direct = false;            ///< Watches the platform on its own.
    std::string extra;              ///< More settings, as JSON members with a leading comma.
};

/** Starts, kills and looks at processes; ends those it started, by their ids, when destroyed. */
class Fleet
{
public:
    /** @param net Second number of the loopback addresses, so that two fleets can stand side by
     * side. */
    explicit Fleet(unsigned net);

    /** Starts the stand-in platform with the brief's rates. */
    void startPlatform();

    /** Adds a server. @return its number. */
    std::size_t addServer(const ServerPlan &plan);

    /** Starts the daemon of a server. */
    void startDaemon(std::size_t server);
    /** Starts the backend server of a server. */
    void startBackend(std::size_t server);
    /** Sends a signal to a daemon; after SIGKILL waits for its end. */
    void signalDaemon(std::size_t server, int signal);
    /** Sends a signal to a backend server; after SIGKILL waits for its end. */
    void signalBackend(std::size_t server, int signal);
    /** Waits for a daemon to end by itself. @return its exit status, -1 after the limit. */
    int waitDaemon(std::size_t server, double seconds);
    /** Starts a backend server again when it has ended. @return true when it had. */
    bool reviveBackend(std::size_t server);

    /** Sets faults of the platform by the JSON of its control. */
    void platformControl(const std::string &json);

    /** Waits until all running daemons know the whole fleet and their backend servers are ready. */
    bool waitSettled(double seconds);

    std::size_t size() const { return m_servers.size(); } ///< Number of servers.
    bool daemonRuns(std::size_t server) const; ///< True when its daemon was started and not killed.
    Endpoint platform() const;                 ///< The platform.
    Endpoint call(std::size_t server) const;   ///< Callers' address.
    Endpoint admin(std::size_t server) const;  ///< Admin address.
    Endpoint backend(std::size_t server) const; ///< Address of the backend server.
    std::string id(std::size_t server) const;   ///< Name.
    const ServerPlan &plan(std::size_t server) const
    {
        return m_servers[server].plan;
    }                                             ///< Its plan.
    ProcessUsage usage(std::size_t server) const; ///< Usage of its daemon.

private:
    struct Server
    {
        ServerPlan plan;
        std::string address;
        pid_t daemon = -1;
        pid_t backend = -1;
    };

    std::string settingsOf(std::size_t server) const;

    const unsigned m_net;
    Processes m_processes;
    pid_t m_platform = -1;
    std::vector<Server> m_servers;
};

/** @return body of a GET, or an empty text. */
std::string fetch(const Endpoint &endpoint, const std::string &path);

/** Posts a body. @return true when it was answered with 200. */
bool post(const Endpoint &endpoint, const std::string &path, const std::string &body);

/** Posts a body with one more header. @return the answer when it was 200, else an empty text. */
std::string postWith(const Endpoint &endpoint, const std::string &path, const std::string &body,
                     const std::string &headerName, const std::string &headerValue);

/** @return sum of the values of a metric whose line contains @p label. */
double metricSum(const std::string &text, const std::string &name, const std::string &label);

} // namespace cornelwell
