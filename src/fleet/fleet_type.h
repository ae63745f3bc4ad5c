/** @file fleet_type.h Daemons, the servers beside them, and what is believed about both. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstdint>
#include <string>

namespace cornelwell {

/** How the server beside a daemon stands. */
enum class HostState : std::uint8_t
{
    None,     ///< None has announced itself.
    Ready,    ///< It takes requests.
    Draining, ///< It leaves: no new requests.
    Down,     ///< It does not accept connections.
    Count,    ///< Number of states; not a state.
};

/** @return the name of the state, for logs. */
const char *hostStateName(HostState state);

/** What a daemon tells about the server beside it. */
struct HostLoad
{
    std::string instance;              ///< Identity of the server's incarnation.
    ServiceName service;               ///< Service that it runs.
    HostState state = HostState::None; ///< How it stands.
    unsigned slots = 0;                ///< Requests that it runs at once.
    unsigned running = 0;              ///< Requests handed to it and not ended.
    unsigned queued = 0;               ///< Requests that wait at its daemon.
    double workMs = 0;                 ///< Mean time of a request at the server; 0 when unknown.
    double failShare = 0;              ///< Share of recent requests that it failed.
    bool cold = false;                 ///< It started a short while ago and is slow.
};

/** A daemon, as it announces itself. */
struct DaemonRecord
{
    ServerId name;                 ///< Its name, the same after a restart.
    DataCentreId dataCentre;       ///< Its data centre.
    Endpoint link;                 ///< Where it accepts links.
    ServiceName service;           ///< Service of the server beside it.
    std::uint64_t incarnation = 0; ///< Distinguishes its starts; 0 when told by others.
};

} // namespace cornelwell
