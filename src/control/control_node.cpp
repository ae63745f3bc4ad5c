/** @file control_node.cpp Events of the control and the messages they lead to. */
#include "control/control_node.h"

#include "base/endpoint_func.h"
#include "base/hash_func.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr unsigned MISMATCHES_BEFORE_DIGEST
    = 2; ///< Heartbeats with another digest before tables are compared.
constexpr Duration DIGEST_PAUSE = {2000}; ///< Between two comparisons on one link.

EventKind eventOf(MembershipNews::Kind kind)
{
    switch (kind) {
    case MembershipNews::Kind::Joined:
        return EventKind::MemberJoined;
    case MembershipNews::Kind::Suspected:
        return EventKind::MemberSuspected;
    case MembershipNews::Kind::Failed:
        return EventKind::MemberFailed;
    case MembershipNews::Kind::Recovered:
        return EventKind::MemberRecovered;
    case MembershipNews::Kind::StateChanged:
        return EventKind::MemberStateChanged;
    }
    return EventKind::MemberJoined;
}

/** Names one announcement of a server, so that all daemons' events about it have one cause. */
std::string announcementName(const MemberRecord &record)
{
    return record.id.text() + "#" + std::to_string(record.incarnation) + "."
           + std::to_string(record.sequence);
}

Endpoint peerEndpoint(const MemberRecord &record)
{
    return {record.address, record.peerPort};
}

/** Turns the distribution's actions into those of the control. */
struct ActionMapper
{
    ControlActions &actions;

    void operator()(SendDistribution &send) const
    {
        const LinkId link = send.link;
        std::visit(
            [&](auto &message) {
                actions.push_back(SendMessage{link, std::move(message)});
            },
            send.message);
    }
    void operator()(WatchHead &watch) const { actions.push_back(watch); }
    void operator()(ReadChunks &read) const { actions.push_back(std::move(read)); }
    void operator()(ApplyVersion &apply) const
    {
        const std::string subject = "version " + std::to_string(apply.configuration->revision());
        const EventKind kind = apply.whole ? EventKind::SnapshotTaken : EventKind::VersionApplied;
        actions.push_back(RecordEvent{kind, apply.cause, subject,
                                      hex64(apply.configuration->digest()), ResultCode::Ok});
        actions.push_back(std::move(apply));
    }
    void operator()(ReportRejected &report) const
    {
        actions.push_back(RecordEvent{EventKind::VersionRejected,
                                      {},
                                      "version " + std::to_string(report.revision),
                                      report.error.detail,
                                      report.error.code});
    }
    void operator()(ReportPlatform &report) const
    {
        const EventKind kind = report.answers ? EventKind::PlatformBack : EventKind::PlatformLost;
        actions.push_back(
            RecordEvent{kind, {}, "platform", report.error.detail, report.error.code});
    }
};

} // namespace

ControlNode::ControlNode(MemberRecord self, ControlOptions options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
    , m_membership(std::move(self), m_options.membership)
    , m_distribution(m_options.distribution, seed + 1)
{}

void ControlNode::add(ControlActions &actions, DistributionActions more)
{
    for (DistributionAction &action : more)
        std::visit(ActionMapper{actions}, action);
}

void ControlNode::add(ControlActions &actions, const MembershipOutcome &outcome, LinkId source)
{
    for (const MembershipNews &news : outcome.news) {
        const std::string detail = news.kind == MembershipNews::Kind::StateChanged
                                       ? memberStateName(news.record.state)
                                       : std::string();
        actions.push_back(RecordEvent{eventOf(news.kind), announcementName(news.record),
                                      news.record.id.text(), detail, ResultCode::Ok});
    }
    if (!outcome.tell.empty()) {
        for (const auto &item : m_links) {
            if (item.first != source && item.second.peer)
                actions.push_back(SendMessage{item.first, MembersMessage{outcome.tell}});
        }
    }
    if (outcome.changed)
        actions.push_back(MembersChanged{});
}

std::size_t ControlNode::establishedLinks() const
{
    return static_cast<std::size_t>(
        std::count_if(m_links.begin(), m_links.end(),
                      [](const auto &item) { return item.second.peer.has_value(); }));
}

bool ControlNode::linkedTo(const ServerId &id) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&](const auto &item) {
        return item.second.peer && item.second.peer->id == id;
    });
}

bool ControlNode::linkedToDataCentre(const DataCentreId &dataCentre) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&](const auto &item) {
        return item.second.peer && item.second.peer->dataCentre == dataCentre;
    });
}

