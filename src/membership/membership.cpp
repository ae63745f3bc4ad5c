/** @file membership.cpp Merges announcements and opinions; chooses relays and links. */
#include "membership/membership.h"

#include "base/hash_func.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace cornelwell {

namespace {

constexpr const char *STATE_NAMES[] = {"warming", "ready", "draining", "gone"};
static_assert(std::size(STATE_NAMES) == static_cast<std::size_t>(MemberState::Count),
              "a name for each state");

constexpr const char *OPINION_NAMES[] = {"alive", "suspected", "failed"};
static_assert(std::size(OPINION_NAMES) == static_cast<std::size_t>(MemberOpinion::Count),
              "a name for each opinion");

/** A refused connection is stronger evidence than silence: the suspicion is this much shorter. */
constexpr std::int64_t REFUSED_FASTER = 4;

auto version(const MemberRecord &record)
{
    return std::tie(record.incarnation, record.sequence);
}

std::uint64_t recordHash(const MemberRecord &record)
{
    return hash64(record.id.text(), hash64(std::to_string(record.sequence), record.incarnation));
}

} // namespace

const char *memberStateName(MemberState state)
{
    return STATE_NAMES[static_cast<std::size_t>(state)];
}

const char *memberOpinionName(MemberOpinion opinion)
{
    return OPINION_NAMES[static_cast<std::size_t>(opinion)];
}

bool isLiving(const Member &member)
{
    return member.opinion != MemberOpinion::Failed && member.record.state != MemberState::Gone;
}

Membership::Membership(MemberRecord self, MembershipOptions options)
    : m_selfId(self.id), m_options(options)
{
    Member member;
    member.record = std::move(self);
    m_members[m_selfId] = member;
}

const MemberRecord &Membership::self() const
{
    return m_members.at(m_selfId).record;
}

const Member *Membership::find(const ServerId &id) const
{
    const auto at = m_members.find(id);
    return at == m_members.end() ? nullptr : &at->second;
}

MembershipOutcome Membership::announce(MemberState state, TimePoint now)
{
    MembershipOutcome outcome;
    Member &member = m_members.at(m_selfId);
    if (member.record.state == state)
        return outcome;
    member.record.state = state;
    member.record.sequence++;
    member.readySince = state == MemberState::Ready ? now : NEVER;
    outcome.tell.push_back({member.record, MemberOpinion::Alive});
    outcome.news.push_back({MembershipNews::Kind::StateChanged, member.record});
    outcome.changed = true;
    return told(std::move(outcome));
}

void Membership::refute(std::uint64_t incarnation, std::uint64_t sequence,
                        MembershipOutcome &outcome)
{
    MemberRecord &record = m_members.at(m_selfId).record;
    // An earlier life of this daemon may have had a later clock; this life must come after it.
    if (incarnation > record.incarnation)
        record.incarnation = incarnation + 1;
    record.sequence = std::max(record.sequence, sequence) + 1;
    outcome.tell.push_back({record, MemberOpinion::Alive});
    outcome.changed = true;
}

MembershipOutcome Membership::receive(const std::vector<MemberClaim> &claims, TimePoint now)
{
    MembershipOutcome outcome;
    for (const MemberClaim &claim : claims) {
        if (claim.record.id != m_selfId) {
            take(claim, now, outcome);
            continue;
        }
        const MemberRecord &mine = self();
        const bool earlierLife = claim.record.incarnation > mine.incarnation;
        const bool doubted
            = claim.opinion != MemberOpinion::Alive && version(claim.record) >= version(mine);
        if (earlierLife || doubted)
            refute(claim.record.incarnation, claim.record.sequence, outcome);
    }
    return told(std::move(outcome));
}

