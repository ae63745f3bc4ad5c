/** @file dispatcher_links.cpp Offers at a hosting daemon whose link breaks or opens again. */
#include "dispatch/dispatcher.h"

#include <algorithm>

namespace cornelwell {

namespace {

HostOutcome linkLostOutcome()
{
    HostOutcome outcome;
    outcome.state = RunState::Unknown;
    outcome.reason = HostReason::LinkLost;
    outcome.sentToServer = true;
    return outcome;
}

} // namespace

std::vector<std::pair<PendingRequestId, OfferId>> Dispatcher::offersAt(const ServerId &daemon,
                                                                       bool linkBroken) const
{
    std::vector<std::pair<PendingRequestId, OfferId>> found;
    for (const auto &[id, pending] : m_pendingRequests) {
        for (const OpenOffer &offer : pending.openOffers) {
            if (offer.daemon == daemon && offer.linkBroken == linkBroken)
                found.emplace_back(id, offer.id);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

DispatchActions Dispatcher::linkLost(const ServerId &daemon, TimePoint now)
{
    DispatchActions actions;
    for (const auto &[id, offer] : offersAt(daemon, false)) {
        PendingRequest &pending = m_pendingRequests[id];
        if (!pending.attributes.route->idempotent) {
            pending.openOffers.front().linkBroken = true;
            continue;
        }
        DispatchActions more = offerEnded(offer, linkLostOutcome(), now);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
}

DispatchActions Dispatcher::linkOpened(const ServerId &daemon, bool restarted, TimePoint now)
{
    DispatchActions actions;
    for (const auto &[id, offer] : offersAt(daemon, true)) {
        if (!restarted) {
            m_pendingRequests[id].openOffers.front().linkBroken = false;
            actions.push_back(AskOutcome{offer, daemon});
            continue;
        }
        DispatchActions more = offerEnded(offer, linkLostOutcome(), now);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
}

} // namespace cornelwell