std::string ControlNode::linkName(const Link &link) const
{
    if (link.peer)
        return link.peer->id.text();
    return link.target ? formatEndpoint(*link.target) : "unknown peer";
}

ControlActions ControlNode::start(TimePoint now)
{
    ControlActions actions;
    m_started = now;
    m_roleFrom = now + m_random.jitter(m_options.isolationGrace);
    for (const Endpoint &seed : m_options.seeds)
        open(seed, now, actions);
    m_contactsBusy = true;
    actions.push_back(ReadContacts{});
    actions.push_back(MembersChanged{});
    return actions;
}

ControlActions ControlNode::linkOpened(LinkId id, const std::optional<Endpoint> &target,
                                       TimePoint now)
{
    ControlActions actions;
    Link link;
    link.target = target;
    link.heard = now;
    link.nextHeartbeat = now + m_random.jitter(m_options.heartbeat);
    if (target) {
        m_opening.erase(*target);
        m_retryAt.erase(*target);
    }
    m_links[id] = link;
    actions.push_back(
        SendMessage{id, HelloMessage{MESSAGE_FORMAT_MIN, MESSAGE_FORMAT_MAX, m_membership.self(),
                                     m_distribution.heldRevision()}});
    return actions;
}

ControlActions ControlNode::linkFailed(const Endpoint &target, bool refused, TimePoint now)
{
    ControlActions actions;
    m_opening.erase(target);
    m_retryAt[target] = now + m_random.jitter(m_options.linkRetry);
    for (const auto &item : m_membership.members()) {
        if (peerEndpoint(item.second.record) != target || !isLiving(item.second))
            continue;
        const ServerId id = item.first;
        add(actions, m_membership.suspect(id, refused, now), 0);
        break;
    }
    return actions;
}

void ControlNode::forgetLink(LinkId id)
{
    m_links.erase(id);
    m_distribution.linkClosed(id);
}

void ControlNode::drop(LinkId id, ResultCode code, ControlActions &actions)
{
    const Link &link = m_links.at(id);
    if (code != ResultCode::Ok)
        actions.push_back(RecordEvent{EventKind::LinkClosed, {}, linkName(link), {}, code});
    actions.push_back(CloseLink{id, code});
    forgetLink(id);
}

ControlActions ControlNode::linkClosed(LinkId id, ResultCode code, TimePoint now)
{
    ControlActions actions;
    const auto at = m_links.find(id);
    if (at == m_links.end())
        return actions;
    const Link link = at->second;
    forgetLink(id);
    // An orderly end says that the peer has no use for the link, not that it is gone.
    if (!link.peer || code == ResultCode::Ok)
        return actions;
    actions.push_back(RecordEvent{EventKind::LinkClosed, {}, linkName(link), {}, code});
    // Whether the peer is gone shows when the link is opened anew: it is then refused.
    const Member *member = m_membership.find(link.peer->id);
    if (member != nullptr && isLiving(*member) && !linkedTo(link.peer->id))
        open(peerEndpoint(member->record), now, actions);
    return actions;
}

void ControlNode::open(const Endpoint &endpoint, TimePoint now, ControlActions &actions)
{
    const MemberRecord &self = m_membership.self();
    const bool mine = endpoint == peerEndpoint(self);
    const auto retry = m_retryAt.find(endpoint);
    if (mine || m_opening.count(endpoint) != 0 || (retry != m_retryAt.end() && now < retry->second))
        return;
    m_opening[endpoint] = now + m_options.silence;
    actions.push_back(OpenLink{endpoint});
}

bool ControlNode::resolveDoubleLink(LinkId id, const MemberRecord &peer, ControlActions &actions)
{
    for (const auto &item : m_links) {
        const Link &other = item.second;
        if (item.first == id || !other.peer || other.peer->id != peer.id)
            continue;
        // Both sides keep the link that the server with the lesser name opened, else the newer one.
        const bool sameLife = other.peer->incarnation == peer.incarnation;
        const bool mineFirst = m_membership.self().id < peer.id;
        const bool oldIsMine = other.target.has_value();
        const bool newIsMine = m_links.at(id).target.has_value();
        const bool keepOld = sameLife && oldIsMine != newIsMine && oldIsMine == mineFirst;
        drop(keepOld ? id : item.first, ResultCode::Ok, actions);
        return !keepOld;
    }
    return true;
}

