/** @file link_routes_codec.cpp Routes and tenants of an update, encoded for links. */
#include "link/link_codec_internal.h"

namespace cornelwell::link_json {

namespace {

Json toJson(const Route &route)
{
    Json parts = Json::array();
    for (const WeightedService &part : route.split) {
        parts.push_back(part.service.text());
        parts.push_back(part.weight);
    }
    Json list = {route.name,
                 route.host,
                 route.prefix,
                 route.idempotent,
                 route.timeout.ms,
                 route.latencyTarget.ms,
                 route.priority,
                 route.attemptsMax,
                 parts,
                 static_cast<unsigned>(route.reading)};
    if (route.isPublic)
        list.push_back(true);
    return list;
}

Route routeFromJson(const Json &list)
{
    Route route;
    route.name = list.at(0).get<std::string>();
    route.host = list.at(1).get<std::string>();
    route.prefix = list.at(2).get<std::string>();
    route.idempotent = list.at(3).get<bool>();
    route.timeout = {list.at(4).get<std::int64_t>()};
    route.latencyTarget = {list.at(5).get<std::int64_t>()};
    route.priority = list.at(6).get<unsigned>();
    route.attemptsMax = list.at(7).get<unsigned>();
    const Json &parts = list.at(8);
    for (std::size_t i = 0; i + 1 < parts.size(); i += 2)
        route.split.push_back(
            {ServiceName(parts[i].get<std::string>()), parts[i + 1].get<unsigned>()});
    route.reading = static_cast<RouteReading>(optionalAt(list, 9, 0U)
                                              % static_cast<unsigned>(RouteReading::Count));
    route.isPublic = optionalAt(list, 10, false);
    return route;
}

Json toJson(const Tenant &tenant)
{
    Json keys = Json::array();
    for (const std::string &key : tenant.keys)
        keys.push_back(toBinaryJson(key));
    return {toBinaryJson(tenant.name), keys, tenant.priority, tenant.perSecond, tenant.burst};
}

Tenant tenantFromJson(const Json &list)
{
    Tenant tenant;
    tenant.name = bytesFromJson(list.at(0));
    for (const Json &key : list.at(1))
        tenant.keys.push_back(bytesFromJson(key));
    tenant.priority = list.at(2).get<unsigned>();
    tenant.perSecond = list.at(3).get<unsigned>();
    tenant.burst = list.at(4).get<unsigned>();
    return tenant;
}

} // namespace

void appendUpdate(Json &list, const RouteUpdate &update)
{
    Json routes = Json::array();
    for (const Route &route : update.routes)
        routes.push_back(toJson(route));
    Json services = Json::array();
    for (const RouteService &service : update.services) {
        services.push_back(service.name.text());
        services.push_back(service.connectionsMax);
    }
    const TrafficLimits &limits = update.limits;
    for (Json &field :
         std::vector<Json>{update.version, update.baseVersion, update.digest, routes,
                           update.removedKeys, services, limits.headerBytes, limits.bodyBytes,
                           limits.headerTimeout.ms, limits.idleTimeout.ms})
        list.push_back(std::move(field));
    if (update.tenantsChange == TenantsChange::Unknown)
        return;
    Json tenants = Json::array();
    for (const Tenant &tenant : update.tenants)
        tenants.push_back(toJson(tenant));
    list.push_back(static_cast<unsigned>(update.tenantsChange));
    list.push_back(std::move(tenants));
    list.push_back(update.removedTenants);
}

RouteUpdate updateFromJson(const Json &list)
{
    RouteUpdate update;
    update.version = list.at(1).get<Revision>();
    update.baseVersion = list.at(2).get<Revision>();
    update.digest = list.at(3).get<std::uint64_t>();
    for (const Json &route : list.at(4))
        update.routes.push_back(routeFromJson(route));
    update.removedKeys = list.at(5).get<std::vector<std::string>>();
    const Json &services = list.at(6);
    for (std::size_t i = 0; i + 1 < services.size(); i += 2)
        update.services.push_back(
            {ServiceName(services[i].get<std::string>()), services[i + 1].get<unsigned>()});
    update.limits.headerBytes = list.at(7).get<std::size_t>();
    update.limits.bodyBytes = list.at(8).get<std::size_t>();
    update.limits.headerTimeout = {list.at(9).get<std::int64_t>()};
    update.limits.idleTimeout = {list.at(10).get<std::int64_t>()};
    if (list.size() <= 11)
        return update;
    update.tenantsChange = static_cast<TenantsChange>(
        list.at(11).get<unsigned>() % static_cast<unsigned>(TenantsChange::Count));
    for (const Json &tenant : list.at(12))
        update.tenants.push_back(tenantFromJson(tenant));
    update.removedTenants = list.at(13).get<std::vector<std::string>>();
    return update;
}

} // namespace cornelwell::link_json
