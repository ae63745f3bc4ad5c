/** @file hosting_type.h Types of the calls that a daemon passes to its local server. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"
#include "fleet/fleet_type.h"
#include "hosting/server_advisory.h"
#include "http/http_type.h"
#include "retry/retry_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelwell {

/** Identifies a call at the hosting daemon; unique within the process. */
using HostCallId = std::uint64_t;

/** Why a call was refused or failed. */
enum class HostReason : std::uint8_t
{
    None,            ///< The server answered the call.
    Full,            ///< The queue is full or the expected wait exceeds the call's time limits.
    Busier,          ///< The expected wait exceeds HostCall::queueWaitMax.
    TooLate,         ///< Too little time is left before the call's deadline.
    NoServer,        ///< The daemon has no local server that is ready.
    ServerDraining,  ///< The local server drains or has deregistered.
    DaemonLeaving,   ///< The daemon is shutting down.
    ServerShed,      ///< The server rejected the request without running it.
    InstanceChanged, ///< Another server instance than the expected one uses the address.
    ConnectFailed,   ///< The server did not accept a connection.
    Broken,          ///< The connection failed after the request was sent.
    Garbled,         ///< The server sent bytes that are not a valid answer to this request.
    LinkLost,        ///< The link between the two daemons failed.
    Cancelled,       ///< The sender cancelled the call; the caller may have disconnected.
    Quarantined,     ///< Requests with this fingerprint crashed servers.
    Forgotten,       ///< The hosting daemon has no record of the call.
    RouteUnusable,   ///< The daemon does not understand the route.
    UnknownKey,      ///< The request has no key of a tenant.
    Undecided,       ///< A newer version may know the key of the request.
    Unconfirmed,     ///< The daemon cannot tell whether the key was revoked.
    Count,           ///< Number of reasons; not a reason.
};

/** @return the name of the reason, for logs and metrics. */
const char *hostReasonName(HostReason reason);

/** State of a server, as the server itself reports it. */
struct ServerReport
{
    std::string instance;         ///< Identity of the server process.
    ServiceName service;          ///< Service that the server runs.
    Endpoint address;             ///< Where the server listens.
    unsigned slots = 0;           ///< Requests that the server runs concurrently.
    bool draining = false;        ///< The server accepts no new requests.
    Duration warmUpLeft;          ///< Time for which the server is still slow after its start.
    std::uint64_t sequence = 0;   ///< Increases with each report of one server process.
    std::int64_t startTimeMs = 0; ///< Start of the server process, in milliseconds of Unix time.
    std::string version;          ///< Software version; empty: the server states none.
};

/** Notice of a server, or of another writer on its behalf: a report or a deregistration. */
struct ServerNotice
{
    ServerReport report;           ///< The report; a deregistration sets instance and startTimeMs.
    bool isDeregistration = false; ///< The server is about to stop.
};

/** A call that a daemon submits to the HostScheduler of the hosting daemon. */
struct HostCall
{
    HostCallId id = 0;           ///< Identifies the call.
    std::string route;           ///< Name of the route; processing time is measured by route.
    unsigned rank = 0;           ///< Calls with a lower rank start first.
    std::string tenant;          ///< Tenant that the call is charged to; empty: none.
    TimePoint deadline;          ///< The caller discards an answer after this time.
    TimePoint softDeadline;      ///< An answer after this time is worth less to the caller.
    std::string instance;        ///< Server instance that the sender chose; empty accepts any.
    bool isRetry = false;        ///< An earlier attempt was refused or has failed.
    bool overLink = false;       ///< The answer leaves over the VM's network link.
    std::uint64_t bulkBytes = 0; ///< Expected size of a large answer over the link, else 0.
    TimePoint started{0};        ///< When the call was passed to the server.
    std::int64_t serverStartTimeMs = 0; ///< Start of that server, as in ServerReport.
    unsigned runningAtStart = 0;        ///< Calls at the server then, this one included.
    Duration queueWaitMax{-1}; ///< With a longer wait another server is better; below 0: no bound.
    /** Its body was transferred after an admission; a shutdown that began since does not refuse it.
     */
    bool bodyTransferred = false;
};

/** Result of a call at the hosting daemon. */
struct HostOutcome
{
    RunState state = RunState::NotRun;    ///< Whether the request was run.
    HostReason reason = HostReason::None; ///< Why there is no answer of the server.
    bool sentToServer = false;            ///< The request reached a server, or may have.
    HttpResponse response;                ///< The server's answer; set when state is Answered.
    Duration retryAfter;                  ///< Advised wait before a retry.
    Duration processingTime;              ///< Time from sending the request to its end.
    bool nestedFailure = false; ///< A failed call that the server made explains the failure.
    /** What the server says of itself; nothing unless the registered server sent an answer. */
    std::optional<Result<ServerAdvisory>> advisory;
};

/** What the hosting daemon does with a call. */
enum class HostVerdict : std::uint8_t
{
    Start,  ///< Send the call to the server.
    Refuse, ///< Refuse the call; it was not run and will not be.
};

/** Decision of the HostScheduler about one call. */
struct HostDecision
{
    HostCallId id = 0;                         ///< The call.
    HostVerdict verdict = HostVerdict::Refuse; ///< What to do with the call.
    HostReason reason = HostReason::None;      ///< Why the call is refused.
    Duration retryAfter;                       ///< Advised wait before a retry.
};
using HostDecisions = std::vector<HostDecision>;

/** How a call that was sent to the server ended. */
enum class HostFinish : std::uint8_t
{
    Served,    ///< The server answered with a status below 500.
    Failed,    ///< The server answered with a status of 500 or above.
    Shed,      ///< The server rejected the request without running it.
    Broken,    ///< The server gave no valid answer.
    Cancelled, ///< The daemon aborted the request.
};

} // namespace cornelwell
