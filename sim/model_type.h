/** @file model_type.h A day of a modelled fleet: sizes, disturbances, what was seen. */
#pragma once

#include "base/clock_type.h"
#include "dispatch/dispatcher.h"
#include "hosting/host_scheduler.h"
#include "replication/replication_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** What disturbs a modelled day. */
enum class Disturbance : std::uint8_t
{
    None,        ///< A calm day.
    KillDaemons, ///< A third of the daemons is killed at once and starts again.
    CutCentre,   ///< A data centre is cut off from the others.
    SlowServers, ///< A fifth of the servers takes five times as long.
    CrashServer, ///< Servers end and come back.
    Leave,       ///< Servers leave one after the other, in order, and are replaced.
    Overload,    ///< Twice the calls that the servers can run.
    LoseAnswers, ///< Servers run requests and their answers are lost.
    Freeze,      ///< A quarter of the VMs stands still and wakes again.
    OneWay,      ///< What a quarter of the daemons sends to others is lost; they still hear them.
    Lossy,       ///< One message of ten comes late, as when packets are sent again.
    StoreAway,   ///< The store turns a third of the daemons away.
    StoreDown,   ///< The store answers nobody, and forgets its history.
    Count,       ///< Number of disturbances; not one.
};

/** @return the name of the disturbance, as on the command line. */
const char *disturbanceName(Disturbance disturbance);

/** Sizes of a modelled fleet. */
struct ModelOptions
{
    std::uint64_t seed = 1;        ///< The same seed gives the same day.
    unsigned centres = 3;          ///< Data centres.
    unsigned daemons = 12;         ///< Daemons, each with a server.
    unsigned slots = 9;            ///< Slots of a server.
    double load = 0.6;             ///< Calls offered, as a share of what servers can run.
    Duration length = seconds(20); ///< Length of the day.
    Disturbance disturbance = Disturbance::None; ///< What happens in its middle third.
    DispatchOptions dispatch;                    ///< Policy of the sending daemons.
    HostSchedulerOptions host;                   ///< Policy of the hosting daemons.
    ReplicationOptions replication;              ///< How versions spread.
};

/** What callers, servers and operators saw of a day. */
struct ModelReport
{
    unsigned asked = 0;              ///< Requests, repeats of callers not counted.
    unsigned inGoal = 0;             ///< Served within their goal.
    unsigned late = 0;               ///< Served later.
    unsigned failed = 0;             ///< Not served.
    unsigned repeats = 0;            ///< Arrivals at servers beyond the first of each try.
    unsigned runs = 0;               ///< Arrivals at servers.
    unsigned messages = 0;           ///< Messages between daemons.
    unsigned cross = 0;              ///< Of these, between data centres.
    std::int64_t spreadMs = 0;       ///< Longest time until a version was in force everywhere.
    std::vector<std::string> broken; ///< Promises that were not kept.
};

/** @return what a day gave. */
ModelReport playDay(const ModelOptions &options);

} // namespace cornelwell
