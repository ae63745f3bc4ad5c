/** @file control_links.cpp Which links a daemon keeps, how it finds its first peers, and its role.
 */
#include "control/control_node.h"

#include "base/endpoint_func.h"
#include "control/contacts_func.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr Duration UNWANTED_KEPT = {10000};         ///< A link without use is closed after this.
constexpr std::size_t CONTACTS_PER_DATA_CENTRE = 4; ///< Peers listed for each data centre.
constexpr std::size_t CONTACTS_ALIVE_MIN = 2;       ///< Fewer living ones lead to a new list.

Endpoint peerEndpoint(const MemberRecord &record)
{
    return {record.address, record.peerPort};
}

} // namespace

void ControlNode::maintainLinks(TimePoint now, ControlActions &actions)
{
    for (auto at = m_opening.begin(); at != m_opening.end();)
        at = now >= at->second ? m_opening.erase(at) : std::next(at);
    std::set<ServerId> wanted;
    for (const ServerId &id : m_membership.linkTargets(m_options.links)) {
        wanted.insert(id);
        if (!linkedTo(id))
            open(peerEndpoint(m_membership.find(id)->record), now, actions);
    }
    if (m_membership.isRelay())
        maintainRemoteLinks(now, actions, wanted);
    if (now >= m_nextHeal) {
        m_nextHeal = now + m_random.jitter(m_options.healRetry);
        heal(now, actions);
    }
    if (establishedLinks() == 0)
        bootstrap(now, actions);
    chooseEagerLinks(wanted);
    closeUnwanted(wanted, now, actions);
}

/** Pushes go along the links that this daemon wants: they connect all daemons, with few repeats. */
void ControlNode::chooseEagerLinks(const std::set<ServerId> &wanted)
{
    for (const auto &item : m_links) {
        if (!item.second.peer)
            continue;
        const MemberRecord &peer = *item.second.peer;
        const bool remote = peer.dataCentre != m_membership.self().dataCentre;
        m_distribution.setEager(item.first, remote || wanted.count(peer.id) != 0);
    }
}

void ControlNode::maintainRemoteLinks(TimePoint now, ControlActions &actions,
                                      std::set<ServerId> &wanted)
{
    for (const DataCentreId &dataCentre : m_membership.dataCentres()) {
        if (dataCentre == m_membership.self().dataCentre)
            continue;
        const std::vector<ServerId> relays = m_membership.relays(dataCentre);
        if (relays.empty())
            continue;
        wanted.insert(relays.front());
        if (!linkedTo(relays.front()))
            open(peerEndpoint(m_membership.find(relays.front())->record), now, actions);
    }
}

bool ControlNode::isLivingPeer(const Endpoint &endpoint) const
{
    const auto &members = m_membership.members();
    return std::any_of(members.begin(), members.end(), [&](const auto &item) {
        return isLiving(item.second) && peerEndpoint(item.second.record) == endpoint;
    });
}

std::optional<Endpoint> ControlNode::randomContact(const DataCentreId &dataCentre)
{
    std::vector<Endpoint> candidates;
    const auto contacts = m_contacts.find(dataCentre);
    if (contacts != m_contacts.end())
        candidates = contacts->second;
    if (establishedLinks() > 0) {
        // Those that are known to live are linked by the ordinary rules.
        const auto known = [this](const Endpoint &endpoint) { return isLivingPeer(endpoint); };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), known),
                         candidates.end());
    }
    for (const auto &item : m_membership.members()) {
        const bool givenUp
            = !isLiving(item.second) && item.second.record.state != MemberState::Gone;
        if (item.second.record.dataCentre == dataCentre && givenUp)
            candidates.push_back(peerEndpoint(item.second.record));
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_random.below(candidates.size())];
}

/** Tries servers that were given up, so that the two sides of a cut find each other again. */
void ControlNode::heal(TimePoint now, ControlActions &actions)
{
    if (!m_membership.isRelay())
        return;
    std::set<DataCentreId> known;
    for (const DataCentreId &dataCentre : m_membership.dataCentres())
        known.insert(dataCentre);
    for (const auto &item : m_contacts)
        known.insert(item.first);
    for (const DataCentreId &dataCentre : known) {
        const bool own = dataCentre == m_membership.self().dataCentre;
        if (!own && linkedToDataCentre(dataCentre))
            continue;
        const std::optional<Endpoint> contact = randomContact(dataCentre);
        if (contact)
            open(*contact, now, actions);
    }
}

/** A daemon without links tries its seeds and the contacts of its own data centre. */
void ControlNode::bootstrap(TimePoint now, ControlActions &actions)
{
    if (!m_options.seeds.empty())
        open(m_options.seeds[m_random.below(m_options.seeds.size())], now, actions);
    const std::optional<Endpoint> contact = randomContact(m_membership.self().dataCentre);
    if (contact)
        open(*contact, now, actions);
}

