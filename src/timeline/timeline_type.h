/** @file timeline_type.h Typed events of the time line and their names. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"
#include "base/result_code_type.h"

#include <cstdint>
#include <string>

namespace cornelwell {

/** What happened. */
enum class EventKind : std::uint8_t
{
    DaemonStarted,      ///< A daemon listens.
    DaemonDraining,     ///< A daemon announced that it leaves.
    DaemonStopped,      ///< A daemon ended by itself.
    PlatformLost,       ///< The platform no longer answers.
    PlatformBack,       ///< The platform answers again.
    RelayRoleTaken,     ///< This daemon began to watch the platform for its data centre.
    RelayRoleLeft,      ///< Another daemon watches now.
    VersionApplied,     ///< A configuration version came into force.
    VersionRejected,    ///< A configuration version failed its checks.
    SnapshotTaken,      ///< A whole configuration was taken over from a peer or the platform.
    LinkOpened,         ///< A link to a peer is up.
    LinkClosed,         ///< A link to a peer is down.
    MemberJoined,       ///< A server became known.
    MemberSuspected,    ///< A server does not answer.
    MemberFailed,       ///< A suspected server did not answer in time.
    MemberRecovered,    ///< A suspected or failed server answers.
    MemberStateChanged, ///< A server announced warming, ready, draining or gone.
    BackendUp,          ///< The backend server on this VM answers.
    BackendDown,        ///< The backend server on this VM does not answer.
    CallRefused,        ///< A call was not run.
    CallFailed,         ///< A server failed during a call.
    CallUnknown,        ///< The outcome of a call cannot be told.
    CallRetried,        ///< A call was sent to another server.
    CallQuarantined,    ///< A request's fingerprint was quarantined.
    LimitGranted,       ///< A part of a voted limit was taken over.
    LimitLapsed,        ///< A part of a voted limit lapsed.
    LeaseTaken,         ///< A lease was acquired.
    LeaseLost,          ///< A lease lapsed or was lost.
    Count,              ///< Number of kinds; not an event.
};

/** Order of events over processes with skewed clocks: milliseconds, then a counter. */
struct EventStamp
{
    std::int64_t ms = 0;       ///< Greatest time of day seen so far.
    std::uint32_t counter = 0; ///< Order of events within one millisecond.

    friend bool operator<(const EventStamp &a, const EventStamp &b)
    {
        return a.ms != b.ms ? a.ms < b.ms : a.counter < b.counter;
    }
};

/** One event. */
struct Event
{
    EventKind kind = EventKind::DaemonStarted; ///< What happened.
    ServerId server;                           ///< Process in which it happened.
    DataCentreId dataCentre;                   ///< Its data centre.
    std::uint64_t incarnation = 0;             ///< Its incarnation.
    std::uint64_t sequence = 0;                ///< Order within the process.
    EventStamp stamp;                          ///< Order over processes.
    TimePoint wall;                            ///< Time of day on the process's clock.
    std::string cause;                         ///< Identifier that links cause and effects.
    std::string subject;                       ///< The entry, server, link or request concerned.
    ResultCode code = ResultCode::Ok;          ///< Numbered cause, Ok when none.
    std::string detail;                        ///< For a person.
};

/** @return the name of @p kind, as in the time line. */
const char *eventKindName(EventKind kind);

} // namespace cornelwell
