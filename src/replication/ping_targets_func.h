/** @file ping_targets_func.h Which peers a daemon asks whether its version is the newest. */
#pragma once

#include "base/random.h"
#include "fleet/peer_table.h"

#include <vector>

namespace cornelwell {

/** Peers that are asked at a time. */
constexpr std::size_t PING_TARGETS_MAX = 4;

/**
 * Chooses responsive peers that read pings. In a small data centre, and for the highest ranks of a
 * large one, these are watchers first. The other daemons of a large data centre ask daemons of
 * those ranks, since a watcher could not answer all of them within its control budget.
 * @param peers The peers.
 * @param now Current time.
 * @param random Source of the random choices.
 */
std::vector<ServerId> choosePingTargets(const PeerTable &peers, TimePoint now, Random &random);

} // namespace cornelwell
