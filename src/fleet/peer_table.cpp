/** @file peer_table.cpp Beliefs about daemons. */
#include "fleet/peer_table.h"

#include "base/hash_func.h"

#include <algorithm>

namespace cornelwell {

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

bool PeerTable::learn(const DaemonRecord &record, bool firstHand)
{
    if (record.name == m_self.name || record.name.empty() || record.link.ip.empty())
        return false;
    const auto [position, added] = m_peers.try_emplace(record.name);
    Peer &peer = position->second;
    if (!added && !firstHand && peer.linked)
        return false;
    const bool moved = peer.record.link != record.link;
    peer.record = record;
    return added || moved;
}

bool PeerTable::isHushed(const Peer &peer, TimePoint now) const
{
    const bool near = peer.record.dataCentre == m_self.dataCentre;
    return now - peer.heardAt > (near ? m_options.hushAfter : m_options.hushAfter * 5 / 2);
}

bool PeerTable::isSound(const Peer &peer, TimePoint now) const
{
    // Daemons of other data centres tell their state more rarely.
    const bool near = peer.record.dataCentre == m_self.dataCentre;
    return peer.linked
           && now - peer.heardAt <= (near ? m_options.doubtAfter : m_options.doubtAfter * 2);
}

std::size_t PeerTable::soundCount(TimePoint now) const
{
    return 1
           + static_cast<std::size_t>(
               std::count_if(m_peers.begin(), m_peers.end(),
                             [&](const auto &item) { return isSound(item.second, now); }));
}

std::vector<const Peer *> PeerTable::rankedBefore(TimePoint now) const
{
    const std::string &key = m_self.dataCentre.text();
    const std::uint64_t own = rendezvousWeight(m_self.name.text(), key);
    std::vector<const Peer *> before;
    for (const auto &[name, peer] : m_peers) {
        if (peer.record.dataCentre == m_self.dataCentre && isSound(peer, now) && !peer.leaving
            && rendezvousWeight(name.text(), key) > own)
            before.push_back(&peer);
    }
    return before;
}

unsigned PeerTable::rankInDataCentre(TimePoint now) const
{
    return static_cast<unsigned>(rankedBefore(now).size());
}

} // namespace cornelwell
