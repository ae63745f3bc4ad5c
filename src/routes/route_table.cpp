/** @file route_table.cpp Validation of a version and the longest-prefix lookup. */
#include "routes/route_table.h"

#include "base/hash_func.h"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace cornelwell {

namespace {

constexpr std::int64_t TIMEOUT_MAX_MS = 3'600'000; ///< Longest timeout of a route.

constexpr const char *READING_NAMES[] = {"whole", "kind_unknown", "unusable"};
static_assert(std::size(READING_NAMES) == static_cast<std::size_t>(RouteReading::Count),
              "a name for each value");

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string makeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += ' ';
    key += prefix;
    return key;
}

Result<void> validateRoute(const Route &route, const std::string &where)
{
    if (route.host.empty())
        return fail(ResultCode::RouteInvalid, "the route has no host", where);
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
        return fail(ResultCode::RouteInvalid, "the prefix does not begin and end with a slash",
                    where);
    if (route.reading == RouteReading::Unusable)
        return success();
    if (route.timeout.ms <= 0 || route.timeout.ms > TIMEOUT_MAX_MS)
        return fail(ResultCode::RouteInvalid, "the timeout is not above 0 or exceeds one hour",
                    where);
    if (route.split.empty())
        return fail(ResultCode::RouteInvalid, "the route has no service", where);
    const bool hasWeight
        = std::any_of(route.split.begin(), route.split.end(),
                      [](const WeightedService &share) { return share.weight > 0; });
    if (!hasWeight)
        return fail(ResultCode::RouteInvalid, "no service of the route has a weight above 0",
                    where);
    return success();
}

std::uint64_t routeDigest(const Route &route)
{
    std::string text = route.name + ' ' + makeKey(route.host, route.prefix);
    const auto append = [&](std::int64_t number) { text += ' ' + std::to_string(number); };
    append(route.idempotent ? 1 : 0);
    append(route.timeout.ms);
    append(route.latencyTarget.ms);
    append(route.priority);
    append(route.attemptsMax);
    append(static_cast<std::int64_t>(route.reading));
    for (const WeightedService &share : route.split) {
        text += ' ' + share.service.text();
        append(share.weight);
    }
    // Added only when set, so that versions without tenants keep their digest of earlier builds.
    if (route.isPublic)
        text += " public";
    return hash64(text);
}

} // namespace

const char *routeReadingName(RouteReading reading)
{
    return READING_NAMES[static_cast<std::size_t>(reading)];
}

std::string routeKey(const Route &route)
{
    return makeKey(route.host, route.prefix);
}

std::uint64_t RouteTable::digest() const
{
    std::uint64_t sum = m_document.version;
    for (const Route &route : m_document.routes)
        sum += routeDigest(route);
    if (hasTenants())
        sum += hash64("tenants");
    for (const Tenant &tenant : tenants())
        sum += tenantDigest(tenant);
    return sum;
}

Result<RouteTablePtr> RouteTable::build(RouteDocument document)
{
    if (document.version == 0)
        return fail(ResultCode::RouteInvalid, "the document has no version", "/version");
    if (document.limits.headerBytes == 0 || document.limits.idleTimeout.ms <= 0
        || document.limits.headerTimeout.ms <= 0)
        return fail(ResultCode::RouteInvalid, "a limit is not above 0", "/limits");
    std::shared_ptr<RouteTable> table(new RouteTable(std::move(document)));
    for (const RouteService &service : table->m_document.services)
        table->m_services.emplace(service.name.text(), &service);
    BOOST_OUTCOME_TRY(credentials, CredentialIndex::build(table->tenants()));
    table->m_credentials = std::move(credentials);
    for (const Tenant &tenant : table->tenants())
        table->m_tenants.emplace(tenant.name, &tenant);
    for (std::size_t i = 0; i < table->m_document.routes.size(); i++) {
        Route &route = table->m_document.routes[i];
        const std::string where = "/routes/" + std::to_string(i);
        BOOST_OUTCOME_TRY(validateRoute(route, where));
        for (const WeightedService &share : route.split) {
            if (table->service(share.service) == nullptr)
                return fail(ResultCode::RouteDanglingService,
                            "unknown service '" + share.service.text() + "'", where);
        }
        route.host = lowerCase(route.host);
        if (!table->m_byKey.emplace(routeKey(route), &route).second)
            return fail(ResultCode::RouteInvalid, "another route has the same host and prefix",
                        where);
    }
    return RouteTablePtr(std::move(table));
}

const std::vector<Tenant> &RouteTable::tenants() const
{
    static const std::vector<Tenant> NONE;
    return m_document.tenants ? *m_document.tenants : NONE;
}

const Tenant *RouteTable::tenant(const std::string &name) const
{
    const auto found = m_tenants.find(name);
    return found == m_tenants.end() ? nullptr : found->second;
}

const RouteService *RouteTable::service(const ServiceName &name) const
{
    const auto found = m_services.find(name.text());
    return found == m_services.end() ? nullptr : found->second;
}

const Route *RouteTable::match(std::string_view host, std::string_view target) const
{
    const std::string_view path = target.substr(0, target.find('?'));
    const std::string name = lowerCase(host.substr(0, host.find(':')));
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;) {
        const auto found = m_byKey.find(makeKey(name, path.substr(0, end + 1)));
        if (found != m_byKey.end())
            return found->second;
        if (end == 0)
            return nullptr;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

} // namespace cornelwell
