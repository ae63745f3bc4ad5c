/** @file link_rollout_internal.h Roll-outs and evidence in the state of a daemon, for the codec
 * only.
 */
#pragma once

#include "rollout/rollout_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace cornelwell {

/** Appends roll-outs and evidence to the array of a daemon's state; nothing when there are none. */
void appendRollouts(nlohmann::json &list, const std::vector<RolloutState> &rollouts,
                    const std::optional<ServerEvidence> &evidence);

/** Reads what appendRollouts() has written; daemons of an earlier build write nothing. */
void readRollouts(const nlohmann::json &list, std::vector<RolloutState> &rollouts,
                  std::optional<ServerEvidence> &evidence);

} // namespace cornelwell
