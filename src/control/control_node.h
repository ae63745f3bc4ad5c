/** @file control_node.h The control of one daemon: membership, distribution and links as one
 * decision. */
#pragma once

#include "base/random.h"
#include "control/control_type.h"
#include "distribution/distribution.h"
#include "membership/membership.h"
#include "retry/quarantine.h"

#include <map>
#include <optional>
#include <set>

namespace cornelwell {

/** Events in, actions out; no sockets, threads or clocks. */
class ControlNode
{
public:
    /**
     * @param self First announcement of this daemon.
     * @param options Timeouts and sizes.
     * @param seed Of all jitter.
     */
    ControlNode(MemberRecord self, ControlOptions options, std::uint64_t seed);

    /** The daemon listens. */
    ControlActions start(TimePoint now);

    /**
     * A link is open.
     * @param link Its number.
     * @param target Endpoint that was asked for by OpenLink; nothing for an accepted link.
     * @param now Time.
     */
    ControlActions linkOpened(LinkId link, const std::optional<Endpoint> &target, TimePoint now);

    /** A link could not be opened. @param refused True when the machine refused the connection. */
    ControlActions linkFailed(const Endpoint &target, bool refused, TimePoint now);

    /** A link was closed by the other side (Ok: in order, for want of use) or broke. */
    ControlActions linkClosed(LinkId link, ResultCode code, TimePoint now);

    /** A message came in. */
    ControlActions receive(LinkId link, const ControlMessage &message, TimePoint now);

    /** The platform answered a watch of the head. */
    ControlActions watchAnswered(const Result<std::optional<StoredObject>> &answer, TimePoint now);

    /** The platform answered a read of snapshot chunks. */
    ControlActions chunksRead(Revision revision, const Result<std::vector<std::string>> &texts,
                              TimePoint now);

    /** The platform answered a read of the contacts. */
    ControlActions contactsRead(const Result<StoredObject> &answer, TimePoint now);

    /** The platform answered a write of the contacts. */
    ControlActions contactsWritten(const Result<std::uint64_t> &answer, TimePoint now);

    /** The server's own state changes. */
    ControlActions announce(MemberState state, TimePoint now);

    /** The call path was refused by a server's machine. */
    ControlActions serverRefused(const ServerId &id, TimePoint now);

    /** A request crashed the backend server on this VM. */
    ControlActions serverCrashed(std::uint64_t fingerprint, const EntryName &entry, TimePoint now);

    /** An operator lets a request through again, on this daemon. */
    ControlActions releaseQuarantine(std::uint64_t fingerprint, TimePoint now);

    /** @return crash reports known. */
    std::vector<CrashReport> crashReports(TimePoint now) { return m_quarantine.reports(now); }

    /** Time passes; to be called about ten times in a second. */
    ControlActions tick(TimePoint now);

    /** @return the table of servers. */
    const Membership &membership() const { return m_membership; }

    /** @return the distribution of versions. */
    const Distribution &distribution() const { return m_distribution; }

    /** @return links on which both sides said hello. */
    std::size_t establishedLinks() const;

private:
    /** One link, from its opening to its closing. */
    struct Link
    {
        std::optional<Endpoint> target;   ///< Set when this daemon opened it.
        std::optional<MemberRecord> peer; ///< Set by the peer's hello.
        TimePoint heard;                  ///< Last message of the peer.
        TimePoint nextHeartbeat;          ///< When the next heartbeat goes out.
        TimePoint lastDigest{0};          ///< Last exchange of digests.
        unsigned mismatches = 0;          ///< Heartbeats in a row with another digest.
        TimePoint unwantedSince = NEVER;  ///< Since when this daemon has no use for it.
    };

    void add(ControlActions &actions, DistributionActions more);
    void add(ControlActions &actions, const MembershipOutcome &outcome, LinkId source);
    void onHello(LinkId id, const HelloMessage &hello, TimePoint now, ControlActions &actions);
    void onHeartbeat(LinkId id, const HeartbeatMessage &beat, TimePoint now,
                     ControlActions &actions);
    void onDigest(LinkId id, const DigestMessage &digest, ControlActions &actions);
    void takeCrashes(const std::vector<CrashReport> &reports, LinkId source, TimePoint now,
                     ControlActions &actions);
    bool resolveDoubleLink(LinkId id, const MemberRecord &peer, ControlActions &actions);
    void sendDigest(LinkId id, TimePoint now, ControlActions &actions);
    void drop(LinkId id, ResultCode code, ControlActions &actions);
    void forgetLink(LinkId id);
    void open(const Endpoint &endpoint, TimePoint now, ControlActions &actions);
    void expireQuarantine(TimePoint now, ControlActions &actions);
    void heartbeats(TimePoint now, ControlActions &actions);
    void maintainLinks(TimePoint now, ControlActions &actions);
    void maintainRemoteLinks(TimePoint now, ControlActions &actions, std::set<ServerId> &wanted);
    void heal(TimePoint now, ControlActions &actions);
    void bootstrap(TimePoint now, ControlActions &actions);
    void chooseEagerLinks(const std::set<ServerId> &wanted);
    void closeUnwanted(const std::set<ServerId> &wanted, TimePoint now, ControlActions &actions);
    void updateRole(TimePoint now, ControlActions &actions);
    void maintainContacts(TimePoint now, ControlActions &actions);
    void writeContacts(TimePoint now, ControlActions &actions);
    bool linkedTo(const ServerId &id) const;
    bool linkedToDataCentre(const DataCentreId &dataCentre) const;
    std::vector<Endpoint> livingContacts() const;
    bool isLivingPeer(const Endpoint &endpoint) const;
    std::optional<Endpoint> randomContact(const DataCentreId &dataCentre);
    std::string linkName(const Link &link) const;

    const ControlOptions m_options;
    Random m_random;
    Membership m_membership;
    Distribution m_distribution;
    Quarantine m_quarantine{QuarantineOptions()};
    std::uint64_t m_nextCrash = 1;
    std::vector<std::uint64_t> m_quarantined;
    std::map<LinkId, Link> m_links;
    std::map<Endpoint, TimePoint> m_opening; ///< Links being opened, and until when to wait.
    std::map<Endpoint, TimePoint> m_retryAt; ///< Endpoints that failed, and when to try again.
    ContactMap m_contacts;
    std::uint64_t m_contactsVersion = 0;
    bool m_contactsKnown = false;
    bool m_contactsBusy = false;
    TimePoint m_started{0};
    TimePoint m_nextContacts{0};
    TimePoint m_nextHeal{0};
    TimePoint m_nextLinks{0};
    TimePoint m_roleFrom{0};
    bool m_relayRole = false;
};

} // namespace cornelwell