void Membership::take(const MemberClaim &claim, TimePoint now, MembershipOutcome &outcome)
{
    const auto at = m_members.find(claim.record.id);
    if (at == m_members.end()) {
        const bool dead
            = claim.opinion == MemberOpinion::Failed || claim.record.state == MemberState::Gone;
        Member member;
        member.record = claim.record;
        member.opinionSince = now;
        member.readySince = claim.record.state == MemberState::Ready ? now : NEVER;
        Member &added = m_members[claim.record.id] = member;
        if (!dead)
            outcome.news.push_back({MembershipNews::Kind::Joined, claim.record});
        if (claim.opinion > added.opinion)
            formOpinion(added, claim.opinion, now, outcome);
        outcome.tell.push_back(claim);
        outcome.changed = true;
        return;
    }
    Member &member = at->second;
    if (version(claim.record) < version(member.record))
        return;
    if (version(claim.record) == version(member.record)) {
        if (claim.opinion > member.opinion) {
            takeOpinion(member, claim, now, outcome);
            outcome.tell.push_back({member.record, member.opinion});
        }
        return;
    }
    const bool wasLiving = isLiving(member) && member.opinion == MemberOpinion::Alive;
    const bool stateChanged = member.record.state != claim.record.state;
    const bool becomesReady = claim.record.state == MemberState::Ready
                              && (member.record.state != MemberState::Ready
                                  || member.record.incarnation != claim.record.incarnation);
    member.record = claim.record;
    member.opinion = MemberOpinion::Alive;
    member.opinionSince = now;
    member.opinionEnds = NEVER;
    if (becomesReady)
        member.readySince = now;
    if (!wasLiving && isLiving(member))
        outcome.news.push_back({MembershipNews::Kind::Recovered, claim.record});
    else if (stateChanged)
        outcome.news.push_back({MembershipNews::Kind::StateChanged, claim.record});
    takeOpinion(member, claim, now, outcome);
    outcome.tell.push_back(claim);
    outcome.changed = true;
}

void Membership::takeOpinion(Member &member, const MemberClaim &claim, TimePoint now,
                             MembershipOutcome &outcome)
{
    if (claim.opinion <= member.opinion)
        return;
    // Hearsay of a failure is a suspicion first: the server may live on this side of a healed cut.
    const bool hearsay
        = claim.opinion == MemberOpinion::Failed && member.opinion == MemberOpinion::Alive;
    formOpinion(member, hearsay ? MemberOpinion::Suspected : claim.opinion, now, outcome);
}

void Membership::formOpinion(Member &member, MemberOpinion opinion, TimePoint now,
                             MembershipOutcome &outcome)
{
    member.opinion = opinion;
    member.opinionSince = now;
    member.opinionEnds = opinion == MemberOpinion::Suspected ? now + m_options.suspicion : NEVER;
    const bool failed = opinion == MemberOpinion::Failed;
    if (member.record.state != MemberState::Gone)
        outcome.news.push_back(
            {failed ? MembershipNews::Kind::Failed : MembershipNews::Kind::Suspected,
             member.record});
    outcome.changed = true;
}

MembershipOutcome Membership::suspect(const ServerId &id, bool refused, TimePoint now)
{
    MembershipOutcome outcome;
    const auto at = m_members.find(id);
    if (at == m_members.end() || id == m_selfId || at->second.record.state == MemberState::Gone)
        return outcome;
    Member &member = at->second;
    if (member.opinion == MemberOpinion::Alive) {
        formOpinion(member, MemberOpinion::Suspected, now, outcome);
        outcome.tell.push_back({member.record, MemberOpinion::Suspected});
    }
    if (refused && member.opinion == MemberOpinion::Suspected)
        member.opinionEnds
            = std::min(member.opinionEnds, now + m_options.suspicion / REFUSED_FASTER);
    return told(std::move(outcome));
}

MembershipOutcome Membership::tick(TimePoint now)
{
    MembershipOutcome outcome;
    for (auto at = m_members.begin(); at != m_members.end();) {
        Member &member = at->second;
        if (member.opinion == MemberOpinion::Suspected && member.opinionEnds <= now) {
            formOpinion(member, MemberOpinion::Failed, now, outcome);
            outcome.tell.push_back({member.record, MemberOpinion::Failed});
        }
        const bool forget = !isLiving(member) && now - member.opinionSince > m_options.tombstone;
        at = forget && at->first != m_selfId ? m_members.erase(at) : std::next(at);
    }
    return told(std::move(outcome));
}

