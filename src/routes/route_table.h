/** @file route_table.h One validated, immutable version of all routes. */
#pragma once

#include "base/result.h"
#include "routes/route_type.h"
#include "tenants/credential_index.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cornelwell {

class RouteTable;
/** A shared version; immutable once built. */
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/** @return the key of a route, unique within a version: host and prefix. */
std::string routeKey(const Route &route);

/** A version of the routes with the lookup of the route for a request. */
class RouteTable
{
public:
    /**
     * Validates a document and builds its table.
     * @param document The document.
     * @return the table, or RouteInvalid, RouteDanglingService or RouteTenantInvalid with a JSON
     * pointer to the first fault; a faulty document is rejected as a whole.
     */
    static Result<RouteTablePtr> build(RouteDocument document);

    /** @return number of the version. */
    Revision version() const { return m_document.version; }
    /** @return the limits for callers. */
    const TrafficLimits &limits() const { return m_document.limits; }
    /** @return all services. */
    const std::vector<RouteService> &services() const { return m_document.services; }
    /** @return digest of the version number, all routes and tenants, independent of their order. */
    std::uint64_t digest() const;
    /** @return all routes. */
    const std::vector<Route> &routes() const { return m_document.routes; }
    /** @return true when requests to routes that are not public need the key of a tenant. */
    bool hasTenants() const { return m_document.tenants.has_value(); }
    /** @return all tenants; empty when the version has none. */
    const std::vector<Tenant> &tenants() const;
    /** @return the tenant, or null when this version has no tenant of that name. */
    const Tenant *tenant(const std::string &name) const;
    /** @return the tenant that has the key, or null. */
    const Tenant *tenantOfKey(std::string_view key) const { return m_credentials.find(key); }
    /** @return the service, or null when this version has no service of that name. */
    const RouteService *service(const ServiceName &name) const;
    /**
     * Finds the route of the host whose prefix is the longest one that the path starts with.
     * @param host Host field of the request; its case and its port are ignored.
     * @param target Request target: path, with or without a query.
     * @return the route, or null when none matches.
     */
    const Route *match(std::string_view host, std::string_view target) const;

private:
    explicit RouteTable(RouteDocument document) : m_document(std::move(document)) {}

    RouteDocument m_document;
    std::unordered_map<std::string, const Route *> m_byKey; ///< By routeKey().
    std::unordered_map<std::string, const RouteService *> m_services;
    std::unordered_map<std::string, const Tenant *> m_tenants; ///< By name.
    CredentialIndex m_credentials;
};

} // namespace cornelwell
