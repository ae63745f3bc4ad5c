/** @file route_replicator.h How versions of the routes reach this daemon and its peers: the
 * decision.
 */
#pragma once

#include "base/random.h"
#include "fleet/peer_table.h"
#include "replication/replication_type.h"

#include <deque>
#include <map>

namespace cornelwell {

/**
 * Some daemons of each data centre watch the platform's store and push what differs to the others.
 * A large difference is only told: each daemon then reads the store over its own link, and one that
 * the store does not answer asks a peer. A version is never replaced by an older one. Events in,
 * actions out.
 */
class RouteReplicator
{
public:
    /**
     * @param table Beliefs about peers.
     * @param options Timeouts.
     * @param seed Of the jitter.
     */
    RouteReplicator(const PeerTable &table, ReplicationOptions options, std::uint64_t seed);

    /** The daemon starts. */
    ReplicationActions start(TimePoint now);
    /** The store answered a read. */
    ReplicationActions handleReadAnswer(const Result<StoredRoutes> &answer, TimePoint now);
    /** The store answered a watch; PlatformHistoryGone makes it read anew. */
    ReplicationActions handleWatchAnswer(const Result<StoredRoutes> &answer, TimePoint now);
    /** A peer sent a version. */
    ReplicationActions handleUpdate(const ServerId &peer, const RouteUpdate &update, TimePoint now);
    /** A peer asks for the version in force. @return what makes it of what the peer has. */
    std::optional<RouteUpdate> updateSince(Revision version) const;
    /** A peer told another version than before. */
    ReplicationActions handlePeerVersion(const ServerId &peer, TimePoint now);
    /** Time passes; to be called a few times in a second, and when a peer told its version. */
    ReplicationActions tick(TimePoint now);

    /** @return the version in force; null before the first. */
    const RouteTablePtr &currentTable() const { return m_table; }
    /** @return number of the version in force; 0 before the first. */
    Revision version() const { return m_table ? m_table->version() : 0; }
    /** @return how long ago the store answered; very long when never, or when the last call failed.
     */
    Duration storeAge(TimePoint now) const;
    /** @return true when this daemon watches the store. */
    bool isWatching() const { return m_watching; }

private:
    void applyDocument(const Result<RouteDocument> &document, TimePoint now,
                       ReplicationActions &actions);
    /** @param sender Peer that sent the version; empty when it came from the store. */
    void applyTable(const RouteTablePtr &table, const ServerId &sender, TimePoint now,
                    ReplicationActions &actions);
    AnnounceVersion announcementFor(const ServerId &sender) const;
    RouteTablePtr findRecentTable(Revision version) const;
    Revision newestPeerVersion() const;
    void catchUp(TimePoint now, ReplicationActions &actions);
    std::optional<ServerId> pickNewerPeer();
    void handleStoreAnswer(TimePoint now, ReplicationActions &actions);
    void handleStoreFailure(const Error &error, TimePoint now, ReplicationActions &actions);
    bool shouldWatch(TimePoint now) const;
    void pushToOutdatedPeers(TimePoint now, ReplicationActions &actions);
    Duration pushDelay(const Peer &peer, TimePoint now);

    const PeerTable &m_peers;
    const ReplicationOptions m_options;
    Random m_random;
    RouteTablePtr m_table;
    std::deque<RouteTablePtr>
        m_recentTables; ///< Versions before it, to tell peers only what differs.
    std::uint64_t m_storeRevision = 0;
    bool m_readNeeded = true;
    bool m_storeCallPending = false;
    bool m_watching = false;
    bool m_storeAvailable = true;
    Duration m_retryDelay{0};
    TimePoint m_nextStoreCallAt{0};
    TimePoint m_pollUntil{0}; ///< Until then a watch may be silent though it looks open.
    TimePoint m_lastStoreAnswerAt{0};
    bool m_storeEverAnswered = false;
    TimePoint m_startedAt{0};
    std::map<ServerId, TimePoint> m_pushAt; ///< When a peer that is behind is sent the version.
    bool m_behind = false;                  ///< A peer has a newer version.
    TimePoint m_readAt{0};                  ///< When it is read, if no push brings it before.
    TimePoint m_peerRequestAt{0};           ///< When a peer is asked for it.
};

} // namespace cornelwell
