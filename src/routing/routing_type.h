/** @file routing_type.h Servers that a call can go to. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstdint>
#include <vector>

namespace cornelwell {

/** A server that runs a service, as the choice sees it. */
struct Target
{
    ServerId id;                   ///< Name of the server.
    std::uint64_t incarnation = 0; ///< Incarnation of its daemon.
    Endpoint relay;                ///< Where its daemon takes calls from other daemons.
    bool local = false;            ///< True in this daemon's own data centre.
    bool suspected = false;        ///< True while it does not answer somebody.
    std::uint32_t slots = 1;       ///< Requests that it runs at once.
    TimePoint readySince{0};       ///< When it was first seen ready.
};

/** Load that came with an answer. */
struct LoadReport
{
    std::uint32_t running = 0; ///< Requests that the server runs.
    std::uint32_t waiting = 0; ///< Requests that wait for a slot.
};

/** How a call to a server ended, as far as the choice is concerned. */
enum class TargetOutcome : std::uint8_t
{
    Answered,    ///< It answered, or refused in order.
    Overloaded,  ///< It refused as overloaded.
    Unreachable, ///< It could not be reached or broke the connection.
};

/** Knobs of the choice. */
struct RoutingOptions
{
    Duration loadAge = {500};        ///< An older load report counts as none.
    Duration slowStart = {2000};     ///< From ready to full weight.
    Duration ejectionBase = {1000};  ///< First ejection; doubles with each in a row.
    Duration ejectionMax = {30000};  ///< Longest ejection.
    unsigned failuresToEject = 3;    ///< Unreachable in a row before an ejection.
    unsigned ejectedPercentMax = 50; ///< No more than this part of a service is ejected.
    double spillLoad = 1.0;          ///< Load of the own data centre from which others are used.
};

} // namespace cornelwell
