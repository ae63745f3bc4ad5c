/** @file membership.h Which servers there are and in what state: the decision, without input and
 * output. */
#pragma once

#include "membership/membership_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cornelwell {

/**
 * The table of servers. A server's own announcements are ordered by incarnation and sequence; of
 * one announcement the gravest opinion holds. A suspected server answers by a new announcement.
 */
class Membership
{
public:
    /**
     * @param self First announcement of this daemon.
     * @param options Timeouts.
     */
    Membership(MemberRecord self, MembershipOptions options);

    /** @return this daemon's newest announcement. */
    const MemberRecord &self() const;

    /** Announces a state of this server. */
    MembershipOutcome announce(MemberState state, TimePoint now);

    /** Takes in what a peer claims; what is new is told on. */
    MembershipOutcome receive(const std::vector<MemberClaim> &claims, TimePoint now);

    /**
     * A link to a server broke and could not be opened again.
     * @param id The server.
     * @param refused True when its machine refused the connection: the daemon is not running.
     * @param now Time.
     */
    MembershipOutcome suspect(const ServerId &id, bool refused, TimePoint now);

    /** Lets suspicions run out and forgets old failures. */
    MembershipOutcome tick(TimePoint now);

    /** @return all servers by name, failed ones included. */
    const std::map<ServerId, Member> &members() const { return m_members; }

    /** @return the server, or null. */
    const Member *find(const ServerId &id) const;

    /** @return hash of the living servers of a data centre; equal tables have equal digests. */
    std::uint64_t digest(const DataCentreId &dataCentre) const;

    /** @return hash of all living servers. */
    std::uint64_t digest() const;

    /** @return claims about the servers of a data centre that are worth telling to a peer. */
    std::vector<MemberClaim> claims(const DataCentreId &dataCentre) const;

    /** @return data centres known, in order of name. */
    std::vector<DataCentreId> dataCentres() const;

    /** @return the daemons of a data centre that watch the platform and link to other data centres.
     */
    std::vector<ServerId> relays(const DataCentreId &dataCentre) const;

    /** @return true when this daemon is one of its data centre's relays. */
    bool isRelay() const;

    /**
     * Chooses the peers of this data centre that this daemon links to: its successor on the ring of
     * hashes, which keeps the links connected, and others by rendezvous hashing, which keeps them
     * short.
     * @param count Number of links.
     * @return the servers, fewer when there are fewer.
     */
    std::vector<ServerId> linkTargets(unsigned count) const;

private:
    MembershipOutcome told(MembershipOutcome outcome);
    void refute(std::uint64_t incarnation, std::uint64_t sequence, MembershipOutcome &outcome);
    void take(const MemberClaim &claim, TimePoint now, MembershipOutcome &outcome);
    void takeOpinion(Member &member, const MemberClaim &claim, TimePoint now,
                     MembershipOutcome &outcome);
    void formOpinion(Member &member, MemberOpinion opinion, TimePoint now,
                     MembershipOutcome &outcome);

    const ServerId m_selfId;
    const MembershipOptions m_options;
    std::map<ServerId, Member> m_members;
    mutable std::optional<std::uint64_t> m_digest; ///< Kept until something is told.
};

/** @return true when the server is alive, suspected or not, and has not left. */
bool isLiving(const Member &member);

} // namespace cornelwell
