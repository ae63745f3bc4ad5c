/** @file quota_fleet.cpp Rendezvous hashing of tenants to daemons. */
#include "quota/quota_fleet.h"

#include "base/hash_func.h"

namespace cornelwell {

bool QuotaFleet::setMembers(QuotaMembers members)
{
    if (members == m_members)
        return false;
    m_members = std::move(members);
    m_coordinators.clear();
    return true;
}

const ServerId &QuotaFleet::coordinatorOf(const std::string &tenant)
{
    const auto [position, added] = m_coordinators.try_emplace(tenant, m_self);
    if (!added)
        return position->second;
    std::uint64_t highest = 0;
    for (const ServerId &daemon : m_members.responsive) {
        const std::uint64_t weight = rendezvousWeight(daemon.text(), tenant);
        if (weight < highest)
            continue;
        highest = weight;
        position->second = daemon;
    }
    return position->second;
}

double QuotaFleet::daemonShare() const
{
    return m_members.complete && m_members.knownDaemons > 0
               ? 1.0 / static_cast<double>(m_members.knownDaemons)
               : 0;
}

double QuotaFleet::coordinatorShare() const
{
    const double share = static_cast<double>(m_members.responsive.size()) * daemonShare();
    return share < 1 ? share : 1;
}

} // namespace cornelwell
