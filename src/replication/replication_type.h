/** @file replication_type.h Actions, options and store results of the route replication. */
#pragma once

#include "base/identifier_type.h"
#include "base/result.h"
#include "routes/route_update.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** Kind of a call to the platform's store. */
enum class StoreCallKind : std::uint8_t
{
    None,  ///< No call.
    Read,  ///< A read of the newest document.
    Watch, ///< A watch for changes.
    Count  ///< Number of kinds.
};

/** @return the name of a kind, for logs. */
const char *storeCallKindName(StoreCallKind kind);

/** Result of a read or a watch of the platform's store. */
struct StoredRoutes
{
    std::uint64_t storeRevision = 0; ///< Store revision of this result; the next watch starts here.
    /** The newest document, or why it is unusable; empty when there is none or none is newer. */
    std::optional<Result<RouteDocument>> document;
    /** Parts of the answer that cannot be read, with their places; for logs. */
    std::vector<Error> faults;
};

/** Read the newest document from the store; the result goes to handleReadAnswer. */
struct ReadRoutes
{
    /** The store may answer from a cache that is seconds old; peers announce newer versions. */
    bool allowStale = false;
};
/** Watch the store for changes; the result goes to handleWatchAnswer. */
struct WatchRoutes
{
    std::uint64_t storeRevision = 0; ///< Last store revision that this daemon has seen.
    Duration timeout;                ///< Longest time that the store may wait for a change.
    Duration answerMargin; ///< The watch is lost when it is not answered this long after timeout.
};
/** End the open watch like one whose connection broke; the failure goes to handleWatchAnswer. */
struct AbandonWatch
{};
/** A new version is in force; the replicator uses it already. */
struct ApplyRoutes
{
    RouteTablePtr table; ///< The version.
    std::string source;  ///< For logs: "store" or the name of the peer that sent it.
};
/** Announce the version in force to peers. */
struct AnnounceVersion
{
    bool toAllPeers = false;     ///< Announce it to every peer: no peer has reported it yet.
    std::vector<ServerId> peers; ///< Receivers when toAllPeers is false.
};
/** Send an update to peers that all have the same older version. */
struct PushRoutes
{
    std::vector<ServerId> peers; ///< Receivers.
    RouteUpdate update;          ///< Leads from their version to the version in force.
};
/** Request the version in force at a peer. */
struct RequestRoutes
{
    ServerId peer;               ///< The peer.
    Revision currentVersion = 0; ///< Version in force here, 0 for none; base of the update.
};
/** A document or an update was rejected; the version in force stays. */
struct RejectRoutes
{
    Error error;        ///< Why.
    std::string source; ///< For logs: "store" or the name of the peer that sent it.
};
/** The store became available or unavailable. */
struct StoreAvailabilityChanged
{
    bool available = false; ///< True when the store answers again.
    Error error;            ///< Error of the failed call when the store is unavailable.
    StoreCallKind call = StoreCallKind::None; ///< The call that failed.
    Duration openFor;                         ///< Time from that call to its failure.
};
/** An action that the caller of RouteReplicator carries out. */
using ReplicationAction
    = std::variant<ReadRoutes, WatchRoutes, AbandonWatch, ApplyRoutes, AnnounceVersion, PushRoutes,
                   RequestRoutes, RejectRoutes, StoreAvailabilityChanged>;
using ReplicationActions = std::vector<ReplicationAction>;

/**
 * Timeouts, in milliseconds, and limits of the replication. A delay that is marked as jittered is
 * drawn evenly from half to one and a half times its value.
 */
struct ReplicationOptions
{
    /**
     * Watchers of the store in a fleet of one data centre. With several data centres each has half
     * as many, rounded up, because watchers also push to peers in other data centres.
     */
    unsigned watcherCount = 2;
    /**
     * Longest time that the store may hold one watch open. A watch may be lost without a sign, so
     * this and watchAnswerMargin together bound the time for which a change goes unnoticed.
     */
    Duration watchTimeout = {1000};
    /** How long after watchTimeout the answer of a slow store may come. */
    Duration watchAnswerMargin = {500};
    /**
     * A peer counts as a watcher while its last answer from the store is younger than this: the
     * longest time that a watch is open, and the age of the peer's report.
     */
    Duration freshStoreAge = {1900};
    /**
     * How long an open watch may take to report a version that a peer has sent: longer than an
     * answer of a slow store, and short of the time in which a change has to be in force.
     */
    Duration watchReportTimeout = {600};
    /** Delay between a change and the next watch; changes within it arrive as one. */
    Duration watchDelayAfterChange = {350};
    /**
     * How long a watcher polls the store after a failed call: a new watch may report nothing
     * although its connection is open.
     */
    Duration pollAfterFailure = {8000};
    /** Interval between the reads while a watcher polls. */
    Duration pollInterval = {500};
    /** Time from the start until this daemon may watch; its links to other watchers open first. */
    Duration watchStartDelay = {1000};
    /** Delay after the first failed store call; doubles with each further failure; jittered. */
    Duration retryDelayMin = {100};
    /** Upper limit of that delay; also the delay before a read after one that found no document. */
    Duration retryDelayMax = {1500};
    /**
     * Delay before a push inside the data centre, times this daemon's rank there: the first watcher
     * pushes at once, the next only to peers that still lack the version.
     */
    Duration pushDelayPerRank = {30};
    /** Delay before a push to a peer in another data centre; jittered. */
    Duration remotePushDelay = {350};
    /** Upper limit of changed routes and tenants times receivers for a push; larger updates are
     * announced. */
    std::size_t pushedRouteCopiesMax = 1200;
    /** How long an outdated daemon waits for a push before it reads from the store; jittered. */
    Duration pushTimeout = {400};
    /**
     * How long an outdated daemon waits before it requests the version from a peer; jittered. It
     * covers a store that does not answer the read.
     */
    Duration peerRequestDelay = {900};
    /** Delay between two such requests; jittered. */
    Duration peerRequestInterval = {700};

    /**
     * @param bound Longest time from the acknowledgement of a change until all daemons follow it.
     * @return options with which a lost watch is noticed within three quarters of the bound.
     */
    static ReplicationOptions forChangeBound(Duration bound);
};

} // namespace cornelwell
