/** @file peer_discovery.h Discovery of the other daemons through the platform's store. */
#pragma once

#include "base/random.h"
#include "base/result.h"
#include "fleet/peer_table.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** An announcement as the platform's store holds it. */
struct StoredDaemon
{
    DaemonRecord record;        ///< The announcement.
    std::uint64_t revision = 0; ///< Revision of the stored object.
};
/** Answer of the store to AnnounceSelf. */
struct AnnounceAnswer
{
    bool written = false; ///< The store now holds the announcement.
    std::optional<StoredDaemon>
        stored; ///< The object that the store kept when nothing was written.
};
/** One page of the answer to ListDaemons. */
struct DaemonPage
{
    std::vector<StoredDaemon> daemons; ///< Announcements, sorted by name.
    bool more = false;                 ///< More pages follow.
    std::string last;                  ///< Name of the last object, for ListDaemons::after.
    /** Parts of the answer that cannot be read, with their places; for logs. */
    std::vector<Error> faults;
};

/** Write this daemon's announcement to the store; then call handleAnnounceAnswer(). */
struct AnnounceSelf
{
    std::uint64_t revision = 0; ///< Revision that the write replaces; 0 creates the object.
};
/**
 * Read one page of announcements; then call handleListAnswer(). An answer that is some seconds old
 * is good enough.
 */
struct ListDaemons
{
    std::string after; ///< The page starts after this name; empty for the first page.
};
/** An action of the discovery. */
using DiscoveryAction = std::variant<AnnounceSelf, ListDaemons>;
using DiscoveryActions = std::vector<DiscoveryAction>;

/** Delays between the discovery's calls to the store. Random jitter changes each by up to half. */
struct DiscoveryOptions
{
    Duration retryDelayMin = {100};        ///< Delay after the first failed call.
    Duration retryDelayMax = {2000};       ///< Limit of the delay, which doubles per failed call.
    Duration listInterval = {12000};       ///< Delay after a complete list.
    Duration startupListInterval = {1200}; ///< Delay after each of the first complete lists.
    unsigned startupListCount = 3;         ///< Number of lists that use startupListInterval.
};

/**
 * Writes this daemon's announcement to the platform's store and then lists those of the others. Of
 * two daemons the one that lists later finds the other, and announces itself to it by opening a
 * link.
 */
class PeerDiscovery
{
public:
    /**
     * @param table Receives the daemons that are found; must outlive this object.
     * @param options Delays between calls.
     * @param seed Seed of the jitter.
     */
    PeerDiscovery(PeerTable &table, DiscoveryOptions options, std::uint64_t seed)
        : m_table(table), m_options(options), m_random(seed)
    {}

    /** @return the first action. */
    DiscoveryActions start();
    /**
     * Handles the store's answer to AnnounceSelf.
     * @param answer The answer, or the error of a call that is to be retried.
     * @param now Current time.
     * @return the next actions.
     */
    DiscoveryActions handleAnnounceAnswer(const Result<AnnounceAnswer> &answer, TimePoint now);
    /**
     * Handles the store's answer to ListDaemons.
     * @param answer The page, or the error of a call that is to be retried.
     * @param now Current time.
     * @return the next actions.
     */
    DiscoveryActions handleListAnswer(const Result<DaemonPage> &answer, TimePoint now);
    /**
     * Handles a store that came back from an older copy, which may lack the announcement: it is
     * written again, and the others are listed again.
     */
    void handleStoreRestored(TimePoint now);
    /** @return the call that is due at @p now, if any. */
    DiscoveryActions tick(TimePoint now);

private:
    /** Next call to the store. */
    enum class Step : std::uint8_t
    {
        Announce, ///< Write the announcement.
        List,     ///< List all announcements for the first time.
        Relist,   ///< List them again after an interval.
    };

    DiscoveryActions nextCall();
    void scheduleRetry(TimePoint now);

    PeerTable &m_table;
    const DiscoveryOptions m_options;
    Random m_random;
    Step m_step = Step::Announce;
    bool m_callPending = false;
    bool m_announceAgain = false; ///< The store may have lost the announcement.
    unsigned m_completeLists = 0;
    std::uint64_t m_ownRevision = 0; ///< Revision of the stored own announcement; 0 when unknown.
    std::string m_after;             ///< Where the next page starts.
    Duration m_retryDelay{0};
    TimePoint m_nextCallAt{0};
};

} // namespace cornelwell
