/** @file store_call_groups.h Names of the groups of store calls. */
#pragma once

namespace cornelwell {

/** By StoreCallGroup. */
constexpr const char *STORE_CALL_GROUP_NAMES[] = {"routes", "fleet", "departures", "rollouts"};

} // namespace cornelwell
