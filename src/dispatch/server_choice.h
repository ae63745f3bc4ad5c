/** @file server_choice.h Which server a call goes to, by what is believed about each. */
#pragma once

#include "base/random.h"
#include "fleet/peer_table.h"

#include <optional>
#include <set>

namespace cornelwell {

/** Weights of the choice, all in milliseconds of expected waiting. */
struct ChoiceOptions
{
    double firstWorkMs = 150;       ///< Time of a request at a server that told none.
    double busyShare = 0.35;        ///< How much a full server is worse than an idle one.
    double failurePenalty = 6.0;    ///< Times the expected time, for a server that fails all.
    double coldPenalty = 1.0;       ///< Times the expected time, for a server that is cold.
    double otherCentreMs = 4;       ///< For a server in another data centre.
    double otherCentreMsPerKb = 45; ///< For each kilobyte that crosses.
    double jitter = 0.06;           ///< Spread that keeps daemons from choosing alike.
};

/** A server that may be chosen. */
struct Candidate
{
    ServerId name;        ///< Its daemon.
    std::string instance; ///< Its identity.
    double cost = 0;      ///< Expected time and penalties, in milliseconds.
    double waitMs = 0;    ///< Part of it that is spent waiting for a slot.
    double waitMaxMs = 0; ///< With a longer wait the next best server is better; below 0: any wait.
};

/** What a choice is made for. */
struct ChoiceRequest
{
    ServiceName service;       ///< Service that is to run the call.
    std::set<ServerId> except; ///< Daemons that are not to be asked.
    double kilobytes = 0;      ///< Bytes that would cross between data centres.
};

/**
 * Chooses the server with the least expected time.
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

/** Expected time of one more request at a server. */
struct Expectation
{
    double workMs = 0; ///< At the server, with penalties for what is known against it.
    double waitMs = 0; ///< Before that.
};

/** @return what to expect of a server. @param pending Requests there. */
Expectation expectationOf(const HostLoad &load, unsigned pending, const ChoiceOptions &options);

} // namespace cornelwell
