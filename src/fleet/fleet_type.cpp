/** @file fleet_type.cpp Names of the server states. */
#include "fleet/fleet_type.h"

#include <iterator>

namespace cornelwell {

namespace {

constexpr const char *STATE_NAMES[] = {"none", "ready", "draining", "down"};
static_assert(std::size(STATE_NAMES) == static_cast<std::size_t>(HostState::Count),
              "each state needs a name");

} // namespace

const char *hostStateName(HostState state)
{
    return STATE_NAMES[static_cast<std::size_t>(state)];
}

} // namespace cornelwell
