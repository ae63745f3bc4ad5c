/** @file tenant_type.h A tenant: a customer whose callers authenticate with API keys. */
#pragma once

#include <string>
#include <vector>

namespace cornelwell {

/** A tenant as a version of the routes has it. */
struct Tenant
{
    std::string name;              ///< Name, unique within a version.
    std::vector<std::string> keys; ///< API keys; secret, never in logs, errors or calls.
    unsigned priority = 0;         ///< Priority class; 0 is the highest.
    unsigned perSecond = 0;        ///< Requests a second over all daemons; 0 for no limit.
    unsigned burst = 0;            ///< Requests above the rate at once; 0 for no burst.

    friend bool operator==(const Tenant &a, const Tenant &b)
    {
        return a.name == b.name && a.keys == b.keys && a.priority == b.priority
               && a.perSecond == b.perSecond && a.burst == b.burst;
    }
};

} // namespace cornelwell
