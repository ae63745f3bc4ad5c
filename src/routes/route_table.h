/** @file route_table.h One immutable, checked version of all routes. */
#pragma once

#include "base/result.h"
#include "routes/route_type.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cornelwell {

class RouteTable;
/** A version as it is handed round; never changed once built. */
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/** @return what tells routes of one version apart: host and prefix. */
std::string routeKey(const Route &route);

/** Finds the route of a request. */
class RouteTable
{
public:
    /**
     * Checks a document whole.
     * @param document The document.
     * @return the table, or the first fault with its place; nothing of a faulty document is used.
     */
    static Result<RouteTablePtr> build(RouteDocument document);

    /** @return number of the version. */
    Revision version() const { return m_document.version; }
    /** @return limits of what callers may send. */
    const TrafficLimits &limits() const { return m_document.limits; }
    /** @return all services. */
    const std::vector<RouteService> &services() const { return m_document.services; }
    /** @return hash of all routes, whatever their order. */
    std::uint64_t digest() const;
    /** @return all routes. */
    const std::vector<Route> &routes() const { return m_document.routes; }
    /** @return the service, or null when this version does not name it. */
    const RouteService *service(const ServiceName &name) const;
    /**
     * Finds the route with the longest prefix that begins the path.
     * @param host Host field of the request; a port in it does not count.
     * @param target Path, with or without a query.
     * @return the route, or null.
     */
    const Route *match(std::string_view host, std::string_view target) const;

private:
    explicit RouteTable(RouteDocument document) : m_document(std::move(document)) {}

    RouteDocument m_document;
    std::unordered_map<std::string, const Route *> m_byKey; ///< By host and prefix.
    std::unordered_map<std::string, const RouteService *> m_services;
};

} // namespace cornelwell
