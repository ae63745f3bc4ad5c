/** @file model_type.h Options and report of the fleet simulation. */
#pragma once

#include "base/clock_type.h"
#include "dispatch/dispatcher.h"
#include "hosting/host_scheduler.h"
#include "replication/replication_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** The disruption that a simulation run injects in its middle third. */
enum class Disruption : std::uint8_t
{
    None,              ///< No disruption.
    KillDaemons,       ///< A quarter of the daemons is killed at once and restarts.
    PartitionCentre,   ///< One data centre is cut off from the others and from the store.
    SlowServers,       ///< A quarter of the servers takes five times as long.
    CrashServers,      ///< A quarter of the servers crashes and restarts.
    DeregisterServers, ///< A quarter of the servers drains, deregisters and is replaced, one after
                       ///< another.
    Overload,          ///< Callers send twice the load that the servers can run.
    LoseResponses,     ///< Servers run requests, but a share of their responses is lost.
    FreezeVms,         ///< A quarter of the VMs freezes and resumes.
    LoseSentMessages,  ///< A quarter of the daemons still receives messages, but all that it sends
                       ///< is lost.
    DelayMessages,     ///< One message of ten is delayed, as by packet retransmission.
    StoreThrottles,    ///< The store throttles a third of the daemons.
    StoreUnavailable,  ///< The store does not respond and loses its watch history.
    LimitServers,      ///< Half of the servers names a limit far below its load; the daemons of
                       ///< some of them restart meanwhile, twice.
    LeaveByAnswers, ///< A quarter of the servers, one after another, says only in its answers that
                    ///< it leaves, while its reports are late; its daemon restarts meanwhile.
    Count,          ///< Number of disruptions; not a disruption itself.
};

/** @return the name of the disruption, as used on the command line. */
const char *disruptionName(Disruption disruption);

/** Size, load and policies of a simulated fleet. */
struct ModelOptions
{
    std::uint64_t seed = 1;          ///< Runs with the same seed and options are identical.
    unsigned centres = 3;            ///< Data centres.
    unsigned daemons = 12;           ///< Daemons, each with one local server.
    unsigned slots = 9;              ///< Requests that a server can run at the same time.
    double load = 0.6;               ///< Offered load, as a fraction of the servers' capacity.
    Duration duration = seconds(20); ///< Virtual time during which callers send requests.
    Disruption disruption = Disruption::None; ///< Disruption that starts after a third of the run.
    DispatchOptions dispatch;                 ///< Dispatch policy of each daemon.
    HostSchedulerOptions host;                ///< Scheduling policy of each hosting daemon.
    ReplicationOptions replication;           ///< Route replication policy of each daemon.
};

/** Counters and violations of one simulation run. */
struct ModelReport
{
    unsigned requests = 0;     ///< Requests of callers; a caller's retries are not counted.
    unsigned withinTarget = 0; ///< Requests served within their latency target.
    unsigned late = 0;         ///< Requests served after their latency target.
    unsigned failed = 0;       ///< Requests that were not served.
    unsigned repeatedRuns = 0; ///< Arrivals at servers after the first one of each submission.
    unsigned runs = 0;         ///< All arrivals of requests at servers.
    unsigned messages = 0;     ///< Messages between daemons.
    unsigned crossCentreMessages = 0;  ///< Messages between daemons of different data centres.
    std::int64_t replicationMsMax = 0; ///< Longest time in ms until all daemons that ran at its
                                       ///< publication applied a version.
    std::vector<std::string>
        violations; ///< Invariants that were violated, each with its virtual time in ms.
};

/** Simulates one run. @return its counters and violations. */
ModelReport runModel(const ModelOptions &options);

} // namespace cornelwell
