/** @file server_choice.h Choice of the server for a request, from the last reported loads. */
#pragma once

#include "base/random.h"
#include "fleet/peer_table.h"
#include "rollout/rollout_type.h"

#include <optional>
#include <set>

namespace cornelwell {

/**
 * Weights of the choice. A loss is a share of the value 1 that an answer before the soft deadline
 * has; losses add up, and the server with the least expected loss is chosen.
 */
struct ChoiceOptions
{
    double defaultWorkMs = 150;    ///< Mean time at a server, in ms, until any server reports one.
    double workLogStdDev = 0.55;   ///< Standard deviation of the logarithm of the time at a server.
    double softDeadlineLoss = 0.7; ///< Loss when the answer misses the soft deadline.
    double deadlineLoss = 0.3;     ///< Additional loss when the answer misses the deadline.
    double failureLoss = 0.6;      ///< Loss when the server fails; multiplies its failure share.
    double lossPerMs = 0.0004;     ///< Loss per millisecond of expected wait and work.
    double fullLoadSlowdown = 0.35;         ///< Relative extra work time when all slots are busy.
    double coldSlowdownFactor = 2.0;        ///< Multiplies the work time at a server just started.
    double otherDataCentreLoss = 0.004;     ///< Loss when the server is in another data centre.
    double otherDataCentreLossPerKb = 0.07; ///< Additional loss per KiB sent to or from there.
    /** Most loss for a large request body sent there. Without a bound a body of 60 KB would go to a
     * server of the own data centre whatever its wait. */
    double otherDataCentreUploadLossMax = 0.45;
    double unresponsivePeerLoss = 0.5; ///< Loss when the hosting daemon is unresponsive.
    /** Number of servers of the own data centre that are compared. They are drawn at random;
     * otherwise all daemons would choose the same server. */
    std::size_t ownDataCentreSample = 5;
    std::size_t otherDataCentreSample = 4; ///< The same for all other data centres.
    /** Largest relative random change of the expected work time; it keeps daemons with the same
     * data from choosing the same server. */
    double workJitter = 0.06;
};

/** A server that can be chosen. */
struct Candidate
{
    ServerId daemon;      ///< Hosting daemon.
    std::string instance; ///< Instance of the server.
    double loss = 0;      ///< Expected loss.
    double workMs = 0;    ///< Expected time at the server, in milliseconds.
    double waitMs = 0;    ///< Expected wait for a free slot, in milliseconds.
    double fixedLoss = 0; ///< Part of the loss that does not depend on time.
    /** Longest wait, in milliseconds, before the second best server loses less; below 0: any. */
    double waitMaxMs = 0;
};

/** The request that a server is chosen for. */
struct ChoiceRequest
{
    ServiceName service;           ///< Service that the server must run.
    std::set<ServerId> excluded;   ///< Hosting daemons that must not be chosen.
    double transferKb = 0;         ///< Expected size of request and response, in KiB.
    double meanWorkMs = 0;         ///< Mean time of the route's requests, in ms; 0 when unknown.
    double softDeadlineMs = 0;     ///< Time left until the soft deadline, in milliseconds.
    double deadlineMs = 0;         ///< Time left until the deadline, in milliseconds.
    std::uint64_t bulkBytes = 0;   ///< Expected size of a large answer, in bytes, else 0.
    std::uint64_t uploadBytes = 0; ///< Size of a large request body, in bytes, else 0.
    const VersionRule *rule = nullptr; ///< Versions that are eligible; null: all.
    bool wantsTarget = false; ///< The request is of the share of the rule's target version.
};

/**
 * Chooses the server with the least expected loss among a random sample of the ready servers. With
 * a version rule, a request of the target's share falls back to baseline servers when no target
 * server has a free slot; any other request goes to a target server only when no baseline server is
 * ready.
 * @param table Last reported state of the peers.
 * @param local Load of the local server; unlike that of a peer it is never outdated.
 * @param request The request.
 * @param options Weights.
 * @param now Current time; decides which peers are unresponsive.
 * @param random Source of the sample and of the jitter.
 * @return the server, or nothing when none is eligible.
 */
std::optional<Candidate> chooseServer(const PeerTable &table, const HostLoad &local,
                                      const ChoiceRequest &request, const ChoiceOptions &options,
                                      TimePoint now, Random &random);

/**
 * Calculates the part of the expected loss that depends on time.
 * @param workMs Expected time at the server, in milliseconds.
 * @param waitMs Wait for a free slot, in milliseconds.
 * @param request The request.
 * @param options Weights.
 * @return the expected loss.
 */
double expectedTimeLoss(double workMs, double waitMs, const ChoiceRequest &request,
                        const ChoiceOptions &options);

} // namespace cornelwell
