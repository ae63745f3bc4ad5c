/** @file daemon.h The one long-running process: wires the slices, starts and stops them. */
#pragma once

#include "base/result.h"
#include "settings/settings_type.h"

namespace cornelwell {

/**
 * Runs a daemon until it is told to stop. SIGTERM or SIGINT: graceful shutdown; a second one: at
 * once.
 * @param settings Checked settings.
 * @return nothing after a graceful shutdown, or why it could not start.
 */
Result<void> runDaemon(const Settings &settings);

} // namespace cornelwell
