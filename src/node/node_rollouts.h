/** @file node_rollouts.h The roll-out classes of a daemon whose settings ask for roll-outs. */
#pragma once

#include "node/store_client.h"
#include "rollout/evidence_counter.h"
#include "rollout/rollout_evaluator.h"

namespace cornelwell {

/** What ProxyNode needs for roll-outs. */
struct NodeRollouts
{
    NodeRollouts(EventLoop &loop, const Endpoint &store, const PeerTable &peers,
                 const std::function<HostLoad()> &localLoad, std::uint64_t seed)
        : registry(peers, localLoad, RegistryOptions(), seed)
        , watch(WatchOptions(), seed + 1)
        , evaluator(peers, localLoad, registry, watch, EvaluatorOptions())
        , watchClient(loop, store)
    {}

    RolloutRegistry registry;
    RolloutWatch watch;
    RolloutEvaluator evaluator;
    EvidenceCounter evidence;
    StoreClient watchClient;           ///< A waiting watch must not delay other calls.
    bool ownServerCold = false;        ///< The local server is still slow after its start.
    bool ownVersionRolledBack = false; ///< The local server must not run requests any more.
    TimePoint nextAnnounceAt{0};       ///< Next state to peers outside the heartbeats.
};

} // namespace cornelwell
