/** @file configuration.cpp Builds versions aside and checks them whole. */
#include "catalogue/configuration.h"

#include "base/hash_func.h"
#include "catalogue/entry_func.h"

#include <nlohmann/json.hpp>

#include <set>

namespace cornelwell {

namespace {

constexpr std::size_t ENTRIES_MAX = 5000; ///< Entries of one version.

std::vector<std::string> segmentsOf(std::string_view path)
{
    std::vector<std::string> segments;
    std::size_t at = 1;
    while (at <= path.size()) {
        const std::size_t end = std::min(path.find('/', at), path.size());
        segments.emplace_back(path.substr(at, end - at));
        at = end + 1;
    }
    return segments;
}

/** True when some path matches both patterns. */
bool overlap(const std::vector<std::string> &a, const std::vector<std::string> &b)
{
    for (std::size_t i = 0; i < a.size(); i++) {
        if (a[i] != b[i] && a[i] != "*" && b[i] != "*")
            return false;
    }
    return true;
}

bool matches(const std::vector<std::string> &pattern, const std::vector<std::string> &path)
{
    for (std::size_t i = 0; i < pattern.size(); i++) {
        const bool any = pattern[i] == "*" && !path[i].empty();
        if (!any && pattern[i] != path[i])
            return false;
    }
    return true;
}

Result<void> applyChange(EntryMap &entries, const Change &change)
{
    const EntryName &name = change.entry.name;
    const auto at = entries.find(name);
    if (change.kind == ChangeKind::Propose && at != entries.end())
        return fail(ResultCode::EntryExists, "'" + name.text() + "' is in force", name.text());
    if (change.kind != ChangeKind::Propose && at == entries.end())
        return fail(ResultCode::EntryUnknown, "'" + name.text() + "' is not in force", name.text());
    if (change.kind != ChangeKind::Propose && at->second.revision != change.base)
        return fail(ResultCode::EntryConflict,
                    "'" + name.text() + "' was changed by " + at->second.author + " in version "
                        + std::to_string(at->second.revision) + " (vote " + at->second.vote
                        + "), after version " + std::to_string(change.base)
                        + " that this change starts from",
                    name.text());
    if (change.kind == ChangeKind::Retire)
        entries.erase(at);
    else
        entries[name] = EntryInForce{change.entry, change.revision, change.author, change.vote};
    return success();
}

} // namespace

ConfigurationPtr Configuration::empty()
{
    static const ConfigurationPtr EMPTY = build(0, {}).value();
    return EMPTY;
}

Result<ConfigurationPtr> Configuration::build(Revision revision, EntryMap entries)
{
    if (entries.size() > ENTRIES_MAX)
        return fail(ResultCode::CatalogueFull,
                    "more than " + std::to_string(ENTRIES_MAX) + " entries");
    const std::shared_ptr<Configuration> next(new Configuration);
    next->m_revision = revision;
    next->m_entries = std::move(entries);
    BOOST_OUTCOME_TRY(next->addRoutes());
    BOOST_OUTCOME_TRY(next->checkReferences());
    next->m_digest = next->computeDigest();
    return ConfigurationPtr(next);
}

Result<ConfigurationPtr> Configuration::after(const std::vector<Change> &changes) const
{
    EntryMap entries = m_entries;
    Revision revision = m_revision;
    for (const Change &change : changes) {
        if (change.revision <= revision)
            continue;
        if (change.revision != revision + 1)
            return fail(ResultCode::VersionGap, "version " + std::to_string(change.revision)
                                                    + " does not follow on "
                                                    + std::to_string(revision));
        BOOST_OUTCOME_TRY(applyChange(entries, change));
        revision = change.revision;
    }
    return build(revision, std::move(entries));
}

const EntryInForce *Configuration::find(const EntryName &name) const
{
    const auto at = m_entries.find(name);
    return at == m_entries.end() ? nullptr : &at->second;
}

const EntryInForce *Configuration::match(std::string_view method, std::string_view path) const
{
    if (path.empty() || path.front() != '/')
        return nullptr;
    const std::vector<std::string> segments = segmentsOf(path);
    const auto routes = m_routes.find({std::string(method), segments.size()});
    if (routes == m_routes.end())
        return nullptr;
    for (const Route &route : routes->second) {
        if (matches(route.segments, segments))
            return route.entry;
    }
    return nullptr;
}

Result<void> Configuration::addRoutes()
{
    for (const auto &item : m_entries) {
        const Entry &entry = item.second.entry;
        Route route{segmentsOf(entry.path), &item.second};
        std::vector<Route> &same = m_routes[{entry.method, route.segments.size()}];
        for (const Route &other : same) {
            if (overlap(route.segments, other.segments))
                return fail(ResultCode::EntryAmbiguousRoute,
                            "'" + entry.name.text() + "' and '" + other.entry->entry.name.text()
                                + "' match the same requests",
                            entry.method + " " + entry.path);
        }
        same.push_back(std::move(route));
    }
    return success();
}

Result<void> Configuration::checkReferences() const
{
    std::set<ServiceName> services;
    std::map<ResourceName, EntryName> providers;
    for (const auto &item : m_entries) {
        const Entry &entry = item.second.entry;
        services.insert(entry.service);
        for (const ResourceName &resource : entry.provides) {
            if (!providers.emplace(resource, entry.name).second)
                return fail(ResultCode::EntryDuplicateResource,
                            "'" + entry.name.text() + "' and '" + providers[resource].text()
                                + "' both provide '" + resource.text() + "'",
                            entry.name.text());
        }
    }
    for (const auto &item : m_entries) {
        const Entry &entry = item.second.entry;
        for (const ServiceName &service : entry.onBehalfOf) {
            if (services.count(service) == 0)
                return fail(ResultCode::EntryDanglingService,
                            "'" + entry.name.text() + "' names service '" + service.text()
                                + "', which no entry has",
                            entry.name.text());
        }
        for (const ResourceName &resource : entry.resources) {
            if (providers.count(resource) == 0)
                return fail(ResultCode::EntryDanglingResource,
                            "'" + entry.name.text() + "' needs resource '" + resource.text()
                                + "', which no entry provides",
                            entry.name.text());
        }
    }
    return success();
}

std::uint64_t Configuration::computeDigest() const
{
    std::uint64_t digest = hash64(std::to_string(m_revision));
    for (const auto &item : m_entries)
        digest = hash64(entryInForceToJson(item.second).dump(), digest);
    return digest;
}

} // namespace cornelwell
