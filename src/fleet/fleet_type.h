/** @file fleet_type.h Daemons and their local servers, as daemons describe them to each other. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstdint>
#include <string>

namespace cornelwell {

/** State of the backend server on a daemon's own VM (the local server). */
enum class HostState : std::uint8_t
{
    None,     ///< No server has registered.
    Ready,    ///< The server accepts requests.
    Draining, ///< The server is deregistering and accepts no new requests.
    Down,     ///< The server refuses connections.
    Count,    ///< Number of states; not a state.
};

/** @return the name of the state, for logs. */
const char *hostStateName(HostState state);

/** Load that a daemon reports for its local server. */
struct HostLoad
{
    std::string instance;              ///< Identity of the server's incarnation.
    std::int64_t startTimeMs = 0;      ///< Start of the server in ms of Unix time; 0: unknown.
    ServiceName service;               ///< Service that the server runs.
    HostState state = HostState::None; ///< State of the server.
    unsigned slots = 0;                ///< Requests that the server runs concurrently.
    unsigned running = 0;              ///< Requests sent to the server and not yet finished.
    unsigned queued = 0;               ///< Requests that wait in the daemon's queue.
    double workMs = 0;                 ///< Mean processing time of a request in ms; 0 when unknown.
    double failureRate = 0; ///< Share of recent requests that the server failed, from 0 to 1.
    bool cold = false;      ///< The server started a short while ago and is still slow.
    /** Rate at which large answers leave over the VM's link, in bytes per second; 0: unknown. */
    std::uint64_t linkBytesPerSecond = 0;
    /** Bytes of large answers that wait for the link, or are expected of calls accepted so far. */
    std::uint64_t linkBytesCommitted = 0;
    double requestsPerSecond = 0; ///< Limit that the server has named; 0: none.
    double limitWaitMs = 0;       ///< Time, in ms, until that limit admits one more request.
    /** Bytes of accepted request bodies that have not arrived over the VM's link. */
    std::uint64_t linkInBytesCommitted = 0;
    std::string version; ///< Software version of the server; empty: it states none.
};

/**
 * What a server has said of itself that binds its daemon also after a restart of the daemon. Peers
 * keep it and tell the daemon when they link to it.
 */
struct ServerRestrictions
{
    std::string instance;         ///< Identity of the server's incarnation; empty: nothing known.
    std::int64_t startTimeMs = 0; ///< Start of the server in ms of Unix time; 0: unknown.
    bool leaving = false;         ///< The server drains or has deregistered.
    double requestsPerSecond = 0; ///< Limit that the server has named; 0: none.
};

/** Announcement of a daemon: its identity and where it accepts links. */
struct DaemonRecord
{
    ServerId name;                 ///< Name of the daemon; stays the same after a restart.
    DataCentreId dataCentre;       ///< Data centre of the daemon's VM.
    Endpoint linkEndpoint;         ///< Address on which the daemon accepts links.
    ServiceName service;           ///< Service of the local server.
    std::uint64_t incarnation = 0; ///< Distinguishes restarts; 0 in records from the store.
};

} // namespace cornelwell
