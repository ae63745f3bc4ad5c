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
class RouteSpread
{
public:
    /**
     * @param table Beliefs about peers.
     * @param options Timeouts.
     * @param seed Of the jitter.
     */
    RouteSpread(const PeerTable &table, SpreadOptions options, std::uint64_t seed);

    /** The daemon starts. */
    SpreadActions start(TimePoint now);
    /** The store answered a read. */
    SpreadActions readAnswered(const Result<StoredRoutes> &answer, TimePoint now);
    /** The store answered a watch; PlatformHistoryGone makes it read anew. */
    SpreadActions watchAnswered(const Result<StoredRoutes> &answer, TimePoint now);
    /** A peer sent a version. */
    SpreadActions received(const ServerId &peer, const RouteUpdate &update, TimePoint now);
    /** A peer asks for the version in force. @return what makes it of what the peer has. */
    std::optional<RouteUpdate> asked(Revision have) const;
    /** A peer told another version than before. */
    SpreadActions peerTold(const ServerId &peer, TimePoint now);
    /** Time passes; to be called a few times in a second, and when a peer told its version. */
    SpreadActions tick(TimePoint now);

    /** @return the version in force; null before the first. */
    const RouteTablePtr &inForce() const { return m_table; }
    /** @return number of the version in force; 0 before the first. */
    Revision version() const { return m_table ? m_table->version() : 0; }
    /** @return how long ago the store answered; very long when never, or when the last call failed.
     */
    Duration storeAge(TimePoint now) const;
    /** @return true when this daemon watches the store. */
    bool watching() const { return m_watching; }

private:
    void takeDocument(const Result<RouteDocument> &document, TimePoint now, SpreadActions &actions);
    /** @param sender Peer that sent the version; empty when it came from the store. */
    void take(const RouteTablePtr &table, const ServerId &sender, TimePoint now,
              SpreadActions &actions);
    TellVersion tellOf(const ServerId &sender) const;
    RouteTablePtr recent(Revision version) const;
    Revision newestTold() const;
    void catchUp(TimePoint now, SpreadActions &actions);
    std::optional<ServerId> holder();
    void storeAnswered(TimePoint now, SpreadActions &actions);
    void storeFailed(const Error &error, TimePoint now, SpreadActions &actions);
    bool shouldWatch(TimePoint now) const;
    void pushToBehind(TimePoint now, SpreadActions &actions);
    Duration pushDelay(const Peer &peer, TimePoint now);

    const PeerTable &m_peers;
    const SpreadOptions m_options;
    Random m_random;
    RouteTablePtr m_table;
    std::deque<RouteTablePtr> m_recent; ///< Versions before it, to tell peers only what differs.
    std::uint64_t m_storeRevision = 0;
    bool m_readNeeded = true;
    bool m_callOpen = false;
    bool m_watching = false;
    bool m_storeAnswers = true;
    Duration m_pause{0};
    TimePoint m_nextCall{0};
    TimePoint m_unsettledUntil{0}; ///< Until then a watch may be silent though it looks open.
    TimePoint m_storeHeard{0};
    bool m_storeEverHeard = false;
    TimePoint m_started{0};
    std::map<ServerId, TimePoint> m_pushAt; ///< When a peer that is behind is sent the version.
    bool m_behind = false;                  ///< A peer has a newer version.
    TimePoint m_readAt{0};                  ///< When it is read, if no push brings it before.
    TimePoint m_askAt{0};                   ///< When a peer is asked for it.
};

} // namespace cornelwell
