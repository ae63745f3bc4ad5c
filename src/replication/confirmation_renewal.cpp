/** @file confirmation_renewal.cpp Interval of pings; reads of the store by rank and age. */
#include "replication/confirmation_renewal.h"

namespace cornelwell {

namespace {

/** A ping every second tick of 200 ms; a little less, so that a late tick does not skip one. */
constexpr Duration PING_INTERVAL{380};
/**
 * Age of the confirmation at which rank 0 reads the store. With a watch of one second the age
 * reaches 2000 ms at a watcher and 2400 ms at the daemons that ask it.
 */
constexpr Duration READ_AGE{2500};
/** The same after a start, when there is no confirmation yet and links are still opening. */
constexpr Duration FIRST_READ_DELAY{1000};
constexpr Duration READ_DELAY_PER_RANK{200};
constexpr unsigned READING_RANKS = 6; ///< Lower ranks never read for the confirmation.

constexpr Duration WATCH_TIMEOUT{1000};
constexpr Duration FIRST_WATCH_TIMEOUT{100};
/** A watcher sends its next watch at an age of WATCH_TIMEOUT and the time of one call. */
constexpr Duration WATCHER_AGE_MAX{1500};

} // namespace

Duration confirmingWatchTimeout(std::optional<Duration> age)
{
    return age && *age <= WATCHER_AGE_MAX ? WATCH_TIMEOUT : FIRST_WATCH_TIMEOUT;
}

RenewalDue ConfirmationRenewal::tick(std::optional<Duration> age, const PeerTable &peers,
                                     TimePoint now)
{
    RenewalDue due;
    if (m_since == NEVER || age)
        m_since = now;
    if (now >= m_nextPingAt) {
        m_nextPingAt = now + PING_INTERVAL;
        due.pings = true;
    }
    const Duration overdue = age ? *age - READ_AGE : now - m_since - FIRST_READ_DELAY;
    if (overdue < Duration{0})
        return due;
    const unsigned rank = peers.rankInDataCentre(now);
    due.read = rank < READING_RANKS && overdue >= READ_DELAY_PER_RANK * rank;
    return due;
}

} // namespace cornelwell
