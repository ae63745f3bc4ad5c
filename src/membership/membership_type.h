/** @file membership_type.h Servers as the daemons know them. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** What a server says of itself. */
enum class MemberState : std::uint8_t
{
    Warming,  ///< The daemon runs; its backend server does not answer yet.
    Ready,    ///< Takes new calls.
    Draining, ///< Takes no new calls and finishes the ones it has.
    Gone,     ///< Has left.
    Count,    ///< Number of states; not a state.
};

/** What others say of a server. */
enum class MemberOpinion : std::uint8_t
{
    Alive,     ///< Nothing speaks against it.
    Suspected, ///< Somebody cannot reach it.
    Failed,    ///< It did not answer a suspicion in time.
    Count,     ///< Number of opinions; not an opinion.
};

/** What a server announces of itself; only its own daemon makes new ones. */
struct MemberRecord
{
    ServerId id;                   ///< Name of the server.
    std::uint64_t incarnation = 0; ///< Grows with each start of its daemon.
    std::uint64_t sequence = 0;    ///< Grows with each announcement of one incarnation.
    DataCentreId dataCentre;       ///< Its data centre.
    std::string address;           ///< IP number of its daemon.
    std::uint16_t callPort = 0;    ///< HTTP, for callers.
    std::uint16_t relayPort = 0;   ///< HTTP, for calls from other daemons.
    std::uint16_t peerPort = 0;    ///< WebSocket, for control messages.
    std::uint16_t adminPort = 0;   ///< HTTP, for operators.
    ServiceName service;           ///< Service of its backend server; empty when it has none.
    std::uint32_t slots = 0;       ///< Requests that the backend server runs at once.
    MemberState state = MemberState::Warming; ///< Its own state.
};

/** A record with somebody's opinion of it: what daemons tell each other. */
struct MemberClaim
{
    MemberRecord record;                          ///< What the server announced.
    MemberOpinion opinion = MemberOpinion::Alive; ///< What is said of it.
};

/** A server as this daemon knows it. */
struct Member
{
    MemberRecord record;                          ///< Newest announcement.
    MemberOpinion opinion = MemberOpinion::Alive; ///< Gravest opinion of that announcement.
    TimePoint opinionSince;                       ///< When the opinion was formed here.
    TimePoint opinionEnds = NEVER;                ///< When a suspicion becomes a failure.
    TimePoint readySince = NEVER;                 ///< When it was first seen ready, for slow start.
};

/** Timeouts of the membership. */
struct MembershipOptions
{
    Duration suspicion;                 ///< Time a suspected server has to answer.
    Duration tombstone = seconds(3600); ///< Failed and gone servers are remembered for this long.
    unsigned relaysPerDataCentre = 2;   ///< Daemons of a data centre that watch the platform.
};

/** Something that changed, for the time line. */
struct MembershipNews
{
    enum class Kind : std::uint8_t
    {
        Joined,
        Suspected,
        Failed,
        Recovered,
        StateChanged
    };

    Kind kind = Kind::Joined; ///< What changed.
    MemberRecord record;      ///< Of whom.
};

/** What an input led to. */
struct MembershipOutcome
{
    std::vector<MemberClaim> tell;    ///< To be told to all linked peers.
    std::vector<MembershipNews> news; ///< For the time line.
    bool changed = false;             ///< True when endpoints may have changed.
};

/** @return the name of the state. */
const char *memberStateName(MemberState state);

/** @return the name of the opinion. */
const char *memberOpinionName(MemberOpinion opinion);

} // namespace cornelwell
