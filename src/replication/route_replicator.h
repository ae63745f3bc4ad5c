/** @file route_replicator.h Replicates versions of the routes to this daemon and its peers. */
#pragma once

#include "base/random.h"
#include "fleet/peer_table.h"
#include "replication/replication_type.h"

#include <deque>
#include <map>

namespace cornelwell {

/**
 * Replicates versions of the routes within the fleet. Some daemons of each data centre watch the
 * platform's store and push small updates to the others. A large update is only announced; each
 * daemon then reads the store over its own link, or requests the version from a peer when the store
 * does not answer. An older version never replaces a newer one.
 *
 * The class does no input or output: the caller passes events in and carries out the returned
 * actions.
 */
class RouteReplicator
{
public:
    /**
     * @param peers Peers and the state that they last reported.
     * @param options Timeouts and limits.
     * @param seed Seed of the random delays and of the choice of a peer.
     */
    RouteReplicator(const PeerTable &peers, ReplicationOptions options, std::uint64_t seed);

    /** Starts the replication. */
    ReplicationActions start(TimePoint now);
    /** Handles the result of a ReadRoutes action. */
    ReplicationActions handleReadAnswer(const Result<StoredRoutes> &answer, TimePoint now);
    /**
     * Handles the result of a WatchRoutes action. After PlatformHistoryGone the next store call is
     * a full read.
     */
    ReplicationActions handleWatchAnswer(const Result<StoredRoutes> &answer, TimePoint now);
    /**
     * Handles a store that came back from an older copy: revisions seen so far mean nothing, so a
     * watcher reads before it watches again. The version in force stays.
     */
    ReplicationActions handleStoreRestored(TimePoint now);
    /** Handles an update that a peer pushed, or sent on request. */
    ReplicationActions handleUpdate(const ServerId &peer, const RouteUpdate &update, TimePoint now);
    /**
     * Answers a peer that requests the version in force.
     * @param baseVersion Version that the peer has; 0 for none.
     * @return an update from that version, or a whole version when that one is no longer kept here;
     * nothing when this daemon has no newer one.
     */
    std::optional<RouteUpdate> updateSince(Revision baseVersion) const;
    /** Handles a peer's report of another version than before; the peer table has it already. */
    ReplicationActions handlePeerVersion(const ServerId &peer, TimePoint now);
    /** Does what is due; the caller calls it several times a second and after a peer's report. */
    ReplicationActions tick(TimePoint now);

    /** Reads the store, unless a call is open or one that failed has to wait. */
    ReplicationActions requestRead(TimePoint now);

    /** @return the version in force; null before the first. */
    const RouteTablePtr &currentTable() const { return m_table; }
    /** @return number of the version in force; 0 before the first. */
    Revision version() const { return m_table ? m_table->version() : 0; }
    /**
     * @return time since the last answer of the store; a very large value when it never answered or
     * when the last call failed.
     */
    Duration storeAge(TimePoint now) const;
    /** @return true when this daemon watches the store, or polls it after a failed call. */
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
    void sendRead(TimePoint now, ReplicationActions &actions, bool allowStale = false);
    void sendWatch(TimePoint now, ReplicationActions &actions);
    void handleStoreCallEnded();
    void abandonDeadWatch(TimePoint now, ReplicationActions &actions);
    bool shouldWatch(TimePoint now) const;
    void pushToOutdatedPeers(TimePoint now, ReplicationActions &actions);
    Duration pushDelay(const Peer &peer, TimePoint now);

    const PeerTable &m_peers;
    const ReplicationOptions m_options;
    Random m_random;
    RouteTablePtr m_table;
    std::deque<RouteTablePtr> m_recentTables; ///< Earlier versions, bases of updates; oldest first.
    std::uint64_t m_storeRevision = 0;
    bool m_readNeeded = true;
    bool m_revisionOutdated = false; ///< m_storeRevision is of an earlier era of the store.
    StoreCallKind m_pendingCall = StoreCallKind::None;
    TimePoint m_callSentAt{0};     ///< When the pending call was sent.
    TimePoint m_watchDueAt{NEVER}; ///< When the pending watch should have reported the version.
    bool m_watching = false;
    bool m_storeAvailable = true;
    Duration m_retryDelay{0};
    TimePoint m_nextStoreCallAt{0};
    TimePoint m_pollUntil{0}; ///< Until then a watcher polls, as a new watch may report nothing.
    TimePoint m_lastStoreAnswerAt{0};
    bool m_storeEverAnswered = false;
    TimePoint m_startedAt{0};
    std::map<ServerId, TimePoint> m_pushAt; ///< Time of the next push to each outdated peer.
    bool m_outdated = false;                ///< A peer reported a newer version.
    TimePoint m_readAt{0};                  ///< When an outdated daemon reads the store.
    TimePoint m_peerRequestAt{0};           ///< When an outdated daemon requests it from a peer.
};

} // namespace cornelwell
