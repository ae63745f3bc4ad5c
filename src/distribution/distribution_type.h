/** @file distribution_type.h What the distribution of versions asks its shell to do. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"
#include "base/result.h"
#include "catalogue/configuration.h"
#include "catalogue/entry_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** Number of a link to a peer, unique within the process. */
using LinkId = std::uint64_t;

/** Changes pushed to a peer, or sent as an answer; in order and without gaps. */
struct ChangesMessage
{
    Revision revision = 0;       ///< Newest version of the sender.
    std::vector<Change> changes; ///< Changes up to it; empty when the sender has none to tell.
};

/** Asks a peer for what came after a version. */
struct ChangesRequest
{
    Revision have = 0; ///< Version of the asking daemon.
};

/** A whole version, for a peer that is too far behind. */
struct SnapshotMessage
{
    Revision revision = 0;             ///< The version.
    std::vector<EntryInForce> entries; ///< All entries.
    std::vector<Change> recent;        ///< The last changes, so that the receiver can pass them on.
};

/** The sender is too busy to send a snapshot now. */
struct RetryLater
{
    Duration after; ///< When to ask again.
};

/** A message of the distribution. */
using DistributionMessage
    = std::variant<ChangesMessage, ChangesRequest, SnapshotMessage, RetryLater>;

/** Send a message on a link. */
struct SendDistribution
{
    LinkId link = 0;             ///< Where to.
    DistributionMessage message; ///< What.
};

/** Watch the head on the platform; the answer comes as watchAnswered. */
struct WatchHead
{
    std::uint64_t version = 0; ///< Version of the head object already seen.
};

/** Read objects from the platform; the answer comes as chunksRead. */
struct ReadChunks
{
    Revision revision = 0;          ///< Version that they make.
    std::vector<std::string> names; ///< Objects, in order.
};

/** Put a version into force: one swap. */
struct ApplyVersion
{
    ConfigurationPtr configuration; ///< The version.
    std::string cause;              ///< Identifier of its newest change.
    bool whole = false;             ///< True when it was taken over as a snapshot.
};

/** Report a version that failed its checks. */
struct ReportRejected
{
    Revision revision = 0; ///< The version; 0 when it could not be read.
    Error error;           ///< Why.
};

/** Report that the platform began or ceased to answer. */
struct ReportPlatform
{
    bool answers = false; ///< True when it answers again.
    Error error;          ///< Why it does not.
};

/** An action of the distribution. */
using DistributionAction = std::variant<SendDistribution, WatchHead, ReadChunks, ApplyVersion,
                                        ReportRejected, ReportPlatform>;

using DistributionActions = std::vector<DistributionAction>;

/** Timeouts and budgets of the distribution. */
struct DistributionOptions
{
    Duration retryMin = {200};       ///< First pause after a failed platform call.
    Duration retryMax = {5000};      ///< Longest pause between platform calls.
    Duration answerTimeout = {1000}; ///< A peer that was asked has this long.
    Duration settle = {300}; ///< A new daemon listens to its peers this long before it asks one.
    unsigned snapshotsPerSecond = 20; ///< Snapshots sent to peers.
    std::size_t recentMax = 64;       ///< Changes kept for peers that are a little behind.
};

} // namespace cornelwell
