/** @file call_rank.cpp Ranks by priority, with and without tenants. */
#include "dispatch/call_rank.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr unsigned RANKS_PER_PRIORITY = 4; ///< Distance of the ranks of two route priorities.
constexpr unsigned RANK_NESTED = 1;        ///< Of the nested calls of a priority's requests.
constexpr unsigned RANK_NEW = 3;           ///< Of a priority's requests.
constexpr unsigned RANK_LATE = 4; ///< Of its late retries; nested calls of the next one have 5.

/** Ranks of one tenant priority: those of its route priorities. */
constexpr unsigned RANKS_PER_TENANT_PRIORITY = 64;
constexpr unsigned TENANT_PRIORITY_MAX = 1'000'000; ///< Lower priorities share one class.

unsigned tenantRank(const RequestAttributes &attributes)
{
    const unsigned routePart = std::min(attributes.route->priority, RANKS_PER_TENANT_PRIORITY - 1);
    if (attributes.fromLocalServer)
        return routePart;
    return (1 + std::min(*attributes.tenantPriority, TENANT_PRIORITY_MAX))
               * RANKS_PER_TENANT_PRIORITY
           + routePart;
}

/** @return the rank of the nested calls that a request of the given rank makes. */
unsigned nestedRankOf(unsigned callerRank)
{
    const unsigned priority
        = (std::max(callerRank, RANK_NESTED) - RANK_NESTED) / RANKS_PER_PRIORITY;
    return priority * RANKS_PER_PRIORITY + RANK_NESTED;
}

} // namespace

unsigned callRank(const RequestAttributes &attributes, Duration expectedWork,
                  const CallRankOptions &options, TimePoint now)
{
    if (attributes.tenantPriority)
        return tenantRank(attributes);
    const unsigned first = attributes.route->priority * RANKS_PER_PRIORITY;
    if (attributes.fromLocalServer && options.nestedRanks && attributes.callerRank)
        return nestedRankOf(*attributes.callerRank);
    if (attributes.fromLocalServer)
        return first + RANK_NESTED;
    const bool isLate = attributes.isRetry && now + expectedWork > attributes.softDeadline;
    return first + (options.lateLast && isLate ? RANK_LATE : RANK_NEW);
}

} // namespace cornelwell
