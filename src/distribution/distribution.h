/** @file distribution.h How versions reach this daemon and go on to others: the decision. */
#pragma once

#include "base/random.h"
#include "distribution/distribution_type.h"
#include "store/object_store.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace cornelwell {

/**
 * Takes versions from the platform and from peers, puts only newer and whole ones into force, and
 * passes each on once. A version is never replaced by an older one.
 */
class Distribution
{
public:
    /**
     * @param options Timeouts and budgets.
     * @param seed Of the jitter.
     */
    Distribution(DistributionOptions options, std::uint64_t seed);

    /** @return the version in force. */
    const ConfigurationPtr &current() const { return m_current; }

    /** @return the newest version that this daemon holds, in force or not yet: what peers are told.
     */
    Revision heldRevision() const { return m_held->revision(); }

    /** This daemon begins or ceases to watch the platform. */
    DistributionActions setWatching(bool watching, TimePoint now);

    /** A link to a peer is up. */
    void linkOpened(LinkId link);

    /** Changes are pushed at once on an eager link; on another one the peer asks when it is behind.
     */
    void setEager(LinkId link, bool eager);

    /** A link to a peer is down. */
    void linkClosed(LinkId link);

    /** A peer says which version it runs. */
    DistributionActions peerRevision(LinkId link, Revision revision, TimePoint now);

    /** A peer sent a message. */
    DistributionActions receive(LinkId link, const DistributionMessage &message, TimePoint now);

    /** The platform answered a watch. */
    DistributionActions watchAnswered(const Result<std::optional<StoredObject>> &answer,
                                      TimePoint now);

    /** The platform answered a read of chunks. */
    DistributionActions chunksRead(Revision revision, const Result<std::vector<std::string>> &texts,
                                   TimePoint now);

    /** Time passes. */
    DistributionActions tick(TimePoint now);

    /** @return true when the platform answered the last call to it. */
    bool platformAnswers() const { return m_platformAnswers; }

    /** @return true when this daemon watches the platform. */
    bool watching() const { return m_watching; }

private:
    void onChanges(LinkId link, const ChangesMessage &message, TimePoint now,
                   DistributionActions &actions);
    void onRequest(LinkId link, const ChangesRequest &request, TimePoint now,
                   DistributionActions &actions);
    void onSnapshot(LinkId link, const SnapshotMessage &message, TimePoint now,
                    DistributionActions &actions);
    void onHead(const StoredObject &object, TimePoint now, DistributionActions &actions);
    void reject(Revision revision, const Error &error, DistributionActions &actions);
    void hold(ConfigurationPtr next, const std::vector<Change> &changes, LinkId source, bool whole,
              DistributionActions &actions);
    void putIntoForce(DistributionActions &actions);
    bool belowFloor(Revision revision) const;
    void remember(const std::vector<Change> &changes);
    void push(LinkId source, Revision before, DistributionActions &actions);
    void ask(LinkId link, TimePoint now, DistributionActions &actions);
    std::optional<LinkId> bestPeer(LinkId except) const;
    void platformFailed(const Error &error, TimePoint now, DistributionActions &actions);
    void platformAnswered(DistributionActions &actions);
    void startWatch(DistributionActions &actions);
    bool takeSnapshotToken(TimePoint now);

    const DistributionOptions m_options;
    Random m_random;
    ConfigurationPtr m_current;
    ConfigurationPtr m_held;
    bool m_heldWhole = false;
    TimePoint m_heldSince{0};
    TimePoint m_now{0}; ///< Time of the input that is handled.
    TimePoint m_settled = NEVER;
    std::deque<Change> m_recent;
    std::map<LinkId, Revision> m_peers;
    std::set<LinkId> m_lazy;

    bool m_watching = false;
    bool m_watchOutstanding = false;
    bool m_platformAnswers = true;
    ObjectVersion m_headVersion = 0;
    TimePoint m_nextWatch{0};
    Duration m_pause{0};
    std::vector<Change> m_headChanges;

    Revision m_rejected = 0;
    LinkId m_asked = 0;
    TimePoint m_askedUntil{0};
    double m_snapshotTokens;
    TimePoint m_tokensAt{0};
};

} // namespace cornelwell
