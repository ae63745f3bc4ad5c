/** @file peer_discovery.h How daemons find each other through the platform's store: the decision. */
#pragma once

#include "base/random.h"
#include "base/result.h"
#include "fleet/peer_table.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** An announcement as it is stored. */
struct StoredDaemon
{
    DaemonRecord record;        ///< The announcement.
    std::uint64_t revision = 0; ///< Revision of its object.
};
/** Answer to an announcement. */
struct AnnounceAnswer
{
    bool written = false;               ///< It is stored now.
    std::optional<StoredDaemon> stored; ///< What is stored instead, when it was not written.
};
/** One page of announcements. */
struct DaemonPage
{
    std::vector<StoredDaemon> daemons; ///< In order of name.
    bool more = false;                 ///< Others follow.
    std::string last;                  ///< Name of the last object, to continue after it.
};

/** Store this daemon's announcement; the answer comes as announced. */
struct AnnounceSelf
{
    std::uint64_t revision = 0; ///< Revision that it replaces; 0 to create it.
};
/** List announcements; the answer comes as listed. */
struct ListDaemons
{
    std::string after; ///< Begin behind this name; an answer that is seconds old will do.
};
/** An action of the directory. */
using DirectoryAction = std::variant<AnnounceSelf, ListDaemons>;
using DirectoryActions = std::vector<DirectoryAction>;

/** Timeouts of the directory. */
struct DirectoryOptions
{
    Duration retryMin = {100};    ///< First pause after a failed call.
    Duration retryMax = {2000};   ///< Longest pause.
    Duration lookAgain = {12000}; ///< Pause between lists.
    Duration settling = {1200};   ///< Pause between the first ones,
    unsigned settlingLists = 3;   ///< of which there are so many.
};

/**
 * Each daemon stores its announcement and then lists the others': of two daemons the one that lists
 * later finds the other, and tells it by opening a link.
 */
class Directory
{
public:
    Directory(PeerTable &table, DirectoryOptions options, std::uint64_t seed)
        : m_table(table), m_options(options), m_random(seed)
    {}

    /** The daemon starts. */
    DirectoryActions start();
    /** The store answered an announcement. */
    DirectoryActions announced(const Result<AnnounceAnswer> &answer, TimePoint now);
    /** The store answered a list. */
    DirectoryActions listed(const Result<DaemonPage> &answer, TimePoint now);
    /** Time passes. */
    DirectoryActions tick(TimePoint now);

private:
    /** What is done next. */
    enum class Step : std::uint8_t
    {
        Announce,
        List,
        Settled,
    };

    DirectoryActions next();
    void failed(TimePoint now);

    PeerTable &m_table;
    const DirectoryOptions m_options;
    Random m_random;
    Step m_step = Step::Announce;
    bool m_callOpen = false;
    unsigned m_lists = 0; ///< Whole lists so far.
    std::uint64_t m_ownRevision = 0;
    std::string m_after;
    Duration m_pause{0};
    TimePoint m_nextCall{0};
};

} // namespace cornelwell
