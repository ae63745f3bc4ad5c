/** @file body_transfers.cpp Parts of request bodies, their grants, and transfers that break off. */
#include "node/body_transfers.h"

#include <algorithm>
#include <string_view>

namespace cornelwell {

void BodySender::add(OfferId offer, const ServerId &peer, std::shared_ptr<const std::string> body)
{
    m_bodies[offer] = {peer, std::move(body), 0, 0};
}

void BodySender::handleGrant(const ServerId &peer, const LinkBodyGrant &grant)
{
    const auto found = m_bodies.find(grant.offer);
    if (found == m_bodies.end() || found->second.peer != peer)
        return;
    Body &body = found->second;
    const std::size_t bytes
        = std::min<std::uint64_t>(grant.bytes, body.bytes->size() - body.granted);
    if (bytes == 0)
        return;
    body.granted += bytes;
    // An offer is never sent twice, so a flow that outlives its body finds none and ends.
    m_bulk.add(bytes,
               [this, offer = grant.offer](std::size_t part) { return sendPart(offer, part); });
}

BulkProgress BodySender::sendPart(OfferId offer, std::size_t bytes)
{
    const auto found = m_bodies.find(offer);
    if (found == m_bodies.end())
        return BulkProgress::Ended;
    Body &body = found->second;
    const std::string_view part = std::string_view(*body.bytes).substr(body.sent, bytes);
    const BulkProgress progress = m_links.sendBodyPart(body.peer, offer, part);
    if (progress != BulkProgress::Sent)
        return progress;
    body.sent += part.size();
    if (body.sent == body.bytes->size())
        m_bodies.erase(found);
    return progress;
}

std::vector<OfferId> BodySender::dropPeer(const ServerId &peer)
{
    std::vector<OfferId> offers;
    for (const auto &[offer, body] : m_bodies) {
        if (body.peer == peer)
            offers.push_back(offer);
    }
    std::sort(offers.begin(), offers.end());
    for (const OfferId offer : offers)
        m_bodies.erase(offer);
    return offers;
}

BodyReceiver::BodyReceiver(EventLoop &loop, InputSchedulerOptions options,
                           BodyReceiverListener &listener)
    : m_loop(loop), m_scheduler(options), m_listener(listener)
{}

BodyReceiver::~BodyReceiver()
{
    m_loop.cancel(m_timer);
}

InputAdmission BodyReceiver::begin(const HostCall &call, const InputTransfer &request,
                                   std::uint64_t heldBytes)
{
    const InputAdmission admission = m_scheduler.submit(request, heldBytes, m_loop.now());
    if (admission.verdict != InputVerdict::Accepted) {
        m_counts.refused++;
        return admission;
    }
    m_bodies.emplace(call.id, Body{call, request.bytes, {}});
    // Later, because the listener is still handling the offer.
    startTimer();
    return admission;
}

void BodyReceiver::addPart(HostCallId id, const std::string &bytes)
{
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end())
        return;
    switch (m_scheduler.handleReceived(id, bytes.size(), m_loop.now())) {
    case InputProgress::Unknown:
    case InputProgress::Excess:
        fail(id, HostReason::Garbled);
        break;
    case InputProgress::Partial:
        found->second.bytes.reserve(found->second.size);
        found->second.bytes += bytes;
        break;
    case InputProgress::Whole: {
        Body body = std::move(found->second);
        m_bodies.erase(found);
        body.bytes += bytes;
        m_listener.bodyWhole(std::move(body.call), std::move(body.bytes));
        break;
    }
    }
    proceed();
}

std::optional<std::uint64_t> BodyReceiver::drop(HostCallId id)
{
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end())
        return std::nullopt;
    const std::uint64_t arrived = found->second.bytes.size();
    m_bodies.erase(found);
    m_counts.brokenOff++;
    m_scheduler.remove(id);
    startTimer();
    return arrived;
}

void BodyReceiver::breakOff(HostReason reason, bool onlyNotStarted)
{
    std::vector<HostCallId> ids;
    if (onlyNotStarted) {
        ids = m_scheduler.notStarted();
    } else {
        for (const auto &[id, body] : m_bodies)
            ids.push_back(id);
        std::sort(ids.begin(), ids.end());
    }
    for (const HostCallId id : ids)
        fail(id, reason);
    startTimer();
}

void BodyReceiver::fail(HostCallId id, HostReason reason)
{
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end())
        return;
    const HostCall call = std::move(found->second.call);
    const std::uint64_t arrived = found->second.bytes.size();
    m_bodies.erase(found);
    m_scheduler.remove(id);
    m_counts.brokenOff++;
    m_listener.bodyBrokenOff(call, reason, arrived);
}

/** Ends transfers without hope and grants what is possible. */
void BodyReceiver::proceed()
{
    const TimePoint now = m_loop.now();
    for (const auto &[id, failure] : m_scheduler.expire(now))
        fail(id, failure == InputFailure::Stalled ? HostReason::LinkLost : HostReason::TooLate);
    for (const InputGrant &grant : m_scheduler.grants(now)) {
        // Sending a grant may close a link, which drops the bodies of its sender.
        if (m_bodies.count(grant.transfer) == 0)
            continue;
        m_counts.grantedBytes += grant.bytes;
        m_listener.bodyGranted(grant.transfer, grant.bytes);
    }
    startTimer();
}

void BodyReceiver::startTimer()
{
    m_loop.cancel(m_timer);
    if (const auto delay = m_scheduler.delay(m_loop.now()))
        m_timer = m_loop.after(*delay, [this] {
            m_timer = 0;
            proceed();
        });
}

} // namespace cornelwell
