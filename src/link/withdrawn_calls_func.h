/** @file withdrawn_calls_func.h Calls that are withdrawn before they are handled. */
#pragma once

#include "link/link_message_type.h"

#include <vector>

namespace cornelwell {

/**
 * Removes the calls that a later message of the same list withdraws. A daemon that is behind reads
 * both together, and must not start a call at the server for a caller that has left.
 * @param messages Messages of one link, in their order.
 */
void dropWithdrawnCalls(std::vector<LinkMessage> &messages);

} // namespace cornelwell