void ControlNode::onHello(LinkId id, const HelloMessage &hello, TimePoint now,
                          ControlActions &actions)
{
    const bool inCommon
        = hello.formatMin <= MESSAGE_FORMAT_MAX && hello.formatMax >= MESSAGE_FORMAT_MIN;
    if (!inCommon) {
        drop(id, ResultCode::PeerVersion, actions);
        return;
    }
    if (hello.sender.id == m_membership.self().id) {
        // A second daemon with this name, or this one itself through a seed of its own.
        drop(id, ResultCode::PeerMismatch, actions);
        return;
    }
    if (!resolveDoubleLink(id, hello.sender, actions))
        return;
    Link &link = m_links.at(id);
    link.peer = hello.sender;
    actions.push_back(
        RecordEvent{EventKind::LinkOpened, {}, hello.sender.id.text(), {}, ResultCode::Ok});
    m_distribution.linkOpened(id);
    actions.push_back(
        SendMessage{id, MembersMessage{{{m_membership.self(), MemberOpinion::Alive}}}});
    add(actions, m_membership.receive({{hello.sender, MemberOpinion::Alive}}, now), id);
    sendDigest(id, now, actions);
    CrashesMessage crashes{m_quarantine.reports(now)};
    if (!crashes.reports.empty())
        actions.push_back(SendMessage{id, std::move(crashes)});
    add(actions, m_distribution.peerRevision(id, hello.revision, now));
}

void ControlNode::sendDigest(LinkId id, TimePoint now, ControlActions &actions)
{
    DigestMessage message;
    for (const DataCentreId &dataCentre : m_membership.dataCentres())
        message.digests.push_back({dataCentre, m_membership.digest(dataCentre)});
    m_links.at(id).lastDigest = now;
    m_links.at(id).mismatches = 0;
    actions.push_back(SendMessage{id, std::move(message)});
}

void ControlNode::onDigest(LinkId id, const DigestMessage &digest, ControlActions &actions)
{
    MembersMessage answer;
    for (const DataCentreId &dataCentre : m_membership.dataCentres()) {
        const auto same = [&](const DataCentreDigest &theirs) {
            return theirs.dataCentre == dataCentre
                   && theirs.digest == m_membership.digest(dataCentre);
        };
        if (std::any_of(digest.digests.begin(), digest.digests.end(), same))
            continue;
        const std::vector<MemberClaim> claims = m_membership.claims(dataCentre);
        answer.claims.insert(answer.claims.end(), claims.begin(), claims.end());
    }
    if (!answer.claims.empty())
        actions.push_back(SendMessage{id, std::move(answer)});
}

void ControlNode::onHeartbeat(LinkId id, const HeartbeatMessage &beat, TimePoint now,
                              ControlActions &actions)
{
    add(actions, m_distribution.peerRevision(id, beat.revision, now));
    Link &link = m_links.at(id);
    link.mismatches = beat.memberDigest == m_membership.digest() ? 0 : link.mismatches + 1;
    if (link.mismatches >= MISMATCHES_BEFORE_DIGEST && now - link.lastDigest > DIGEST_PAUSE)
        sendDigest(id, now, actions);
}

ControlActions ControlNode::receive(LinkId id, const ControlMessage &message, TimePoint now)
{
    ControlActions actions;
    const auto at = m_links.find(id);
    if (at == m_links.end())
        return actions;
    at->second.heard = now;
    if (const auto *hello = std::get_if<HelloMessage>(&message)) {
        if (!at->second.peer)
            onHello(id, *hello, now, actions);
        return actions;
    }
    if (!at->second.peer) {
        drop(id, ResultCode::PeerMalformed, actions);
        return actions;
    }
    if (const auto *beat = std::get_if<HeartbeatMessage>(&message))
        onHeartbeat(id, *beat, now, actions);
    else if (const auto *members = std::get_if<MembersMessage>(&message))
        add(actions, m_membership.receive(members->claims, now), id);
    else if (const auto *digest = std::get_if<DigestMessage>(&message))
        onDigest(id, *digest, actions);
    else if (const auto *changes = std::get_if<ChangesMessage>(&message))
        add(actions, m_distribution.receive(id, *changes, now));
    else if (const auto *request = std::get_if<ChangesRequest>(&message))
        add(actions, m_distribution.receive(id, *request, now));
    else if (const auto *snapshot = std::get_if<SnapshotMessage>(&message))
        add(actions, m_distribution.receive(id, *snapshot, now));
    else if (const auto *crashes = std::get_if<CrashesMessage>(&message))
        takeCrashes(crashes->reports, id, now, actions);
    else if (const auto *later = std::get_if<RetryLater>(&message))
        add(actions, m_distribution.receive(id, *later, now));
    return actions;
}

