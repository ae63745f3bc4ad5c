/** @file credential_decision.h Whether a request may run with the key that it has. */
#pragma once

#include "base/clock_type.h"
#include "tenants/tenant_type.h"

#include <cstdint>
#include <optional>

namespace cornelwell {

/** Decision about the key of a request. */
enum class CredentialVerdict : std::uint8_t
{
    NoTenants,   ///< The version in force has no tenants; keys have no meaning.
    Exempt,      ///< The route is public or the local server makes the call: no key is needed.
    Served,      ///< The key belongs to a tenant.
    UnknownKey,  ///< No tenant has the key.
    Undecided,   ///< No tenant has the key, but a newer version may know it.
    Unconfirmed, ///< The version in force may be older than the bound for revocations allows.
    Count,       ///< Number of verdicts; not a verdict.
};

/** @return the name of the verdict, for logs and metrics. */
const char *credentialVerdictName(CredentialVerdict verdict);

/** What the decision depends on. */
struct CredentialFacts
{
    bool hasTenants = false;        ///< The version in force has tenants.
    bool isExempt = false;          ///< The route is public or the local server makes the call.
    const Tenant *tenant = nullptr; ///< Tenant that has the key; null for none.
    bool newerVersionKnown = false; ///< A peer has reported a newer version.
    bool strict = false;            ///< Revocations have a bound.
    Duration bound;                 ///< That bound.
    std::optional<Duration> confirmationAge; ///< Time since the version was surely the newest.
};

/**
 * @return the largest confirmation age with which a key is accepted. A watch of the store may hear
 * nothing for a second while changes are made, and a request takes some time to its server.
 */
Duration confirmationAgeMax(Duration bound);

/** @return the decision. */
CredentialVerdict decideCredential(const CredentialFacts &facts);

} // namespace cornelwell
