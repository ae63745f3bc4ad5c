/** @file quota_fleet.h The daemons among which quotas are divided, as this daemon knows them. */
#pragma once

#include "base/identifier_type.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelwell {

/** The daemons, as known at one time. */
struct QuotaMembers
{
    std::vector<ServerId> responsive; ///< Of this data centre that read quota messages, with self.
    std::size_t knownDaemons = 0;     ///< Of the whole fleet, responsive or not, with self.
    bool complete = false;            ///< The list of daemons is known in whole.

    friend bool operator==(const QuotaMembers &a, const QuotaMembers &b)
    {
        return a.responsive == b.responsive && a.knownDaemons == b.knownDaemons
               && a.complete == b.complete;
    }
};

/** Assigns each tenant to a coordinator. */
class QuotaFleet
{
public:
    /** @param self Name of this daemon. */
    explicit QuotaFleet(ServerId self) : m_self(std::move(self)) {}
    /** Takes over the daemons. @return true when they changed. */
    bool setMembers(QuotaMembers members);
    /** @return the coordinator of a tenant in this data centre. */
    const ServerId &coordinatorOf(const std::string &tenant);
    /** @return true when this daemon coordinates the tenant. */
    bool coordinates(const std::string &tenant) { return coordinatorOf(tenant) == m_self; }
    /** @return the name of this daemon. */
    const ServerId &self() const { return m_self; }
    /** @return the daemons. */
    const QuotaMembers &members() const { return m_members; }
    /** @return the part of a quota that each daemon of the fleet stands for; 0: not known. */
    double daemonShare() const;
    /** @return the part that this data centre's responsive daemons stand for together. */
    double coordinatorShare() const;

private:
    ServerId m_self;
    QuotaMembers m_members;
    std::unordered_map<std::string, ServerId> m_coordinators; ///< Of tenants asked for so far.
};

} // namespace cornelwell
