/** @file credential_index.h Finds the tenant of an API key. */
#pragma once

#include "base/hash_func.h"
#include "base/result.h"
#include "tenants/tenant_type.h"

#include <string_view>
#include <unordered_map>

namespace cornelwell {

/**
 * Immutable lookup of tenants by key. It holds hashes of the keys whose seed is random for each
 * process, so that callers cannot choose keys that collide.
 */
class CredentialIndex
{
public:
    CredentialIndex() = default;
    /**
     * Validates tenants and builds their index.
     * @param tenants The tenants; must outlive the index and stay at their address.
     * @return the index, or RouteTenantInvalid with a JSON pointer to the first faulty tenant. The
     * error holds no key.
     */
    static Result<CredentialIndex> build(const std::vector<Tenant> &tenants);

    /** @return the tenant that has the key, or null. */
    const Tenant *find(std::string_view key) const;

private:
    struct FirstHalf
    {
        std::size_t operator()(const Hash128 &hash) const { return hash.high; }
    };

    std::unordered_map<Hash128, const Tenant *, FirstHalf> m_byKey; ///< By seeded hash of the key.
};

/** @return digest of a tenant, equal on all daemons. */
std::uint64_t tenantDigest(const Tenant &tenant);

} // namespace cornelwell
