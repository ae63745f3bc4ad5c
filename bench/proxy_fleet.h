/** @file proxy_fleet.h Daemons on the event loop with stand-ins of the users' platform, on
 * loopback.
 */
#pragma once

#include "processes.h"

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <string>
#include <vector>

namespace cornelwell {

/** One VM of the fleet: a daemon and the stand-in server beside it. */
struct ProxyPlan
{
    std::string service; ///< Service of the server.
    std::string zone;    ///< Data centre.
    unsigned slots = 8;  ///< Requests at once.
    Duration work = {5}; ///< Time of a request.
    std::string next;    ///< Service that each run calls; empty for none.
};

/** Starts the store, daemons and servers; ends those it started when destroyed. */
class ProxyFleet
{
public:
    /** @param net Second number of the loopback addresses. */
    explicit ProxyFleet(unsigned net);

    /**
     * Starts everything, with one route for each service: `/NAME/` on host `NAME.bench`.
     * @param plans The VMs.
     * @param goalMs Latency goal of the routes.
     * @param timeoutMs Timeout of the routes.
     * @param seconds Longest wait until each daemon serves.
     * @return false when the fleet does not serve in time.
     */
    bool start(const std::vector<ProxyPlan> &plans, std::int64_t goalMs, std::int64_t timeoutMs,
               double seconds);

    Endpoint calls(std::size_t vm) const;  ///< Callers' address.
    Endpoint server(std::size_t vm) const; ///< The server beside it.
    std::size_t size() const { return m_plans.size(); }
    /** @return times that servers of a service began a request. */
    std::uint64_t runs(const std::string &service) const;
    /** @return usage of a daemon. */
    ProcessUsage usage(std::size_t vm) const;

private:
    std::string name(std::size_t vm) const;
    std::string ip(std::size_t vm) const;
    Endpoint store() const;
    bool configure(std::int64_t goalMs, std::int64_t timeoutMs);
    void startVm(std::size_t vm);
    bool waitReady(double seconds) const;

    const unsigned m_net;
    Processes m_processes;
    std::vector<ProxyPlan> m_plans;
    std::vector<pid_t> m_daemons;
};

} // namespace cornelwell
