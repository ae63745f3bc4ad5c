/** @file route_update.cpp Updates by route key; the digest verifies that both sides agree. */
#include "routes/route_update.h"

#include <unordered_map>
#include <unordered_set>

namespace cornelwell {

namespace {

/** Sets the tenants of an update. @param base The base version, or null for a whole version. */
void setTenants(RouteUpdate &update, const RouteTable *base, const RouteTable &next)
{
    if (!next.hasTenants()) {
        // Without tenants on either side the update stays as earlier builds send it.
        if (base == nullptr || base->hasTenants())
            update.tenantsChange = TenantsChange::None;
        return;
    }
    if (base == nullptr || !base->hasTenants()) {
        update.tenantsChange = TenantsChange::Whole;
        update.tenants = next.tenants();
        return;
    }
    for (const Tenant &tenant : next.tenants()) {
        const Tenant *before = base->tenant(tenant.name);
        if (before == nullptr || !(*before == tenant))
            update.tenants.push_back(tenant);
    }
    for (const Tenant &tenant : base->tenants()) {
        if (next.tenant(tenant.name) == nullptr)
            update.removedTenants.push_back(tenant.name);
    }
    const bool changed = !update.tenants.empty() || !update.removedTenants.empty();
    update.tenantsChange = changed ? TenantsChange::Changed : TenantsChange::Unchanged;
}

/** @return the tenants of the version that the update leads to. */
Result<std::optional<std::vector<Tenant>>> updatedTenants(const RouteTable *base,
                                                          const RouteUpdate &update)
{
    using Tenants = std::optional<std::vector<Tenant>>;
    const bool baseHasTenants = base != nullptr && base->hasTenants();
    switch (update.tenantsChange) {
    case TenantsChange::None:
        return Tenants();
    case TenantsChange::Whole:
        return Tenants(update.tenants);
    case TenantsChange::Unknown:
        // Without this check a daemon of an earlier build would take the tenants out of force.
        if (baseHasTenants)
            return fail(ResultCode::RouteInvalid,
                        "the update does not say which tenants there are");
        return Tenants();
    default:
        break;
    }
    if (!baseHasTenants || update.baseVersion == 0)
        return fail(ResultCode::RouteInvalid, "the update changes tenants that are not known");
    std::unordered_set<std::string> replaced(update.removedTenants.begin(),
                                             update.removedTenants.end());
    for (const Tenant &tenant : update.tenants)
        replaced.insert(tenant.name);
    std::vector<Tenant> tenants = update.tenants;
    for (const Tenant &tenant : base->tenants()) {
        if (replaced.count(tenant.name) == 0)
            tenants.push_back(tenant);
    }
    return Tenants(std::move(tenants));
}

} // namespace

RouteUpdate makeRouteUpdate(const RouteTable *base, const RouteTable &next)
{
    RouteUpdate update;
    update.version = next.version();
    update.digest = next.digest();
    update.services = next.services();
    update.limits = next.limits();
    setTenants(update, base, next);
    if (base == nullptr) {
        update.routes = next.routes();
        return update;
    }
    update.baseVersion = base->version();
    std::unordered_map<std::string, const Route *> before;
    for (const Route &route : base->routes())
        before.emplace(routeKey(route), &route);
    for (const Route &route : next.routes()) {
        const auto found = before.find(routeKey(route));
        if (found == before.end() || !(*found->second == route))
            update.routes.push_back(route);
        if (found != before.end())
            before.erase(found);
    }
    for (const auto &[key, route] : before)
        update.removedKeys.push_back(key);
    return update;
}

Result<RouteTablePtr> applyRouteUpdate(const RouteTable *base, const RouteUpdate &update)
{
    RouteDocument document;
    document.version = update.version;
    document.services = update.services;
    document.limits = update.limits;
    document.routes = update.routes;
    if (update.baseVersion != 0) {
        if (base == nullptr || base->version() != update.baseVersion)
            return fail(ResultCode::VersionGap, "the update applies to another version");
        std::unordered_set<std::string> replaced(update.removedKeys.begin(),
                                                 update.removedKeys.end());
        for (const Route &route : update.routes)
            replaced.insert(routeKey(route));
        for (const Route &route : base->routes()) {
            if (replaced.count(routeKey(route)) == 0)
                document.routes.push_back(route);
        }
    }
    BOOST_OUTCOME_TRY(tenants, updatedTenants(base, update));
    document.tenants = std::move(tenants);
    BOOST_OUTCOME_TRY(table, RouteTable::build(std::move(document)));
    if (table->digest() != update.digest)
        return fail(ResultCode::RouteInvalid, "the updated version differs from the sender's");
    return table;
}

} // namespace cornelwell
