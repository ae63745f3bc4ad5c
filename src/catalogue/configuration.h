/** @file configuration.h One immutable version of the whole configuration. */
#pragma once

#include "base/result.h"
#include "catalogue/entry_type.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cornelwell {

class Configuration;

/** A version as it is handed round; never changed once built. */
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/** Entries by name. */
using EntryMap = std::map<EntryName, EntryInForce>;

/** One version of the configuration: every entry, and the routes made of them. */
class Configuration
{
public:
    /** @return the empty version 0. */
    static ConfigurationPtr empty();

    /**
     * Builds and checks a version: no ambiguous route, no service or resource missing.
     * @param revision Number of the version.
     * @param entries All entries.
     * @return the version, or the first thing wrong with it.
     */
    static Result<ConfigurationPtr> build(Revision revision, EntryMap entries);

    /**
     * Builds the version that follows after some changes.
     * @param changes Changes in order; those that this version has are left out.
     * @return the next version, this one when there is nothing new, VersionGap when one is missing.
     */
    Result<ConfigurationPtr> after(const std::vector<Change> &changes) const;

    /** @return number of the version. */
    Revision revision() const { return m_revision; }

    /** @return hash of all that the version says; equal for equal versions. */
    std::uint64_t digest() const { return m_digest; }

    /** @return all entries by name. */
    const EntryMap &entries() const { return m_entries; }

    /** @return the entry of this name, or null. */
    const EntryInForce *find(const EntryName &name) const;

    /**
     * Finds the entry for a request.
     * @param method HTTP method.
     * @param path Path without query.
     * @return the entry, or null when none matches.
     */
    const EntryInForce *match(std::string_view method, std::string_view path) const;

private:
    /** Routes by method and number of segments, so that a look-up compares few patterns. */
    struct Route
    {
        std::vector<std::string> segments;
        const EntryInForce *entry = nullptr;
    };

    Configuration() = default;

    Result<void> addRoutes();
    Result<void> checkReferences() const;
    std::uint64_t computeDigest() const;

    Revision m_revision = 0;
    std::uint64_t m_digest = 0;
    EntryMap m_entries;
    std::map<std::pair<std::string, std::size_t>, std::vector<Route>> m_routes;
};

} // namespace cornelwell
