/** @file replication_type.h What the spread of versions asks its shell to do. */
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

/** The newest document as the platform's store has it. */
struct StoredRoutes
{
    std::uint64_t storeRevision = 0; ///< Revision to watch from.
    /** The document, or why it cannot be used; nothing when there is none, or none newer. */
    std::optional<Result<RouteDocument>> document;
};

/** Read the newest document from the store; the answer comes as readAnswered. */
struct ReadRoutes
{
    bool allowStale = false; ///< An answer that is seconds old will do: peers tell what is newer.
};
/** Watch the store; the answer comes as watchAnswered. */
struct WatchRoutes
{
    std::uint64_t storeRevision = 0; ///< Revision seen last.
    Duration timeout;                ///< Longest wait for a change.
};
/** A version is in force from now on. */
struct ApplyRoutes
{
    RouteTablePtr table; ///< The version.
    std::string source;  ///< Where it came from, for logs.
};
/** Tell peers which version is in force here. */
struct AnnounceVersion
{
    bool toAllPeers = false;     ///< To all peers: nobody else told of it yet.
    std::vector<ServerId> peers; ///< Else to these.
};
/** Send the version in force to peers that have the same older one. */
struct PushRoutes
{
    std::vector<ServerId> peers; ///< The peers.
    RouteUpdate update;          ///< What makes the version in force of what they have.
};
/** Ask a peer for the version that it has in force. */
struct RequestRoutes
{
    ServerId peer;               ///< The peer.
    Revision currentVersion = 0; ///< The version in force here.
};
/** A document was refused; the last good one stays. */
struct RejectRoutes
{
    Error error;        ///< Why.
    std::string source; ///< Where it came from.
};
/** The store began or ceased to answer. */
struct StoreAvailabilityChanged
{
    bool available = false; ///< True when it answers again.
    Error error;            ///< Why it does not.
};
/** An action of the spread. */
using ReplicationAction
    = std::variant<ReadRoutes, WatchRoutes, ApplyRoutes, AnnounceVersion, PushRoutes, RequestRoutes,
                   RejectRoutes, StoreAvailabilityChanged>;
using ReplicationActions = std::vector<ReplicationAction>;

/** Timeouts of the spread. */
struct ReplicationOptions
{
    unsigned watcherCount = 2; ///< Daemons that watch the store, at least one in each data centre.
    Duration watchTimeout = {4000}; ///< Longest wait of one watch.
    Duration freshStoreAge
        = {5200}; ///< A watcher that heard the store within this counts as sound.
    Duration watchDelayAfterChange
        = {350}; ///< From one change to the next watch: a series is taken in steps.
    Duration pollAfterFailure
        = {8000};                  ///< After a failed call the store is read in place of watched.
    Duration pollInterval = {500}; ///< Pause between these reads.
    Duration watchStartDelay = {1000}; ///< A new daemon links to others before it watches.
    Duration retryDelayMin = {100};    ///< First pause after a failed call.
    Duration retryDelayMax = {1500};   ///< Longest pause.
    Duration pushDelayPerRank = {30};  ///< Pause before a second watcher pushes in its data centre.
    Duration remotePushDelay = {350};  ///< Pause before a watcher pushes elsewhere.
    std::size_t pushedRouteCopiesMax
        = 1200;                   ///< Routes of an update times its receivers that may be pushed.
    Duration pushTimeout = {400}; ///< A daemon that is behind waits for a push, then reads itself.
    Duration peerRequestDelay = {900};    ///< After this it asks a peer: the store may be silent.
    Duration peerRequestInterval = {700}; ///< Pause between two such requests.
};

} // namespace cornelwell
