/** @file route_replicator.cpp Selection of watchers, pushes to peers, recovery of missed versions.
 */
#include "replication/route_replicator.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr Duration NO_ANSWER_AGE{1'000'000'000};
constexpr std::size_t RECENT_TABLES_WATCHER = 4; ///< Versions that a watcher keeps to push from.
constexpr std::size_t RECENT_TABLES_OTHER = 1; ///< Versions that other daemons keep to answer from.
constexpr Duration PUSH_RETRY_DELAY{1500};     ///< Delay before a push to a peer is repeated.
constexpr Duration READ_RETRY_DELAY{1000};     ///< Delay between reads while outdated; jittered.

} // namespace

RouteReplicator::RouteReplicator(const PeerTable &peers, ReplicationOptions options,
                                 std::uint64_t seed)
    : m_peers(peers), m_options(options), m_random(seed)
{}

ReplicationActions RouteReplicator::start(TimePoint now)
{
    m_startedAt = now;
    ReplicationActions actions;
    sendRead(now, actions, true);
    return actions;
}

void RouteReplicator::sendRead(TimePoint now, ReplicationActions &actions, bool allowStale)
{
    m_pendingCall = StoreCallKind::Read;
    m_callSentAt = now;
    actions.push_back(ReadRoutes{allowStale});
}

void RouteReplicator::sendWatch(TimePoint now, ReplicationActions &actions)
{
    m_pendingCall = StoreCallKind::Watch;
    m_callSentAt = now;
    actions.push_back(
        WatchRoutes{m_storeRevision, m_options.watchTimeout, m_options.watchAnswerMargin});
}

Duration RouteReplicator::storeAge(TimePoint now) const
{
    return m_storeEverAnswered && m_storeAvailable ? now - m_lastStoreAnswerAt : NO_ANSWER_AGE;
}

void RouteReplicator::handleStoreCallEnded()
{
    m_pendingCall = StoreCallKind::None;
    m_watchDueAt = NEVER;
}

void RouteReplicator::handleStoreAnswer(TimePoint now, ReplicationActions &actions)
{
    handleStoreCallEnded();
    m_retryDelay = {0};
    m_lastStoreAnswerAt = now;
    m_storeEverAnswered = true;
    if (!m_storeAvailable)
        actions.push_back(StoreAvailabilityChanged{true, {}, StoreCallKind::None, {0}});
    m_storeAvailable = true;
}

void RouteReplicator::handleStoreFailure(const Error &error, TimePoint now,
                                         ReplicationActions &actions)
{
    const StoreCallKind call = m_pendingCall;
    handleStoreCallEnded();
    m_retryDelay
        = {std::clamp(m_retryDelay.ms * 2, m_options.retryDelayMin.ms, m_options.retryDelayMax.ms)};
    m_nextStoreCallAt = now + m_random.jitter(m_retryDelay);
    m_pollUntil = now + m_options.pollAfterFailure;
    m_peerRequestAt = now;
    if (m_storeAvailable)
        actions.push_back(StoreAvailabilityChanged{false, error, call, now - m_callSentAt});
    m_storeAvailable = false;
}

ReplicationActions RouteReplicator::handleReadAnswer(const Result<StoredRoutes> &answer,
                                                     TimePoint now)
{
    ReplicationActions actions;
    if (!answer) {
        handleStoreFailure(answer.error(), now, actions);
        catchUp(now, actions);
        return actions;
    }
    handleStoreAnswer(now, actions);
    if (now < m_pollUntil)
        m_nextStoreCallAt = now + m_options.pollInterval;
    m_readNeeded = !answer.value().document;
    if (m_readNeeded)
        m_nextStoreCallAt = now + m_random.jitter(m_options.retryDelayMax);
    m_storeRevision = answer.value().storeRevision;
    m_revisionOutdated = false;
    if (answer.value().document)
        applyDocument(*answer.value().document, now, actions);
    if (m_outdated) {
        // The store may have answered with an older version than peers have.
        m_peerRequestAt = now;
        catchUp(now, actions);
    }
    return actions;
}

