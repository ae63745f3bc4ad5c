/** @file credential_decision.cpp Order of the conditions under which a key is accepted. */
#include "tenants/credential_decision.h"

#include <iterator>

namespace cornelwell {

namespace {

constexpr Duration WATCH_SILENCE{1000}; ///< A watch may miss changes for this long.
constexpr Duration RUN_RESERVE{200};    ///< Time from the decision to the start at the server.

constexpr const char *VERDICT_NAMES[]
    = {"no_tenants", "exempt", "served", "unknown_key", "undecided", "unconfirmed"};
static_assert(std::size(VERDICT_NAMES) == static_cast<std::size_t>(CredentialVerdict::Count),
              "a name for each verdict");

} // namespace

const char *credentialVerdictName(CredentialVerdict verdict)
{
    return VERDICT_NAMES[static_cast<std::size_t>(verdict)];
}

Duration confirmationAgeMax(Duration bound)
{
    return bound - WATCH_SILENCE - RUN_RESERVE;
}

CredentialVerdict decideCredential(const CredentialFacts &facts)
{
    if (!facts.hasTenants)
        return CredentialVerdict::NoTenants;
    if (facts.isExempt)
        return CredentialVerdict::Exempt;
    if (facts.strict
        && (!facts.confirmationAge || *facts.confirmationAge > confirmationAgeMax(facts.bound)))
        return CredentialVerdict::Unconfirmed;
    if (facts.tenant != nullptr)
        return CredentialVerdict::Served;
    return facts.newerVersionKnown ? CredentialVerdict::Undecided : CredentialVerdict::UnknownKey;
}

} // namespace cornelwell