ControlActions ControlNode::watchAnswered(const Result<std::optional<StoredObject>> &answer,
                                          TimePoint now)
{
    ControlActions actions;
    add(actions, m_distribution.watchAnswered(answer, now));
    add(actions, m_distribution.tick(now));
    return actions;
}

ControlActions ControlNode::chunksRead(Revision revision,
                                       const Result<std::vector<std::string>> &texts, TimePoint now)
{
    ControlActions actions;
    add(actions, m_distribution.chunksRead(revision, texts, now));
    add(actions, m_distribution.tick(now));
    return actions;
}

ControlActions ControlNode::announce(MemberState state, TimePoint now)
{
    ControlActions actions;
    add(actions, m_membership.announce(state, now), 0);
    return actions;
}

ControlActions ControlNode::serverRefused(const ServerId &id, TimePoint now)
{
    ControlActions actions;
    add(actions, m_membership.suspect(id, true, now), 0);
    return actions;
}

ControlActions ControlNode::serverCrashed(std::uint64_t fingerprint, const EntryName &entry,
                                          TimePoint now)
{
    ControlActions actions;
    const MemberRecord &self = m_membership.self();
    // The incarnation keeps the numbers of two lives of this daemon apart.
    const CrashReport report{fingerprint, self.id, self.incarnation + m_nextCrash++, entry, {0}};
    takeCrashes({report}, 0, now, actions);
    return actions;
}

ControlActions ControlNode::releaseQuarantine(std::uint64_t fingerprint, TimePoint now)
{
    ControlActions actions;
    m_quarantine.release(fingerprint);
    m_quarantined = m_quarantine.quarantinedFingerprints(now);
    actions.push_back(QuarantineChanged{m_quarantined});
    return actions;
}

void ControlNode::takeCrashes(const std::vector<CrashReport> &reports, LinkId source, TimePoint now,
                              ControlActions &actions)
{
    CrashesMessage news;
    for (const CrashReport &report : reports) {
        if (m_quarantine.add(report, now))
            news.reports.push_back(report);
    }
    if (news.reports.empty())
        return;
    for (const auto &item : m_links) {
        if (item.first != source && item.second.peer)
            actions.push_back(SendMessage{item.first, news});
    }
    std::vector<std::uint64_t> refused = m_quarantine.quarantinedFingerprints(now);
    if (refused == m_quarantined)
        return;
    m_quarantined = std::move(refused);
    const CrashReport &last = news.reports.back();
    actions.push_back(RecordEvent{EventKind::CallQuarantined, hex64(last.fingerprint),
                                  last.entry.text(), "crashed " + last.server.text(),
                                  ResultCode::CallQuarantined});
    actions.push_back(QuarantineChanged{m_quarantined});
}

ControlActions ControlNode::tick(TimePoint now)
{
    ControlActions actions;
    add(actions, m_membership.tick(now), 0);
    heartbeats(now, actions);
    expireQuarantine(now, actions);
    if (now >= m_nextLinks) {
        m_nextLinks = now + m_options.heartbeat / 2;
        maintainLinks(now, actions);
    }
    maintainContacts(now, actions);
    updateRole(now, actions);
    add(actions, m_distribution.tick(now));
    return actions;
}

void ControlNode::expireQuarantine(TimePoint now, ControlActions &actions)
{
    if (m_quarantined.empty())
        return;
    std::vector<std::uint64_t> refused = m_quarantine.quarantinedFingerprints(now);
    if (refused == m_quarantined)
        return;
    m_quarantined = std::move(refused);
    actions.push_back(QuarantineChanged{m_quarantined});
}

void ControlNode::heartbeats(TimePoint now, ControlActions &actions)
{
    std::vector<LinkId> silent;
    for (auto &item : m_links) {
        Link &link = item.second;
        if (now - link.heard > m_options.silence) {
            silent.push_back(item.first);
            continue;
        }
        if (!link.peer || now < link.nextHeartbeat)
            continue;
        link.nextHeartbeat = now + m_options.heartbeat;
        actions.push_back(SendMessage{
            item.first, HeartbeatMessage{m_distribution.heldRevision(), m_membership.digest()}});
    }
    for (const LinkId id : silent) {
        const std::optional<MemberRecord> peer = m_links.at(id).peer;
        drop(id, ResultCode::PeerSilent, actions);
        if (peer && !linkedTo(peer->id))
            add(actions, m_membership.suspect(peer->id, false, now), 0);
    }
}

} // namespace cornelwell
