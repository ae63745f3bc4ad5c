/** @file crash_report_targets_func.h Peers that a daemon passes a crash report on to. */
#pragma once

#include "fleet/peer_table.h"
#include "retry/quarantine_type.h"

#include <vector>

namespace cornelwell {

/**
 * Chooses the linked peers to which a daemon passes a report that is new to it, so that each daemon
 * gets few copies:
 * - the daemon whose server crashed sends it to its whole data centre;
 * - the daemons of that data centre send it to the distributors of the other data centres;
 * - the distributors, a few daemons that rendezvous hashing chooses for the report, send it to
 *   their whole data centre;
 * - a daemon that is not linked to all of its data centre passes it on to a few peers there.
 */
std::vector<ServerId> crashReportTargets(const PeerTable &peers, const CrashReport &report);

} // namespace cornelwell
