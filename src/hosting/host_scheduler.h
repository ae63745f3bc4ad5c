/** @file host_scheduler.h Which server is beside this daemon, and which calls it gets: the
 * decision. */
#pragma once

#include "hosting/hosting_type.h"

#include <map>
#include <set>
#include <unordered_map>

namespace cornelwell {

/** Sizes of the gate. */
struct HostSchedulerOptions
{
    std::size_t queueMax = 256;    ///< Calls that wait.
    double firstWorkMs = 200;      ///< Time of a request until one was measured.
    Duration retryAfterMin = {60}; ///< Shortest advice.
    Duration lateWait = {150};     ///< Longest wait of a call that came back after its goal.
};

/** Events in, decisions out; no input and output. It alone knows the truth about its server. */
class HostScheduler
{
public:
    explicit HostScheduler(HostSchedulerOptions options) : m_options(options) {}

    /**
     * The server beside this daemon reports.
     * @return decisions about waiting calls; none for a report that is older than what is known.
     */
    HostDecisions handleReport(const ServerReport &report, TimePoint now);
    /** A server says that it is gone; nothing is handed to it from now on. */
    HostDecisions handleDeregistration(const std::string &instance, std::int64_t born,
                                       TimePoint now);
    /** The server does not accept connections. */
    HostDecisions handleServerDown(TimePoint now);
    /** Another server than the known one answered. */
    HostDecisions handleInstanceChanged(TimePoint now);
    /** The daemon is about to stop: nothing new is taken. */
    HostDecisions beginShutdown(TimePoint now);

    /** A call arrives; no decision means that it waits. */
    HostDecisions submit(HostCall call, TimePoint now);
    /** A call that was handed over ended. @param work Time at the server. */
    HostDecisions complete(HostCallId id, HostFinish how, Duration work, TimePoint now);
    /** A waiting call is given up. @return true when it was waiting. */
    bool cancelQueued(HostCallId id);
    /** Time passes: refuses what can no longer end in time. */
    HostDecisions tick(TimePoint now);

    /** @return what peers are told. */
    HostLoad load(TimePoint now) const;
    /** @return the server's identity; empty when none is known. */
    const std::string &instance() const { return m_server.instance; }
    /** @return the server's address. */
    const Endpoint &address() const { return m_server.address; }
    /** @return calls that wait. */
    std::size_t queued() const { return m_queue.size(); }
    /** @return when the call was started that has been at the server for longest. */
    TimePoint oldestStart() const;
    /** @return calls at the server. */
    std::size_t running() const { return m_running.size(); }

private:
    using QueueKey = std::pair<unsigned, HostCallId>;

    /** A server that left. */
    struct Gone
    {
        std::int64_t born = 0; ///< Its start; 0 when the leave did not tell.
        TimePoint until{0};    ///< Late reports of it are refused until then.
    };

    bool isNewer(const ServerReport &report, TimePoint now) const;
    HostDecisions refuseAll(HostReason reason);
    HostDecisions startWaiting(TimePoint now);
    double workMs(const std::string &route) const;
    Duration waitFor(unsigned rank, TimePoint now) const;
    double meanMs(TimePoint now) const;
    std::map<QueueKey, HostCall>::iterator nextWaiting(TimePoint now);
    HostReason refusal(HostCall &call, TimePoint now) const;
    HostDecision refuse(HostCallId id, HostReason reason, Duration wait) const;

    const HostSchedulerOptions m_options;
    ServerReport m_server;
    HostState m_state = HostState::None;
    bool m_leaving = false;
    TimePoint m_coldUntil{0};
    std::map<std::string, Gone> m_gone; ///< Servers that left.
    std::map<QueueKey, HostCall> m_queue;
    std::unordered_map<HostCallId, HostCall> m_running;
    std::int64_t m_startedSum = 0; ///< Sum of the times at which running calls were started.
    std::unordered_map<std::string, double> m_workMs; ///< Mean time by route.
    double m_meanMs = 0;
    double m_failShare = 0;
};

} // namespace cornelwell
