/** @file call_rank.h Ranks of calls at a server: a lower rank starts first. */
#pragma once

#include "dispatch/dispatch_type.h"

namespace cornelwell {

/** What a rank is made of. */
struct CallRankOptions
{
    bool nestedRanks = true; ///< A nested call has the rank of the request that makes it.
    /** A retry that can only miss its soft deadline goes behind the other calls of its priority:
     * in their place it would make them late as well. */
    bool lateLast = true;
};

/**
 * @return the rank of a request. With tenants nested calls go first, then the tenant's priority,
 * then the route's; without, the route's priority counts, and nested calls go before others of it.
 * @param attributes The request.
 * @param expectedWork Time that the server is expected to need.
 * @param options What the rank is made of.
 * @param now Current time.
 */
unsigned callRank(const RequestAttributes &attributes, Duration expectedWork,
                  const CallRankOptions &options, TimePoint now);

} // namespace cornelwell