std::uint64_t Membership::digest(const DataCentreId &dataCentre) const
{
    std::uint64_t digest = 0;
    for (const auto &item : m_members) {
        if (item.second.record.dataCentre == dataCentre && isLiving(item.second))
            digest += recordHash(item.second.record);
    }
    return digest;
}

std::uint64_t Membership::digest() const
{
    if (m_digest)
        return *m_digest;
    std::uint64_t digest = 0;
    for (const auto &item : m_members) {
        if (isLiving(item.second))
            digest += recordHash(item.second.record);
    }
    m_digest = digest;
    return digest;
}

/** Whatever changes the table is told to peers; the digest is then computed anew. */
MembershipOutcome Membership::told(MembershipOutcome outcome)
{
    if (!outcome.tell.empty())
        m_digest.reset();
    return outcome;
}

std::vector<MemberClaim> Membership::claims(const DataCentreId &dataCentre) const
{
    std::vector<MemberClaim> claims;
    for (const auto &item : m_members) {
        if (item.second.record.dataCentre == dataCentre)
            claims.push_back({item.second.record, item.second.opinion});
    }
    return claims;
}

std::vector<DataCentreId> Membership::dataCentres() const
{
    std::set<DataCentreId> names;
    for (const auto &item : m_members)
        names.insert(item.second.record.dataCentre);
    return {names.begin(), names.end()};
}

std::vector<ServerId> Membership::relays(const DataCentreId &dataCentre) const
{
    std::vector<std::pair<std::uint64_t, ServerId>> ranked;
    for (const auto &item : m_members) {
        const Member &member = item.second;
        const bool able
            = member.opinion == MemberOpinion::Alive && member.record.state < MemberState::Draining;
        if (member.record.dataCentre == dataCentre && able)
            ranked.emplace_back(rendezvousWeight(item.first.text(), "relay"), item.first);
    }
    const std::size_t count = std::min<std::size_t>(m_options.relaysPerDataCentre, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), [](const auto &a, const auto &b) { return b < a; });
    std::vector<ServerId> relays;
    for (std::size_t i = 0; i < count; i++)
        relays.push_back(ranked[i].second);
    return relays;
}

bool Membership::isRelay() const
{
    const std::vector<ServerId> mine = relays(self().dataCentre);
    return std::find(mine.begin(), mine.end(), m_selfId) != mine.end();
}

std::vector<ServerId> Membership::linkTargets(unsigned count) const
{
    std::vector<std::pair<std::uint64_t, ServerId>> ring;
    std::vector<std::pair<std::uint64_t, ServerId>> weights;
    for (const auto &item : m_members) {
        const Member &member = item.second;
        if (member.record.dataCentre != self().dataCentre || !isLiving(member))
            continue;
        ring.emplace_back(hash64(item.first.text()), item.first);
        if (item.first != m_selfId)
            weights.emplace_back(rendezvousWeight(item.first.text(), m_selfId.text()), item.first);
    }
    std::vector<ServerId> targets;
    if (ring.size() < 2 || count == 0)
        return targets;
    std::sort(ring.begin(), ring.end());
    const auto mine = std::find_if(ring.begin(), ring.end(),
                                   [&](const auto &place) { return place.second == m_selfId; });
    // A server that said it is gone stands on no ring and needs no links.
    if (mine == ring.end())
        return targets;
    const auto successor = mine + 1 == ring.end() ? ring.begin() : mine + 1;
    targets.push_back(successor->second);
    std::sort(weights.begin(), weights.end(), [](const auto &a, const auto &b) { return b < a; });
    for (const auto &candidate : weights) {
        if (targets.size() >= count)
            break;
        if (candidate.second != successor->second)
            targets.push_back(candidate.second);
    }
    return targets;
}

} // namespace cornelwell
