/** @file version_confirmation.h How long ago the version in force was surely the newest one. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace cornelwell {

/** What a daemon knows of a version, as it tells a peer. */
struct ConfirmationReport
{
    Revision version = 0;       ///< The version; 0 when nothing is known.
    Duration age;               ///< Time since no newer version than this one existed.
    std::uint64_t storeEra = 0; ///< Era of the store in which that was known.
};

/**
 * Keeps the latest time at which surely no version newer than the one in force existed. It works
 * like a lease that answers of the store and of peers renew. All times are of a clock that counts
 * the time for which the VM was suspended. The class does no input or output.
 */
class VersionConfirmation
{
public:
    /** Kind of a call to the store. */
    enum class CallKind : std::uint8_t
    {
        StaleRead, ///< The answer may be seconds old: it confirms nothing.
        Read,      ///< A read of the newest version.
        Watch,     ///< A watch from a known revision; it means nothing in a later era.
    };

    /** Notes that a call to the store leaves at @p now; one call is open at a time. */
    void storeCallSent(CallKind kind, TimePoint now);
    /**
     * Handles a valid answer to that call. The answer counts from the time at which the call was
     * sent, since the store may have read before it answered late.
     * @param version Version in force after the answer was handled.
     */
    void handleStoreAnswer(Revision version);
    /** Handles a version that came into force; what was known of the earlier one holds for it. */
    void handleApplied(Revision version);
    /** Handles a store that came back from an older copy: all knowledge of earlier eras is void. */
    void handleEra(std::uint64_t era);
    /**
     * Handles a peer's answer to a ping.
     * @param sentAt When the ping was sent: the time that both messages took counts as age.
     * @param report What the peer knows.
     * @param version Version in force here.
     * @param now Current time.
     * @return true when the answer renewed the confirmation.
     */
    bool handleReport(TimePoint sentAt, const ConfirmationReport &report, Revision version,
                      TimePoint now);
    /**
     * @return what this daemon knows of the newest version that is not newer than @p version, for a
     * peer that has @p version in force. During a burst of versions the peer always has an earlier
     * one, for which an older confirmation still holds.
     */
    ConfirmationReport reportFor(Revision version, TimePoint now) const;
    /**
     * @return true when a watch would confirm nothing: the revision from which it starts may be of
     * an earlier era, or of a stale read whose documents are older than its revision.
     */
    bool needsRead() const { return !m_readSinceEra; }
    /** @return time since the confirmation; nothing without one. */
    std::optional<Duration> age(TimePoint now) const;

private:
    /** Confirmation of a version while it was in force. */
    struct Entry
    {
        Revision version = 0;
        std::optional<TimePoint> confirmedAt;
    };

    void confirm(TimePoint at);

    std::deque<Entry> m_entries; ///< Versions that were in force, oldest first.
    std::uint64_t m_era = 0;
    CallKind m_callKind = CallKind::StaleRead;
    std::optional<TimePoint> m_callSentAt;
    std::uint64_t m_callEra = 0;
    bool m_readSinceEra = false; ///< A read has been answered in the current era.
};

} // namespace cornelwell
