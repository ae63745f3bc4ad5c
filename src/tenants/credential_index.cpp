/** @file credential_index.cpp Validation of tenants, and the lookup by seeded hashes. */
#include "tenants/credential_index.h"

#include <algorithm>
#include <random>
#include <unordered_set>

namespace cornelwell {

namespace {

std::uint64_t makeSeed()
{
    std::random_device device;
    return std::uint64_t{device()} << 32 | device();
}

std::uint64_t processSeed()
{
    static const std::uint64_t SEED = makeSeed();
    return SEED;
}

/** A control character would end the header field that carries the name. */
bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte < 0x20 || byte == 0x7f;
    });
}

Result<void> validateName(const Tenant &tenant, const std::string &where)
{
    if (tenant.name.find_first_not_of(' ') == std::string::npos)
        return fail(ResultCode::RouteTenantInvalid, "the tenant has no name", where);
    if (hasControlCharacter(tenant.name))
        return fail(ResultCode::RouteTenantInvalid, "the name has a control character", where);
    return success();
}

/** Appends a text with its length, so that different lists never give the same bytes. */
void appendText(std::string &bytes, const std::string &text)
{
    bytes += std::to_string(text.size()) + ':' + text;
}

} // namespace

Result<CredentialIndex> CredentialIndex::build(const std::vector<Tenant> &tenants)
{
    CredentialIndex index;
    std::unordered_set<std::string_view> names;
    for (std::size_t i = 0; i < tenants.size(); i++) {
        const Tenant &tenant = tenants[i];
        const std::string where = "/tenants/" + std::to_string(i);
        BOOST_OUTCOME_TRY(validateName(tenant, where));
        if (!names.insert(tenant.name).second)
            return fail(ResultCode::RouteTenantInvalid, "another tenant has the same name", where);
        for (const std::string &key : tenant.keys) {
            if (key.empty())
                return fail(ResultCode::RouteTenantInvalid, "a key is empty", where);
            const auto [entry, added] = index.m_byKey.emplace(hash128(key, processSeed()), &tenant);
            if (!added && entry->second != &tenant)
                return fail(ResultCode::RouteTenantInvalid,
                            "tenant '" + entry->second->name + "' has the same key", where);
        }
    }
    return index;
}

const Tenant *CredentialIndex::find(std::string_view key) const
{
    if (key.empty())
        return nullptr;
    const auto found = m_byKey.find(hash128(key, processSeed()));
    return found == m_byKey.end() ? nullptr : found->second;
}

std::uint64_t tenantDigest(const Tenant &tenant)
{
    std::string bytes;
    appendText(bytes, tenant.name);
    for (const unsigned number : {tenant.priority, tenant.perSecond, tenant.burst})
        appendText(bytes, std::to_string(number));
    for (const std::string &key : tenant.keys)
        appendText(bytes, key);
    return hash64(bytes);
}

} // namespace cornelwell
