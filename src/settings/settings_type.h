/** @file settings_type.h The settings of one daemon. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** The TCP ports of a daemon, all on its address. */
struct PortSettings
{
    std::uint16_t call = 0;  ///< HTTP, for callers.
    std::uint16_t relay = 0; ///< HTTP, for calls from other daemons.
    std::uint16_t peer = 0;  ///< WebSocket, for control messages of other daemons.
    std::uint16_t admin = 0; ///< HTTP, for operators: status, metrics, time line.
};

/** How the platform's object API is reached. */
struct PlatformSettings
{
    std::vector<Endpoint> addresses; ///< Tried in turn.
    Duration timeout;                ///< Longest wait for one call.
    Duration watch;                  ///< Longest wait of one watch.
    Duration retryMin;               ///< First pause after a failure.
    Duration retryMax;               ///< Longest pause between tries.
    bool direct = false;             ///< Every daemon watches on its own; for comparison only.
};

/** The backend server on this daemon's VM. */
struct BackendSettings
{
    bool present = false;     ///< False for a daemon that only takes calls in.
    ServiceName service;      ///< The service that it runs.
    Endpoint address;         ///< Where it listens.
    unsigned slots = 0;       ///< Requests that it runs at once.
    unsigned index = 0;       ///< Number in its service, from 1; 0 has no part of voted limits.
    unsigned connections = 0; ///< Connections that it takes.
    unsigned queue = 0;       ///< Requests that wait for a slot.
    Duration warmUp;          ///< From ready to full weight.
    Duration probe;           ///< Pause between health probes.
};

/** Links between daemons. */
struct PeerSettings
{
    unsigned links = 0;    ///< Links that this daemon opens inside its data centre.
    unsigned linksMax = 0; ///< Links that it accepts.
    Duration heartbeat;    ///< Pause between heartbeats on a link.
    Duration silence;      ///< A link silent for this long is closed.
    Duration suspicion;    ///< A suspected server that does not answer is failed after this.
    std::size_t messageBytesMax = 0;   ///< Longest message.
    unsigned messagesPerSecondMax = 0; ///< Messages taken from one link.
};

/** Calls from outside and from other daemons. */
struct CallSettings
{
    std::size_t bodyBytesMax = 0; ///< Longest request or answer body.
    unsigned threadsMax = 0;      ///< Requests handled at once, each of the two listeners.
    Duration patienceMax;         ///< Longest patience that an entry may ask for.
};

/** How the daemon leaves. */
struct DrainSettings
{
    Duration announce; ///< From the announcement to the refusal of new calls.
    Duration limit;    ///< Calls still running after this are given up.
};

/** All settings of one daemon. */
struct Settings
{
    ServerId id;                    ///< Name of the server, the same after a restart.
    std::string region;             ///< Region of the data centre.
    DataCentreId dataCentre;        ///< Data centre of the VM.
    std::string address;            ///< IP number that the daemon listens on.
    PortSettings ports;             ///< Its ports.
    PlatformSettings platform;      ///< The platform's object API.
    BackendSettings backend;        ///< The backend server beside it.
    std::vector<ServiceName> calls; ///< Services that the VM calls in other data centres.
    std::vector<Endpoint> seeds;    ///< Peer addresses to try when the platform is down.
    PeerSettings peer;              ///< Links between daemons.
    CallSettings call;              ///< The call path.
    DrainSettings drain;            ///< Graceful shutdown.
    std::string logLevel;           ///< Least severe level that is written.
    std::size_t timelineEvents = 0; ///< Events kept in memory.
    bool experimentCuts
        = false; ///< The admin address may cut this daemon off; for experiments only.
};

} // namespace cornelwell
