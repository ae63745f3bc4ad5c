/** @file route_update.cpp Updates by route key; the digest verifies that both sides agree. */
#include "routes/route_update.h"

#include <unordered_map>
#include <unordered_set>

namespace cornelwell {

RouteUpdate makeRouteUpdate(const RouteTable *base, const RouteTable &next)
{
    RouteUpdate update;
    update.version = next.version();
    update.digest = next.digest();
    update.services = next.services();
    update.limits = next.limits();
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
    BOOST_OUTCOME_TRY(table, RouteTable::build(std::move(document)));
    if (table->digest() != update.digest)
        return fail(ResultCode::RouteInvalid, "the updated version differs from the sender's");
    return table;
}

} // namespace cornelwell
