/** @file proxy_node_peers.cpp Events of the local server, and messages of peers. */
#include "node/proxy_node.h"

#include <algorithm>

namespace cornelwell {

namespace {

/** A peer has lost the store when its store age grows by more than this between two states. */
constexpr Duration STORE_LOSS_AGE{3000};

} // namespace

void ProxyNode::callCompleted(const CallOrigin &origin, const HostOutcome &outcome)
{
    if (origin.daemon == m_settings.self.name) {
        perform(m_dispatcher.offerEnded(origin.offer, outcome, m_loop.now()));
        return;
    }
    m_links.sendResult(origin.daemon, origin.incarnation,
                       LinkResult{origin.offer, outcome, m_hostCalls.load()});
}

void ProxyNode::serverStateChanged()
{
    if (m_rollouts)
        updateOwnServer();
    recordServerState();
    m_links.announceState();
}

void ProxyNode::bodyGranted(const CallOrigin &origin, std::uint64_t bytes)
{
    m_links.sendAnswer(origin.daemon, origin.incarnation, LinkBodyGrant{origin.offer, bytes});
}

/** Sets the metrics of the transfers of request bodies, once there was one. */
void ProxyNode::reportTransfers()
{
    const BodyReceiver &bodies = m_hostCalls.bodies();
    const BodyTransferCounts &counts = bodies.counts();
    if (counts.grantedBytes + counts.refused + counts.brokenOff + m_bodySender.count() == 0)
        return;
    const auto set = [&](const char *name, std::uint64_t value) {
        m_metrics.set(name, "", static_cast<double>(value));
    };
    set("body_transfer_granted_bytes", counts.grantedBytes);
    set("body_transfer_waiting_bytes", bodies.scheduler().committedBytes());
    set("body_transfer_refused", counts.refused);
    set("body_transfer_broken_off", counts.brokenOff);
    set("body_transfer_sending", m_bodySender.count());
}

LinkDaemonState ProxyNode::linkState() const
{
    LinkDaemonState state;
    state.name = m_settings.self.name;
    state.incarnation = m_settings.self.incarnation;
    state.load = m_hostCalls.load();
    state.version = m_replicator.version();
    state.storeAge = m_replicator.storeAge(m_loop.now());
    state.shuttingDown = m_shutdown.hasBegun();
    state.watchingStore = m_replicator.isWatching();
    state.storeEra = m_storeEra.current();
    state.readsPings = m_settings.revocation.strict;
    state.quotaFleetSize = static_cast<std::uint32_t>(m_peers.peers().size()) + 1;
    addRollouts(state);
    return state;
}

void ProxyNode::linkUp(const ServerId &name, bool restarted)
{
    const TimePoint now = m_loop.now();
    if (Peer *peer = m_peers.find(name)) {
        peer->linked = true;
        peer->linkedSince = now;
        peer->lastMessageAt = now;
    }
    m_log.logStateChange("link_up", [&](LogFields &fields) {
        fields.add("peer", name.text());
        fields.add("restarted", std::int64_t{restarted ? 1 : 0});
    });
    sendCrashReports(name, m_quarantine.reportsForPeer(now));
    updateQuotaFleet();
    perform(m_dispatcher.linkOpened(name, restarted, now));
    perform(m_replicator.tick(now));
    requestConfirmation();
}

void ProxyNode::linkDown(const ServerId &name)
{
    const TimePoint now = m_loop.now();
    if (Peer *peer = m_peers.find(name)) {
        peer->linked = false;
        m_log.logStateChange("link_down", [&](LogFields &fields) {
            fields.add("peer", name.text());
            fields.add("heard_ms_ago", (now - peer->lastMessageAt).ms);
        });
    }
    // The peer's server gets nothing before a body is whole, so these requests have not run.
    HostOutcome notRun;
    notRun.reason = HostReason::LinkLost;
    for (const OfferId offer : m_bodySender.dropPeer(name))
        perform(m_dispatcher.offerEnded(offer, notRun, now));
    updateQuotaFleet();
    perform(m_dispatcher.linkLost(name, now));
}

void ProxyNode::senderLost(const ServerId &peer, std::uint64_t incarnation)
{
    m_hostCalls.handleSenderLost(peer, incarnation);
}

void ProxyNode::peerReplaced(const ServerId &name)
{
    m_log.logStateChange("peer_gone", [&](LogFields &fields) { fields.add("peer", name.text()); });
    m_peers.remove(name);
}

void ProxyNode::peerAnnounced(const DaemonRecord &record)
{
    m_peers.addOrUpdate(record, true);
}

void ProxyNode::restrictionsTold(const ServerId &peer, const ServerRestrictions &restrictions)
{
    if (restrictions.instance.empty())
        return;
    m_hostCalls.handleRestrictions(peer, restrictions);
    m_startupReports.witnessHeard(peer);
    releaseStartupReport();
}

void ProxyNode::handlePeerAnswer(const ServerId &name, LinkMessage message)
{
    if (Peer *peer = m_peers.find(name))
        peer->lastMessageAt = m_loop.now();
    if (const auto *state = std::get_if<LinkDaemonState>(&message))
        handleState(name, *state);
    else if (const auto *result = std::get_if<LinkResult>(&message))
        handleResult(name, *result);
    else if (std::holds_alternative<LinkDepartureRequest>(message))
        readDeparturesFor(name);
    else if (const auto *grant = std::get_if<LinkBodyGrant>(&message))
        m_bodySender.handleGrant(name, *grant);
    else if (handleQuotaMessage(name, 0, message))
        return;
    else if (const auto *routes = std::get_if<LinkRouteUpdate>(&message))
        perform(m_replicator.handleUpdate(name, routes->update, m_loop.now()));
    else if (const auto *pong = std::get_if<LinkPong>(&message))
        handlePong(*pong);
}

void ProxyNode::handleState(const ServerId &name, const LinkDaemonState &state)
{
    const TimePoint now = m_loop.now();
    Peer *peer = m_peers.find(name);
    if (peer == nullptr)
        return;
    peer->recordLoad(state.load, now);
    peer->callsInFlightAtReport = peer->callsInFlight;
    peer->bulkBytesInFlightAtReport = peer->bulkBytesInFlight;
    peer->uploadBytesInFlightAtReport = peer->uploadBytesInFlight;
    const bool hasLostStore = state.storeAge - peer->storeAge > STORE_LOSS_AGE;
    peer->storeAge = state.storeAge;
    peer->shuttingDown = state.shuttingDown;
    peer->acceptsBodyTransfers = state.acceptsBodyTransfers;
    peer->watchingStore = state.watchingStore;
    peer->readsPings = state.readsPings;
    peer->quotaFleetSize = state.quotaFleetSize;
    restrictionsTold(name, state.restrictions);
    // A peer that has not heard of the newest era yet is no news.
    if (state.storeEra > m_storeEra.current())
        observeStoreEra(state.storeEra, name.text());
    learnRollouts(*peer, state);
    const bool versionChanged = state.version != peer->version;
    peer->version = state.version;
    if (versionChanged)
        perform(m_replicator.handlePeerVersion(name, now));
    else if (hasLostStore)
        perform(m_replicator.tick(now));
}

void ProxyNode::handleResult(const ServerId &name, const LinkResult &result)
{
    const TimePoint now = m_loop.now();
    if (Peer *peer = m_peers.find(name)) {
        peer->recordLoad(result.load, now);
        peer->callsInFlightAtReport = peer->callsInFlight > 0 ? peer->callsInFlight - 1 : 0;
        const std::uint64_t ended = m_dispatcher.bulkBytesOf(result.offer);
        peer->bulkBytesInFlightAtReport
            = peer->bulkBytesInFlight - std::min(peer->bulkBytesInFlight, ended);
        const std::uint64_t uploaded = m_dispatcher.uploadBytesOf(result.offer);
        peer->uploadBytesInFlightAtReport
            = peer->uploadBytesInFlight - std::min(peer->uploadBytesInFlight, uploaded);
    }
    m_bodySender.drop(result.offer);
    perform(m_dispatcher.offerEnded(result.offer, result.outcome, now));
}

void ProxyNode::handlePeerRequest(const DaemonRecord &peer, LinkMessage message)
{
    const auto origin = [&](OfferId offer) {
        return CallOrigin{peer.name, peer.incarnation, offer};
    };
    if (auto *call = std::get_if<LinkCall>(&message)) {
        const OfferId offer = call->offer;
        call->otherDataCentre = peer.dataCentre != m_settings.self.dataCentre;
        if (!refuseRolledBack(origin(offer)))
            m_hostCalls.offer(origin(offer), std::move(*call));
    } else if (const auto *part = std::get_if<LinkBodyPart>(&message)) {
        m_hostCalls.addBodyPart(origin(part->offer), part->bytes);
    } else if (const auto *cancel = std::get_if<LinkCancel>(&message)) {
        m_hostCalls.cancel(origin(cancel->offer), cancel->onlyIfQueued);
        m_links.stopResult(peer.name, cancel->offer);
    } else if (const auto *outcomeRequest = std::get_if<LinkOutcomeRequest>(&message)) {
        if (const auto outcome = m_hostCalls.findOutcome(origin(outcomeRequest->offer)))
            m_links.sendResult(peer.name, peer.incarnation,
                               LinkResult{outcomeRequest->offer, *outcome, m_hostCalls.load()});
    } else if (const auto *routes = std::get_if<LinkRouteUpdate>(&message)) {
        perform(m_replicator.handleUpdate(peer.name, routes->update, m_loop.now()));
    } else if (const auto *routesRequest = std::get_if<LinkRoutesRequest>(&message)) {
        if (auto update = m_replicator.updateSince(routesRequest->currentVersion))
            m_links.sendAnswer(peer.name, peer.incarnation, LinkRouteUpdate{std::move(*update)});
    } else if (const auto *crash = std::get_if<LinkCrashReport>(&message)) {
        handleCrashReport(crash->report);
    } else if (const auto *ping = std::get_if<LinkPing>(&message)) {
        handlePing(peer, *ping);
    } else if (const auto *departures = std::get_if<LinkDepartures>(&message)) {
        handlePeerDepartures(peer.name, *departures);
    } else {
        handleQuotaMessage(peer.name, peer.incarnation, message);
    }
}

} // namespace cornelwell
