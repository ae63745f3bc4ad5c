/** @file confirmation_renewal.h When a daemon asks peers or the store whether its version is the
 * newest. */
#pragma once

#include "fleet/peer_table.h"

#include <optional>

namespace cornelwell {

/**
 * @return the longest wait of a watch while the confirmation is needed. Its answer counts from the
 * time it was sent, so it is one second, and shorter for a daemon that has just begun to watch
 * because another one failed: the confirmation of the data centre may be about to run out.
 * @param age Age of the confirmation; nothing without one.
 */
Duration confirmingWatchTimeout(std::optional<Duration> age);

/** What is due at a tick. */
struct RenewalDue
{
    bool pings = false; ///< Ask the peers of choosePingTargets().
    bool read = false;  ///< Read the store.
};

/**
 * Decides when the confirmation of the version is renewed. Peers are asked at a fixed interval. The
 * first ranks of a data centre read the store themselves when that does not keep the confirmation
 * young, as after the death of a watcher: another daemon watches only when it has noticed the
 * death, and its first watch may take a second. A few ranks suffice, and a long outage costs few
 * calls.
 */
class ConfirmationRenewal
{
public:
    /** Nothing is due while the confirmation is not needed. */
    void stop() { m_since = NEVER; }
    /**
     * @param age Age of the confirmation; nothing without one.
     * @param peers The peers.
     * @param now Current time.
     */
    RenewalDue tick(std::optional<Duration> age, const PeerTable &peers, TimePoint now);

private:
    TimePoint m_nextPingAt{0};
    TimePoint m_since = NEVER; ///< When there was a confirmation last, or the need for it began.
};

} // namespace cornelwell
