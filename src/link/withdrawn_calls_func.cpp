/** @file withdrawn_calls_func.cpp Matches calls and withdrawals by offer. */
#include "link/withdrawn_calls_func.h"

#include <algorithm>
#include <set>

namespace cornelwell {

void dropWithdrawnCalls(std::vector<LinkMessage> &messages)
{
    std::set<OfferId> withdrawn;
    const auto isWithdrawn = [&](const LinkMessage &message) {
        if (const auto *cancel = std::get_if<LinkCancel>(&message))
            withdrawn.insert(cancel->offer);
        const auto *call = std::get_if<LinkCall>(&message);
        return call != nullptr && withdrawn.count(call->offer) != 0;
    };
    // From the end, so that a withdrawal is seen before the call that it follows.
    const auto kept = std::stable_partition(messages.rbegin(), messages.rend(),
                                            [&](const auto &m) { return !isWithdrawn(m); });
    messages.erase(messages.begin(), kept.base());
}

} // namespace cornelwell