ReplicationActions RouteReplicator::handleWatchAnswer(const Result<StoredRoutes> &answer,
                                                      TimePoint now)
{
    ReplicationActions actions;
    if (!answer) {
        if (answer.error().code == ResultCode::PlatformHistoryGone)
            m_readNeeded = true;
        handleStoreFailure(answer.error(), now, actions);
        // The broken connection may have missed a change, so the next call goes out soon.
        return actions;
    }
    handleStoreAnswer(now, actions);
    if (!m_revisionOutdated)
        m_storeRevision = std::max(m_storeRevision, answer.value().storeRevision);
    if (answer.value().document) {
        m_nextStoreCallAt = now + m_options.watchDelayAfterChange;
        applyDocument(*answer.value().document, now, actions);
    }
    ReplicationActions more = tick(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

ReplicationActions RouteReplicator::handleStoreRestored(TimePoint now)
{
    m_storeRevision = 0;
    m_revisionOutdated = true;
    m_nextStoreCallAt = now;
    // A watch that was accepted before may report nothing of the new era.
    m_pollUntil = now + m_options.pollAfterFailure;
    return tick(now);
}

ReplicationActions RouteReplicator::handleUpdate(const ServerId &peer, const RouteUpdate &update,
                                                 TimePoint now)
{
    ReplicationActions actions;
    if (update.version <= version())
        return actions;
    const Result<RouteTablePtr> table = applyRouteUpdate(m_table.get(), update);
    if (table)
        applyTable(table.value(), peer, now, actions);
    else if (table.error().code != ResultCode::VersionGap)
        actions.push_back(RejectRoutes{table.error(), peer.text()});
    return actions;
}

void RouteReplicator::applyDocument(const Result<RouteDocument> &document, TimePoint now,
                                    ReplicationActions &actions)
{
    const std::string source = "store";
    if (!document) {
        actions.push_back(RejectRoutes{document.error(), source});
        return;
    }
    const Result<RouteTablePtr> table = RouteTable::build(document.value());
    if (!table) {
        actions.push_back(RejectRoutes{table.error(), source});
        return;
    }
    if (table.value()->version() < version()) {
        actions.push_back(RejectRoutes{
            {ResultCode::VersionOlder, "an older version than the one in force", {}}, source});
        return;
    }
    if (table.value()->version() > version())
        applyTable(table.value(), ServerId(), now, actions);
}

void RouteReplicator::applyTable(const RouteTablePtr &table, const ServerId &sender, TimePoint now,
                                 ReplicationActions &actions)
{
    const bool reportedByPeer = newestPeerVersion() >= table->version();
    if (m_table)
        m_recentTables.push_back(m_table);
    while (m_recentTables.size() > (m_watching ? RECENT_TABLES_WATCHER : RECENT_TABLES_OTHER))
        m_recentTables.pop_front();
    m_table = table;
    if (m_pendingCall == StoreCallKind::Watch && !sender.empty() && m_watchDueAt == NEVER)
        m_watchDueAt = now + m_options.watchReportTimeout;
    m_pushAt.clear();
    m_outdated = false;
    actions.push_back(ApplyRoutes{m_table, sender.empty() ? "store" : sender.text()});
    AnnounceVersion announcement = announcementFor(sender);
    announcement.toAllPeers = sender.empty() && !reportedByPeer;
    actions.push_back(std::move(announcement));
    pushToOutdatedPeers(now, actions);
    catchUp(now, actions);
}

/**
 * @return an announcement for the sender of the version and for all watchers, which would push the
 * version to this daemon otherwise; the other peers learn it from a heartbeat.
 */
AnnounceVersion RouteReplicator::announcementFor(const ServerId &sender) const
{
    AnnounceVersion announcement;
    for (const auto &[name, peer] : m_peers.peers()) {
        if (peer.linked && (peer.watchingStore || name == sender))
            announcement.peers.push_back(name);
    }
    return announcement;
}

std::optional<RouteUpdate> RouteReplicator::updateSince(Revision baseVersion) const
{
    if (!m_table || baseVersion >= version())
        return std::nullopt;
    return makeRouteUpdate(findRecentTable(baseVersion).get(), *m_table);
}

Revision RouteReplicator::newestPeerVersion() const
{
    Revision newest = 0;
    for (const auto &[name, peer] : m_peers.peers()) {
        if (peer.linked)
            newest = std::max(newest, peer.version);
    }
    return newest;
}

ReplicationActions RouteReplicator::handlePeerVersion(const ServerId &peer, TimePoint now)
{
    m_pushAt.erase(peer);
    return tick(now);
}

RouteTablePtr RouteReplicator::findRecentTable(Revision version) const
{
    const auto found
        = std::find_if(m_recentTables.begin(), m_recentTables.end(),
                       [&](const RouteTablePtr &table) { return table->version() == version; });
    return found == m_recentTables.end() ? nullptr : *found;
}

bool RouteReplicator::shouldWatch(TimePoint now) const
{
    if (now - m_startedAt < m_options.watchStartDelay)
        return false;
    unsigned freshWatchers = 0;
    for (const Peer *peer : m_peers.higherRankedPeers(now)) {
        if (peer->storeAge + (now - peer->lastMessageAt) < m_options.freshStoreAge)
            freshWatchers++;
    }
    // Watchers in other data centres push here too, so each data centre needs fewer.
    const bool severalDataCentres
        = std::any_of(m_peers.peers().begin(), m_peers.peers().end(), [&](const auto &item) {
              return item.second.record.dataCentre != m_peers.self().dataCentre
                     && m_peers.isResponsive(item.second, now);
          });
    return freshWatchers
           < (severalDataCentres ? (m_options.watcherCount + 1) / 2 : m_options.watcherCount);
}

ReplicationActions RouteReplicator::tick(TimePoint now)
{
    ReplicationActions actions;
    pushToOutdatedPeers(now, actions);
    catchUp(now, actions);
    abandonDeadWatch(now, actions);
    m_watching = shouldWatch(now);
    if (m_pendingCall != StoreCallKind::None || now < m_nextStoreCallAt)
        return actions;
    if (m_readNeeded || (m_watching && (m_revisionOutdated || now < m_pollUntil)))
        sendRead(now, actions);
    else if (m_watching)
        sendWatch(now, actions);
    return actions;
}

/**
 * Ends a watch that does not report a version that a peer has: a store that was silent for a moment
 * may have lost the watch, and would report later versions to others only.
 */
void RouteReplicator::abandonDeadWatch(TimePoint now, ReplicationActions &actions)
{
    if (m_pendingCall != StoreCallKind::Watch || now < m_watchDueAt)
        return;
    m_watchDueAt = NEVER;
    actions.push_back(AbandonWatch{});
}

/**
 * Obtains a newer version that a peer reported: waits for a push, then reads the store, then
 * requests it from a peer.
 */
void RouteReplicator::catchUp(TimePoint now, ReplicationActions &actions)
{
    if (newestPeerVersion() <= version()) {
        m_outdated = false;
        return;
    }
    if (!m_outdated) {
        m_outdated = true;
        m_readAt = now + m_random.jitter(m_options.pushTimeout);
        m_peerRequestAt = now;
        if (m_storeAvailable)
            m_peerRequestAt = now + m_random.jitter(m_options.peerRequestDelay);
        else if (m_table)
            m_peerRequestAt = m_readAt;
    }
    if (now >= m_readAt && m_pendingCall == StoreCallKind::None && now >= m_nextStoreCallAt) {
        m_readAt = now + m_random.jitter(READ_RETRY_DELAY);
        sendRead(now, actions);
    }
    if (now < m_peerRequestAt)
        return;
    if (const auto peer = pickNewerPeer()) {
        m_peerRequestAt = now + m_random.jitter(m_options.peerRequestInterval);
        actions.push_back(RequestRoutes{*peer, version()});
    }
}

/** @return a random peer with a newer version, from the own data centre if there is one. */
std::optional<ServerId> RouteReplicator::pickNewerPeer()
{
    std::vector<ServerId> ownDataCentre;
    std::vector<ServerId> otherDataCentres;
    for (const auto &[name, peer] : m_peers.peers()) {
        if (peer.linked && peer.version > version())
            (peer.record.dataCentre == m_peers.self().dataCentre ? ownDataCentre : otherDataCentres)
                .push_back(name);
    }
    const std::vector<ServerId> &candidates
        = ownDataCentre.empty() ? otherDataCentres : ownDataCentre;
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_random.below(candidates.size())];
}

ReplicationActions RouteReplicator::requestRead(TimePoint now)
{
    ReplicationActions actions;
    if (m_pendingCall == StoreCallKind::None && now >= m_nextStoreCallAt)
        sendRead(now, actions);
    return actions;
}

Duration RouteReplicator::pushDelay(const Peer &peer, TimePoint now)
{
    if (peer.record.dataCentre != m_peers.self().dataCentre)
        return m_random.jitter(m_options.remotePushDelay);
    return {m_options.pushDelayPerRank.ms
            * static_cast<std::int64_t>(m_peers.rankInDataCentre(now))};
}

/**
 * Pushes small updates. Peers read large ones from the store themselves, which spreads the load
 * over their links.
 */
void RouteReplicator::pushToOutdatedPeers(TimePoint now, ReplicationActions &actions)
{
    if (!m_table || !m_watching)
        return;
    std::map<Revision, std::vector<ServerId>> due;
    for (const auto &[name, peer] : m_peers.peers()) {
        if (!peer.linked || peer.version >= version()) {
            m_pushAt.erase(name);
            continue;
        }
        const auto [entry, added] = m_pushAt.try_emplace(name, now);
        if (added)
            entry->second = now + pushDelay(peer, now);
        if (now < entry->second || !findRecentTable(peer.version))
            continue;
        entry->second = now + PUSH_RETRY_DELAY;
        due[peer.version].push_back(name);
    }
    for (auto &[base, peers] : due) {
        RouteUpdate update = makeRouteUpdate(findRecentTable(base).get(), *m_table);
        if (update.changeCount() * peers.size() <= m_options.pushedRouteCopiesMax)
            actions.push_back(PushRoutes{std::move(peers), std::move(update)});
    }
}

} // namespace cornelwell
