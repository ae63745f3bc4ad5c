/** @file server_choice.h Which server a call goes to, by what is believed about each. */
#pragma once

#include "base/random.h"
#include "fleet/peer_table.h"

#include <optional>
#include <set>

namespace cornelwell {

/** Weights of the choice: what is lost of a call that is worth 1 in time. */
struct ChoiceOptions
{
    double defaultWorkMs = 150;    ///< Time of a request at a server that told none.
    double workLogStdDev = 0.55;   ///< Spread of the time of requests, of its logarithm.
    double softDeadlineLoss = 0.7; ///< Lost when the goal is missed.
    double deadlineLoss = 0.3;     ///< Lost besides when the deadline is missed.
    double failureLoss = 0.6;      ///< Lost when the server fails the call.
    double lossPerMs = 0.0004;     ///< Lost by each millisecond of expected time.
    double fullLoadSlowdown
        = 0.35; ///< How much longer a call takes at a full server than at an idle one.
    double coldSlowdownFactor = 2.0;        ///< How much longer it takes at a server that is cold.
    double otherDataCentreLoss = 0.004;     ///< Lost when the call goes to another data centre.
    double otherDataCentreLossPerKb = 0.07; ///< Lost by each kilobyte that crosses.
    double stalePeerLoss = 0.5;             ///< Lost when the daemon beside the server is silent.
    std::size_t ownDataCentreSample
        = 5; ///< Servers of the own data centre that are compared, drawn at random;
    std::size_t otherDataCentreSample
        = 4;                  ///< and of the others. All daemons would choose the same best one.
    double workJitter = 0.06; ///< Spread that keeps daemons from choosing alike.
};

/** A server that may be chosen. */
struct Candidate
{
    ServerId daemon;      ///< Its daemon.
    std::string instance; ///< Its identity.
    double loss = 0;      ///< Expected loss.
    double workMs = 0;    ///< Expected time at the server.
    double waitMs = 0;    ///< Expected time before that.
    double fixedLoss = 0; ///< Part of the loss that does not depend on time.
    double waitMaxMs = 0; ///< With a longer wait the next best server is better; below 0: any wait.
};

/** What a choice is made for. */
struct ChoiceRequest
{
    ServiceName service;         ///< Service that is to run the call.
    std::set<ServerId> excluded; ///< Daemons that are not to be asked.
    double transferKb = 0;       ///< Bytes that would cross between data centres.
    double meanWorkMs = 0;       ///< Mean time of such calls over all servers; 0 when unknown.
    double softDeadlineMs = 0;   ///< Time left until the goal.
    double deadlineMs = 0;       ///< Time left until the deadline.
};

/**
 * Chooses the server with the least expected loss.
 * @param table Beliefs about peers.
 * @param local Load of the server beside this daemon; it is believed as it is.
 * @param request What the choice is for.
 * @param options Weights.
 * @param now Time.
 * @param random For the jitter.
 * @return the server, or nothing.
 */
std::optional<Candidate> chooseServer(const PeerTable &table, const HostLoad &local,
                                      const ChoiceRequest &request, const ChoiceOptions &options,
                                      TimePoint now, Random &random);

/** @return expected loss by time of a call. @param workMs At the server. @param waitMs Before that.
 */
double expectedTimeLoss(double workMs, double waitMs, const ChoiceRequest &request,
                        const ChoiceOptions &options);

} // namespace cornelwell