void ControlNode::closeUnwanted(const std::set<ServerId> &wanted, TimePoint now,
                                ControlActions &actions)
{
    std::vector<LinkId> useless;
    for (auto &item : m_links) {
        Link &link = item.second;
        // The side that opened a link decides about it.
        const bool mine = link.target && link.peer;
        if (!mine || wanted.count(link.peer->id) != 0) {
            link.unwantedSince = NEVER;
            continue;
        }
        if (link.unwantedSince == NEVER)
            link.unwantedSince = now;
        if (now - link.unwantedSince > UNWANTED_KEPT && establishedLinks() > m_options.links)
            useless.push_back(item.first);
    }
    for (const LinkId id : useless)
        drop(id, ResultCode::Ok, actions);
}

void ControlNode::updateRole(TimePoint now, ControlActions &actions)
{
    // A daemon that just started knows only itself; it must not take the role for that alone.
    const bool knowsPeers = linkedToDataCentre(m_membership.self().dataCentre);
    const bool mayTake = knowsPeers || now >= m_roleFrom;
    const bool role = m_options.watchAlways || (m_membership.isRelay() && mayTake);
    if (role == m_relayRole)
        return;
    m_relayRole = role;
    const EventKind kind = role ? EventKind::RelayRoleTaken : EventKind::RelayRoleLeft;
    actions.push_back(
        RecordEvent{kind, {}, m_membership.self().dataCentre.text(), {}, ResultCode::Ok});
    add(actions, m_distribution.setWatching(role, now));
}

std::vector<Endpoint> ControlNode::livingContacts() const
{
    std::vector<Endpoint> contacts;
    const DataCentreId &mine = m_membership.self().dataCentre;
    for (const ServerId &id : m_membership.relays(mine))
        contacts.push_back(peerEndpoint(m_membership.find(id)->record));
    for (const auto &item : m_membership.members()) {
        const Member &member = item.second;
        const bool able = isLiving(member) && member.record.state != MemberState::Draining;
        const Endpoint endpoint = peerEndpoint(member.record);
        const bool listed = std::find(contacts.begin(), contacts.end(), endpoint) != contacts.end();
        if (contacts.size() < CONTACTS_PER_DATA_CENTRE && member.record.dataCentre == mine && able
            && !listed)
            contacts.push_back(endpoint);
    }
    return contacts;
}

void ControlNode::maintainContacts(TimePoint now, ControlActions &actions)
{
    if (m_contactsBusy || now < m_nextContacts)
        return;
    const bool isolated = establishedLinks() == 0;
    if (!m_relayRole && !isolated)
        return;
    m_contactsBusy = true;
    actions.push_back(ReadContacts{});
}

ControlActions ControlNode::contactsRead(const Result<StoredObject> &answer, TimePoint now)
{
    ControlActions actions;
    m_contactsBusy = false;
    const bool isolated = establishedLinks() == 0;
    m_nextContacts
        = now + m_random.jitter(isolated ? m_options.healRetry : m_options.contactsPause);
    if (!answer && answer.error().code != ResultCode::PlatformNotFound)
        return actions;
    m_contactsKnown = true;
    m_contactsVersion = answer ? answer.value().version : 0;
    auto contacts = answer ? decodeContacts(answer.value().text) : Result<ContactMap>(ContactMap());
    if (contacts)
        m_contacts = std::move(contacts.value());
    if (isolated)
        bootstrap(now, actions);
    writeContacts(now, actions);
    return actions;
}

void ControlNode::writeContacts(TimePoint now, ControlActions &actions)
{
    const DataCentreId &mine = m_membership.self().dataCentre;
    const std::vector<Endpoint> &listed = m_contacts[mine];
    const std::vector<Endpoint> living = livingContacts();
    const auto alive = static_cast<std::size_t>(std::count_if(
        listed.begin(), listed.end(), [this](const Endpoint &e) { return isLivingPeer(e); }));
    const std::size_t enough = std::min(CONTACTS_ALIVE_MIN, living.size());
    // Only a daemon that had the time to find its peers may call the listed ones dead.
    const bool mayJudge = listed.empty() || (m_relayRole && now >= m_roleFrom);
    if (alive >= enough || !mayJudge || living.empty())
        return;
    m_contacts[mine] = living;
    m_contactsBusy = true;
    actions.push_back(WriteContacts{encodeContacts(m_contacts), m_contactsVersion});
}

ControlActions ControlNode::contactsWritten(const Result<std::uint64_t> &answer, TimePoint now)
{
    ControlActions actions;
    m_contactsBusy = false;
    // Somebody else wrote first, or the answer was lost: what counts is read again.
    if (!answer)
        m_nextContacts = now + m_random.jitter(m_options.linkRetry);
    return actions;
}

} // namespace cornelwell
