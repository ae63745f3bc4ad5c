/** @file peer_table.cpp Lookup, staleness and ranking of peers. */
#include "fleet/peer_table.h"

#include "base/hash_func.h"

#include <algorithm>

namespace cornelwell {

void Peer::recordLoad(const HostLoad &reported, TimePoint now)
{
    load = reported;
    loadReportedAt = now;
    if (reported.instance.empty())
        return;
    const bool sameServer = reported.instance == restrictions.instance
                            && reported.startTimeMs == restrictions.startTimeMs
                            && reported.startTimeMs != 0;
    const bool wasLeaving = sameServer && restrictions.leaving;
    if (wasLeaving && reported.state == HostState::Ready)
        load.state = HostState::Draining;
    restrictions
        = {reported.instance, reported.startTimeMs,
           wasLeaving || reported.state == HostState::Draining, reported.requestsPerSecond};
}

Peer *PeerTable::find(const ServerId &name)
{
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second;
}

const Peer *PeerTable::find(const ServerId &name) const
{
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool PeerTable::addOrUpdate(const DaemonRecord &record, bool fromPeer)
{
    if (record.name == m_self.name || record.name.empty() || record.linkEndpoint.ip.empty())
        return false;
    const auto [position, added] = m_peers.try_emplace(record.name);
    Peer &peer = position->second;
    if (!added && !fromPeer && peer.linked)
        return false;
    const bool addressChanged = peer.record.linkEndpoint != record.linkEndpoint;
    peer.record = record;
    return added || addressChanged;
}

bool PeerTable::isStale(const Peer &peer, TimePoint now) const
{
    // Daemons of other data centres report less often, so their limit is longer.
    const bool sameDataCentre = peer.record.dataCentre == m_self.dataCentre;
    return now - peer.lastMessageAt
           > (sameDataCentre ? m_options.staleAfter : m_options.staleAfter * 5 / 2);
}

bool PeerTable::isResponsive(const Peer &peer, TimePoint now) const
{
    const bool sameDataCentre = peer.record.dataCentre == m_self.dataCentre;
    return peer.linked
           && now - peer.lastMessageAt <= (sameDataCentre ? m_options.unresponsiveAfter
                                                          : m_options.unresponsiveAfter * 2);
}

std::size_t PeerTable::responsiveDaemonCount(TimePoint now) const
{
    return 1
           + static_cast<std::size_t>(
               std::count_if(m_peers.begin(), m_peers.end(),
                             [&](const auto &item) { return isResponsive(item.second, now); }));
}

std::vector<const Peer *> PeerTable::higherRankedPeers(TimePoint now) const
{
    const std::string &key = m_self.dataCentre.text();
    const std::uint64_t ownWeight = rendezvousWeight(m_self.name.text(), key);
    std::vector<const Peer *> higherRanked;
    for (const auto &[name, peer] : m_peers) {
        if (peer.record.dataCentre == m_self.dataCentre && isResponsive(peer, now)
            && !peer.shuttingDown && rendezvousWeight(name.text(), key) > ownWeight)
            higherRanked.push_back(&peer);
    }
    return higherRanked;
}

unsigned PeerTable::rankInDataCentre(TimePoint now) const
{
    return static_cast<unsigned>(higherRankedPeers(now).size());
}

} // namespace cornelwell
