/** @file peer_table.h What this daemon believes about the other daemons, and how old that is. */
#pragma once

#include "fleet/fleet_type.h"

#include <map>
#include <vector>

namespace cornelwell {

/** Beliefs about one daemon. */
struct Peer
{
    DaemonRecord record;       ///< As it announced itself.
    bool linked = false;       ///< The link to it is open.
    TimePoint linkedAt{0};     ///< Since when.
    TimePoint heardAt{0};      ///< Last message.
    HostLoad load;             ///< Load of the server beside it, as last told.
    unsigned sent = 0;         ///< Calls under way from this daemon to it.
    unsigned sentWhenTold = 0; ///< The same when the load was told.
    Revision version = 0;      ///< Version in force there, as last told.
    Duration storeAge;         ///< How long ago it had heard from the platform's store.
    bool watching = false;     ///< It watches the store and pushes versions.
    bool leaving = false;      ///< The daemon is about to stop.
    std::string
        leftInstance; ///< Server beside it that was last heard to leave; told it after a restart.
};

/** Thresholds for beliefs. */
struct PeerOptions
{
    Duration hushAfter
        = {600}; ///< A peer silent for this long may be gone: a second server is asked.
    Duration doubtAfter
        = {1300}; ///< A peer silent for this long is chosen only when no other is left.
};

/** Peers by name. */
class PeerTable
{
public:
    PeerTable(DaemonRecord self, PeerOptions options) : m_self(std::move(self)), m_options(options)
    {}

    /** @return this daemon. */
    const DaemonRecord &self() const { return m_self; }
    /** @return all peers by name. */
    const std::map<ServerId, Peer> &peers() const { return m_peers; }
    /** @return the peer, or null. */
    Peer *find(const ServerId &name);
    const Peer *find(const ServerId &name) const;
    /**
     * Takes in an announcement.
     * @param record The announcement.
     * @param firstHand True when the daemon itself told it; hearsay does not move a linked peer.
     * @return true when it is a new peer or its address changed.
     */
    bool learn(const DaemonRecord &record, bool firstHand);
    /** Forgets a peer. */
    void forget(const ServerId &name) { m_peers.erase(name); }
    /** @return true when a state of the peer is overdue. */
    bool isHushed(const Peer &peer, TimePoint now) const;
    /** @return true when a peer was heard lately over an open link. */
    bool isSound(const Peer &peer, TimePoint now) const;
    /** @return daemons that can be reached now, this one included. */
    std::size_t soundCount(TimePoint now) const;
    /**
     * Ranks this daemon among the sound ones of its data centre, by rendezvous hashing.
     * @return 0 for the first.
     */
    unsigned rankInDataCentre(TimePoint now) const;
    /** @return the sound peers of the own data centre that rank before this daemon. */
    std::vector<const Peer *> rankedBefore(TimePoint now) const;

private:
    DaemonRecord m_self;
    PeerOptions m_options;
    std::map<ServerId, Peer> m_peers;
};

} // namespace cornelwell
