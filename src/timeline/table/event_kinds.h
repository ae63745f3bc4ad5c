/** @file event_kinds.h Names of the events of the time line. */
#pragma once

#include "timeline/timeline_type.h"

#include <iterator>

namespace cornelwell {

/** Names in the order of EventKind. */
constexpr const char *EVENT_KIND_NAMES[] = {
    "DaemonStarted",   "DaemonDraining",     "DaemonStopped",  "PlatformLost",    "PlatformBack",
    "RelayRoleTaken",  "RelayRoleLeft",      "VersionApplied", "VersionRejected", "SnapshotTaken",
    "LinkOpened",      "LinkClosed",         "MemberJoined",   "MemberSuspected", "MemberFailed",
    "MemberRecovered", "MemberStateChanged", "BackendUp",      "BackendDown",     "CallRefused",
    "CallFailed",      "CallUnknown",        "CallRetried",    "CallQuarantined", "LimitGranted",
    "LimitLapsed",     "LeaseTaken",         "LeaseLost",
};

static_assert(std::size(EVENT_KIND_NAMES) == static_cast<std::size_t>(EventKind::Count),
              "a name for each kind of event");

} // namespace cornelwell
