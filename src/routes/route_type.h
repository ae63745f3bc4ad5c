/** @file route_type.h Routes, services and limits as one version of the routes has them. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"
#include "tenants/tenant_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelwell {

/** A service that receives a weighted share of a route's requests. */
struct WeightedService
{
    ServiceName service; ///< The service.
    unsigned weight = 1; ///< Its share relative to the sum of the weights; 0 for none.

    friend bool operator==(const WeightedService &a, const WeightedService &b)
    {
        return a.service == b.service && a.weight == b.weight;
    }
};

/** How much of a route in the store's document this daemon understands. */
enum class RouteReading : std::uint8_t
{
    Whole,       ///< All of it.
    KindUnknown, ///< All but its kind; it is served as a route that is not idempotent.
    Unusable,    ///< Host and prefix only; its requests are refused and have not run.
    Count,       ///< Number of values; not a value.
};

/** @return the name of the value, for logs. */
const char *routeReadingName(RouteReading reading);

/** How requests for one host and path prefix are routed. */
struct Route
{
    std::string name;                   ///< Name for logs and reports.
    std::string host;                   ///< Host, in lower case and without port.
    std::string prefix;                 ///< Path prefix; begins and ends with a slash.
    bool idempotent = false;            ///< A request may run twice without harm.
    Duration timeout;                   ///< Longest time from a request to its answer.
    Duration latencyTarget;             ///< A later answer is worth less; 0 stands for the timeout.
    unsigned priority = 0;              ///< Priority class; 0 is the highest.
    unsigned attemptsMax = 1;           ///< Upper limit of servers that one request is sent to.
    std::vector<WeightedService> split; ///< Services that share the requests; at least one.
    RouteReading reading = RouteReading::Whole; ///< What this daemon understands of the route.
    bool isPublic = false; ///< Its requests need no key, also when the version has tenants.

    friend bool operator==(const Route &a, const Route &b)
    {
        return a.name == b.name && a.host == b.host && a.prefix == b.prefix
               && a.idempotent == b.idempotent && a.timeout == b.timeout
               && a.latencyTarget == b.latencyTarget && a.priority == b.priority
               && a.attemptsMax == b.attemptsMax && a.split == b.split && a.reading == b.reading
               && a.isPublic == b.isPublic;
    }
};

/** A service that routes may refer to. */
struct RouteService
{
    ServiceName name;            ///< Name of the service.
    unsigned connectionsMax = 0; ///< Connections that one server accepts; 0 when unknown.
};

/** Limits for requests and connections of callers. */
struct TrafficLimits
{
    std::size_t headerBytes = 16384;            ///< Longest request line with header fields.
    std::size_t bodyBytes = 64UL * 1024 * 1024; ///< Longest request body.
    Duration headerTimeout = seconds(5);        ///< Longest time from first byte to header end.
    Duration idleTimeout = seconds(60);         ///< A connection idle for longer is closed.
};

/** The content of one version, as the store has it; not validated yet. */
struct RouteDocument
{
    Revision version = 0;               ///< Number of the version.
    std::vector<Route> routes;          ///< All routes.
    std::vector<RouteService> services; ///< All services that the routes refer to.
    TrafficLimits limits;               ///< Limits for callers.
    /** All tenants. Empty when requests need no key; a list without tenants admits no key. */
    std::optional<std::vector<Tenant>> tenants;
};

} // namespace cornelwell
