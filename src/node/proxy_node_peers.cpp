/** @file proxy_node_peers.cpp What peers and the server beside this daemon tell. */
#include "node/proxy_node.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr Duration STORE_LOST{
    3000}; ///< A peer whose last word from the store aged by more has lost it.

} // namespace

void ProxyNode::callEnded(const CallOrigin &origin, const HostOutcome &outcome)
{
    if (origin.daemon == m_settings.self.name) {
        perform(m_dispatcher.offerEnded(origin.offer, outcome, m_loop.now()));
        return;
    }
    m_links.sendAnswer(origin.daemon, origin.incarnation,
                       LinkResult{origin.offer, outcome, m_desk.load()});
}

void ProxyNode::hostChanged()
{
    m_links.tellState();
}

void ProxyNode::requestCrashed(std::uint64_t fingerprint, const std::string &route)
{
    CrashReport report;
    report.fingerprint = fingerprint;
    report.server = m_settings.self.name;
    report.sequence = m_settings.self.incarnation + ++m_lastCrash;
    report.entry = EntryName(route);
    takeCrash(report);
}

void ProxyNode::takeCrash(const CrashReport &report)
{
    const TimePoint now = m_loop.now();
    if (!m_quarantine.add(report, now))
        return;
    const std::vector<std::uint64_t> refused = m_quarantine.quarantinedFingerprints(now);
    m_quarantined = {refused.begin(), refused.end()};
    // In a large fleet not all daemons are linked: each tells on what is new to it.
    const bool own = report.server == m_settings.self.name;
    if (own || m_links.linksUp() < m_peers.peers().size())
        m_links.sendToAll(LinkCrashReport{report});
    m_log.logStateChange("crash", [&](LogFields &fields) {
        fields.add("fingerprint", report.fingerprint);
        fields.add("server", report.server.text());
        fields.add("route", report.entry.text());
        fields.add("refused", std::uint64_t{m_quarantined.count(report.fingerprint)});
    });
}

LinkDaemonState ProxyNode::linkState() const
{
    LinkDaemonState state;
    state.name = m_settings.self.name;
    state.incarnation = m_settings.self.incarnation;
    state.load = m_desk.load();
    state.version = m_replicator.version();
    state.storeAge = m_replicator.storeAge(m_loop.now());
    state.shuttingDown = m_leaving;
    state.watchingStore = m_replicator.isWatching();
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
    for (const CrashReport &report : m_quarantine.reports(now))
        m_links.sendRequest(name, LinkCrashReport{report});
    perform(m_dispatcher.linkOpened(name, restarted, now));
    perform(m_replicator.tick(now));
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
    perform(m_dispatcher.linkLost(name, now));
}

void ProxyNode::senderLost(const ServerId &peer, std::uint64_t incarnation)
{
    m_desk.senderLost(peer, incarnation);
}

void ProxyNode::peerGone(const ServerId &name)
{
    m_log.logStateChange("peer_gone", [&](LogFields &fields) { fields.add("peer", name.text()); });
    m_peers.remove(name);
}

void ProxyNode::peerAnnounced(const DaemonRecord &record)
{
    m_peers.addOrUpdate(record, true);
}

void ProxyNode::answerReceived(const ServerId &name, LinkMessage message)
{
    if (Peer *peer = m_peers.find(name))
        peer->lastMessageAt = m_loop.now();
    if (const auto *state = std::get_if<LinkDaemonState>(&message))
        takeState(name, *state);
    else if (const auto *result = std::get_if<LinkResult>(&message))
        takeResult(name, *result);
    else if (const auto *routes = std::get_if<LinkRouteUpdate>(&message))
        perform(m_replicator.handleUpdate(name, routes->update, m_loop.now()));
}

void ProxyNode::takeState(const ServerId &name, const LinkDaemonState &state)
{
    const TimePoint now = m_loop.now();
    Peer *peer = m_peers.find(name);
    if (peer == nullptr)
        return;
    peer->load = state.load;
    if (state.load.state == HostState::Draining)
        peer->deregisteredInstance = state.load.instance;
    else if (state.load.instance == peer->deregisteredInstance)
        peer->deregisteredInstance.clear();
    peer->callsInFlightAtReport = peer->callsInFlight;
    const bool lostStore = state.storeAge - peer->storeAge > STORE_LOST;
    peer->storeAge = state.storeAge;
    peer->shuttingDown = state.shuttingDown;
    peer->watchingStore = state.watchingStore;
    if (!state.deregisteredInstance.empty()) {
        // Told by the daemon before this one: a late report must not bring the server back.
        ServerReport left;
        left.instance = state.deregisteredInstance;
        m_desk.leave(left);
    }
    const bool behind = state.version != peer->version;
    peer->version = state.version;
    if (behind)
        perform(m_replicator.handlePeerVersion(name, now));
    else if (lostStore)
        perform(m_replicator.tick(now));
}

void ProxyNode::takeResult(const ServerId &name, const LinkResult &result)
{
    const TimePoint now = m_loop.now();
    if (Peer *peer = m_peers.find(name)) {
        peer->load = result.load;
        peer->callsInFlightAtReport = peer->callsInFlight > 0 ? peer->callsInFlight - 1 : 0;
    }
    perform(m_dispatcher.offerEnded(result.offer, result.outcome, now));
}

void ProxyNode::requestReceived(const DaemonRecord &peer, LinkMessage message)
{
    const auto origin = [&](OfferId offer) {
        return CallOrigin{peer.name, peer.incarnation, offer};
    };
    if (auto *call = std::get_if<LinkCall>(&message)) {
        const OfferId offer = call->offer;
        m_desk.offer(origin(offer), std::move(*call));
    } else if (const auto *cancel = std::get_if<LinkCancel>(&message)) {
        m_desk.cancel(origin(cancel->offer), cancel->onlyIfQueued);
    } else if (const auto *ask = std::get_if<LinkOutcomeRequest>(&message)) {
        if (const auto outcome = m_desk.ask(origin(ask->offer)))
            m_links.sendAnswer(peer.name, peer.incarnation,
                               LinkResult{ask->offer, *outcome, m_desk.load()});
    } else if (const auto *routes = std::get_if<LinkRouteUpdate>(&message)) {
        perform(m_replicator.handleUpdate(peer.name, routes->update, m_loop.now()));
    } else if (const auto *asked = std::get_if<LinkRoutesRequest>(&message)) {
        if (auto update = m_replicator.updateSince(asked->currentVersion))
            m_links.sendAnswer(peer.name, peer.incarnation, LinkRouteUpdate{std::move(*update)});
    } else if (const auto *crash = std::get_if<LinkCrashReport>(&message)) {
        takeCrash(crash->report);
    }
}

} // namespace cornelwell
