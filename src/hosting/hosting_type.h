/** @file hosting_type.h Calls at the daemon beside the server that is to run them. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"
#include "fleet/fleet_type.h"
#include "http/http_type.h"
#include "retry/retry_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** Number of a call at the hosting daemon, unique within the process. */
using HostCallId = std::uint64_t;

/** Why a call ended as it did. */
enum class HostReason : std::uint8_t
{
    None,            ///< It was answered by the server.
    Full,            ///< It would wait too long.
    Busier,          ///< It would wait longer than the sender allows for this server.
    TooLate,         ///< It cannot end before its deadline.
    NoServer,        ///< No server is ready beside the daemon.
    ServerDraining,  ///< The server is leaving.
    DaemonLeaving,   ///< The daemon is about to stop.
    ServerShed,      ///< The server refused without running.
    InstanceChanged, ///< Another server has the address.
    ConnectFailed,   ///< The server could not be reached.
    Broken,          ///< The connection broke after the request was sent.
    Garbled,         ///< The server's bytes were no answer to this request.
    LinkLost,        ///< The link between the daemons broke.
    Cancelled,       ///< The caller left.
    Quarantined,     ///< Requests like this one crashed servers.
    Forgotten,       ///< The daemon does not know the call.
    Count,           ///< Number of reasons; not a reason.
};

/** @return the name of the reason, for logs and metrics. */
const char *hostReasonName(HostReason reason);

/** What a server says of itself. */
struct ServerReport
{
    std::string instance;         ///< Identity.
    ServiceName service;          ///< Its service.
    Endpoint address;             ///< Where it listens.
    unsigned slots = 0;           ///< Requests that it runs at once.
    bool draining = false;        ///< It leaves.
    Duration warmUpLeft;          ///< How much longer it is slow.
    std::uint64_t sequence = 0;   ///< Grows with each report of one start.
    std::int64_t startTimeMs = 0; ///< Time of day of its start, in milliseconds.
};

/** What a server or another writer tells: a report, or that a server is gone. */
struct ServerNotice
{
    ServerReport report;           ///< The report; for a leave only the identity counts.
    bool isDeregistration = false; ///< The server is about to end.
};

/** A call as it is offered to the hosting daemon. */
struct HostCall
{
    HostCallId id = 0;      ///< Its number.
    std::string route;      ///< Name of the route; the time that its requests take is learnt.
    unsigned rank = 0;      ///< Lower goes first.
    TimePoint deadline;     ///< The caller waits no longer.
    TimePoint softDeadline; ///< An answer by then is worth most.
    std::string instance;   ///< Server that the sender means; empty for any.
    bool isRetry = false;   ///< It was refused before and has come back.
    TimePoint started{0};   ///< When it was handed to the server.
    Duration waitMax{-1};   ///< With a longer wait another server is better; below 0: any wait.
};

/** How a call ended at the hosting daemon. */
struct HostOutcome
{
    RunState state = RunState::NotRun;    ///< What is known of it.
    HostReason reason = HostReason::None; ///< Why.
    bool sentToServer = false;            ///< A server received it.
    HttpResponse response;                ///< The server's answer, when there is one.
    Duration retryAfter;                  ///< When room is expected.
    Duration work;                        ///< Time at the server.
    bool nestedFailure = false; ///< The server failed since a call of its own had failed before.
};

/** What becomes of a call now. */
enum class HostVerdict : std::uint8_t
{
    Start,  ///< Hand it to the server.
    Refuse, ///< It was not run and will not be.
};

/** A decision about one call. */
struct HostDecision
{
    HostCallId id = 0;                         ///< The call.
    HostVerdict verdict = HostVerdict::Refuse; ///< What becomes of it.
    HostReason reason = HostReason::None;      ///< Why it is refused.
    Duration retryAfter;                       ///< When room is expected.
};
using HostDecisions = std::vector<HostDecision>;

/** How a call that was handed to the server ended. */
enum class HostFinish : std::uint8_t
{
    Served,    ///< Answered, other than by a failure.
    Failed,    ///< Answered by a failure.
    Shed,      ///< Refused by the server without running.
    Broken,    ///< No answer.
    Cancelled, ///< Given up by this side.
};

} // namespace cornelwell
