/** @file route_type.h Routes: what the catalogue's entries become on the daemons that carry calls.
 */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** A service that takes a share of a route's requests. */
struct WeightedService
{
    ServiceName service; ///< The service.
    unsigned weight = 1; ///< Its share, relative to the other parts.

    friend bool operator==(const WeightedService &a, const WeightedService &b)
    {
        return a.service == b.service && a.weight == b.weight;
    }
};

/** How requests of one host and path prefix are carried. */
struct Route
{
    std::string name;                   ///< Name, for people.
    std::string host;                   ///< Host, in lower case and without port.
    std::string prefix;                 ///< Path prefix; begins and ends with a slash.
    bool idempotent = false;            ///< True when running a request twice does no harm.
    Duration timeout;                   ///< Longest time that a request is kept waiting.
    Duration latencyTarget;             ///< Time within which an answer is worth most.
    unsigned priority = 0;              ///< Rank; 0 goes first.
    unsigned attemptsMax = 1;           ///< Servers that one request may be handed to.
    std::vector<WeightedService> split; ///< Services that run it; at least one.

    friend bool operator==(const Route &a, const Route &b)
    {
        return a.name == b.name && a.host == b.host && a.prefix == b.prefix
               && a.idempotent == b.idempotent && a.timeout == b.timeout
               && a.latencyTarget == b.latencyTarget && a.priority == b.priority
               && a.attemptsMax == b.attemptsMax && a.split == b.split;
    }
};

/** A service that routes may name. */
struct RouteService
{
    ServiceName name;            ///< Its name.
    unsigned connectionsMax = 0; ///< Connections that one server takes; 0 when unknown.
};

/** What callers may send, and how long they may take. */
struct TrafficLimits
{
    std::size_t headerBytes = 16384;            ///< Request line and header fields.
    std::size_t bodyBytes = 64UL * 1024 * 1024; ///< Body.
    Duration headerTimeout = seconds(5);        ///< From the first byte to the whole header.
    Duration idleTimeout = seconds(60);         ///< A connection without a request is closed.
};

/** All that one version says. */
struct RouteDocument
{
    Revision version = 0;               ///< Number of the version.
    std::vector<Route> routes;          ///< Routes.
    std::vector<RouteService> services; ///< Services.
    TrafficLimits limits;               ///< Limits.
};

} // namespace cornelwell
