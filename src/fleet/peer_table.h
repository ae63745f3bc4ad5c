/** @file peer_table.h The other daemons of the fleet and the last state that each one reported. */
#pragma once

#include "fleet/fleet_type.h"

#include <map>
#include <vector>

namespace cornelwell {

/** Cached state of one other daemon. */
struct Peer
{
    /**
     * Takes over a reported load. A server that was known to leave stays so: a restarted daemon may
     * have believed a late report.
     */
    void recordLoad(const HostLoad &reported, TimePoint now);

    DaemonRecord record;                 ///< Latest announcement.
    bool linked = false;                 ///< The link to the peer is open.
    TimePoint linkedSince{0};            ///< Time at which the link opened.
    TimePoint lastMessageAt{0};          ///< Time of the last message from the peer.
    HostLoad load;                       ///< Last reported load of the peer's local server.
    TimePoint loadReportedAt{0};         ///< When it was reported.
    unsigned callsInFlight = 0;          ///< Calls sent to the peer that have not ended yet.
    unsigned callsInFlightAtReport = 0;  ///< Value of callsInFlight when load was last reported.
    std::uint64_t bulkBytesInFlight = 0; ///< Expected sizes of the large answers of these calls.
    std::uint64_t bulkBytesInFlightAtReport = 0;   ///< The same when load was last reported.
    std::uint64_t uploadBytesInFlight = 0;         ///< Large request bodies of these calls.
    std::uint64_t uploadBytesInFlightAtReport = 0; ///< The same when load was last reported.
    bool acceptsBodyTransfers = false; ///< It reads calls whose body follows on its grants.
    Revision version = 0;              ///< Last reported version of the routes in force.
    Duration storeAge;          ///< Last reported time since its last contact with the store.
    bool watchingStore = false; ///< The peer watches the platform's store and pushes new versions.
    bool shuttingDown = false;  ///< The peer's daemon is about to stop.
    bool readsPings = false;    ///< The peer answers LinkPing.
    std::uint32_t quotaFleetSize
        = 0; ///< Daemons that the peer knows; 0: it reads no quota messages.
    ServerRestrictions restrictions; ///< Of the peer's local server, as its loads have shown.
};

/**
 * Time limits for messages from a peer of the same data centre. Peers of other data centres report
 * less often and get 2.5 times staleAfter and 2 times unresponsiveAfter.
 */
struct PeerOptions
{
    Duration staleAfter
        = {600}; ///< Time without a message after which requests to the peer are hedged.
    Duration unresponsiveAfter
        = {1300}; ///< Time without a message after which the peer is chosen only as a last resort.
};

/** The other daemons, by name. */
class PeerTable
{
public:
    /**
     * @param self Announcement of this daemon, which is never a peer in the table.
     * @param options Time limits for the age of a peer's state.
     */
    PeerTable(DaemonRecord self, PeerOptions options) : m_self(std::move(self)), m_options(options)
    {}

    /** @return the announcement of this daemon. */
    const DaemonRecord &self() const { return m_self; }
    /** @return all peers by name. */
    const std::map<ServerId, Peer> &peers() const { return m_peers; }
    /** @return the peer, or null. */
    Peer *find(const ServerId &name);
    const Peer *find(const ServerId &name) const;
    /**
     * Adds a peer or updates its announcement. Ignores this daemon's own announcement and those
     * without a name or address.
     * @param record The announcement.
     * @param fromPeer True when the peer itself sent the announcement. Announcements from the
     *     platform's store may be old and do not change a linked peer.
     * @return true when the peer is new or its address changed.
     */
    bool addOrUpdate(const DaemonRecord &record, bool fromPeer);
    /** Removes a peer. */
    void remove(const ServerId &name) { m_peers.erase(name); }
    /** @return true when no message came from the peer for longer than staleAfter. */
    bool isStale(const Peer &peer, TimePoint now) const;
    /** @return true when the link is open and a message came within unresponsiveAfter. */
    bool isResponsive(const Peer &peer, TimePoint now) const;
    /** @return the number of responsive daemons, including this one. */
    std::size_t responsiveDaemonCount(TimePoint now) const;
    /**
     * Ranks this daemon among the responsive ones of its data centre by rendezvous hashing.
     * @return the rank; 0 is the highest.
     */
    unsigned rankInDataCentre(TimePoint now) const;
    /** @return the responsive peers of this data centre that rank higher than this daemon. */
    std::vector<const Peer *> higherRankedPeers(TimePoint now) const;

private:
    DaemonRecord m_self;
    PeerOptions m_options;
    std::map<ServerId, Peer> m_peers;
};

} // namespace cornelwell
