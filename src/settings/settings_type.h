/** @file settings_type.h Settings of one daemon. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** TCP ports of a daemon, all on Settings::address. */
struct PortSettings
{
    std::uint16_t call = 0;  ///< HTTP listener for callers.
    std::uint16_t relay = 0; ///< HTTP listener for calls from other daemons.
    std::uint16_t peer = 0;  ///< WebSocket listener for control messages from other daemons.
    std::uint16_t admin = 0; ///< HTTP listener for operators: status, metrics, timeline.
};

/** Access to the platform's object API. */
struct PlatformSettings
{
    std::vector<Endpoint> addresses; ///< Addresses of the API, tried in turn.
    Duration timeout;                ///< Longest time for one call.
    Duration watchTimeout;           ///< Longest time that the platform may hold a watch open.
    Duration retryMin;               ///< Delay before the first retry of a failed call.
    Duration retryMax;               ///< Longest delay between retries.
    bool watchDirectly = false;      ///< Every daemon watches for itself; for comparison only.
};

/** The backend server on this daemon's VM. */
struct BackendSettings
{
    bool present = false;     ///< False without a server; the daemon then only accepts calls.
    ServiceName service;      ///< Service that the server runs.
    Endpoint address;         ///< Address that it listens on.
    unsigned slots = 0;       ///< Requests that it processes concurrently.
    unsigned index = 0;       ///< Number in its service, from 1; 0: no share of voted limits.
    unsigned connections = 0; ///< Connections that it accepts.
    unsigned queue = 0;       ///< Requests that may wait for a slot.
    Duration warmUp;          ///< Time from ready until it has its full weight.
    Duration probeInterval;   ///< Time between health probes.
};

/** Links between daemons. */
struct PeerSettings
{
    unsigned links = 0;              ///< Links that this daemon opens inside its data centre.
    unsigned linksMax = 0;           ///< Links that this daemon accepts.
    Duration heartbeatInterval;      ///< Time between heartbeats on a link.
    Duration silenceTimeout;         ///< A link without a message for this long is closed.
    Duration suspicionTimeout;       ///< A suspected server silent for this long counts as failed.
    std::size_t messageBytesMax = 0; ///< Longest message, in bytes.
    unsigned messagesPerSecondMax = 0; ///< Messages accepted from one link per second.
};

/** Calls from callers and from other daemons. */
struct CallSettings
{
    std::size_t bodyBytesMax = 0; ///< Longest request or answer body, in bytes.
    unsigned threadsMax = 0;      ///< Concurrent requests on each of the two listeners.
    Duration patienceMax;         ///< Upper limit for the patience of an entry.
};

/** Graceful shutdown of the daemon. */
struct DrainSettings
{
    Duration announceTime; ///< Time from the announcement until new calls are refused.
    Duration timeLimit;    ///< Calls that still run after this time are aborted.
};

/** All settings of one daemon. */
struct Settings
{
    ServerId id;                    ///< Name of the server, the same after a restart.
    std::string region;             ///< Region of the data centre.
    DataCentreId dataCentre;        ///< Data centre of the VM.
    std::string address;            ///< IP address that the daemon listens on.
    PortSettings ports;             ///< Ports of its listeners.
    PlatformSettings platform;      ///< Access to the platform's object API.
    BackendSettings backend;        ///< The backend server on the same VM.
    std::vector<ServiceName> calls; ///< Services that the VM calls in other data centres.
    std::vector<Endpoint> seeds;    ///< Peer addresses to try while the platform is down.
    PeerSettings peer;              ///< Links between daemons.
    CallSettings call;              ///< Limits of calls.
    DrainSettings drain;            ///< Graceful shutdown.
    std::string logLevel;           ///< Least severe level that is logged.
    std::size_t timelineEvents = 0; ///< Timeline events kept in memory.
    bool experimentCuts
        = false; ///< The admin listener may cut this daemon off from peers; for experiments only.
};

} // namespace cornelwell
