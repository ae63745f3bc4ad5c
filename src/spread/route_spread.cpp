/** @file route_spread.cpp Who watches the store, and who pushes to whom. */
#include "spread/route_spread.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr Duration NEVER_HEARD{1'000'000'000};
constexpr std::size_t RECENT_WATCHING = 4; ///< Versions kept to make updates from, by who pushes,
constexpr std::size_t RECENT_OTHERS = 1;   ///< and by others.
constexpr Duration PUSH_AGAIN{1500};       ///< A peer that did not take a version is sent it again.
constexpr Duration READ_AGAIN{1000}; ///< Pause before a daemon that is still behind reads again.

} // namespace

RouteSpread::RouteSpread(const PeerTable &table, SpreadOptions options, std::uint64_t seed)
    : m_peers(table), m_options(options), m_random(seed)
{}

SpreadActions RouteSpread::start(TimePoint now)
{
    m_started = now;
    m_callOpen = true;
    return {ReadRoutes{true}};
}

Duration RouteSpread::storeAge(TimePoint now) const
{
    return m_storeEverHeard && m_storeAnswers ? now - m_storeHeard : NEVER_HEARD;
}

void RouteSpread::storeAnswered(TimePoint now, SpreadActions &actions)
{
    m_callOpen = false;
    m_pause = {0};
    m_storeHeard = now;
    m_storeEverHeard = true;
    if (!m_storeAnswers)
        actions.push_back(StoreChanged{true, {}});
    m_storeAnswers = true;
}

void RouteSpread::storeFailed(const Error &error, TimePoint now, SpreadActions &actions)
{
    m_callOpen = false;
    m_pause = {std::clamp(m_pause.ms * 2, m_options.retryMin.ms, m_options.retryMax.ms)};
    m_nextCall = now + m_random.jitter(m_pause);
    m_unsettledUntil = now + m_options.unsettled;
    m_askAt = now;
    if (m_storeAnswers)
        actions.push_back(StoreChanged{false, error});
    m_storeAnswers = false;
}

SpreadActions RouteSpread::readAnswered(const Result<StoredRoutes> &answer, TimePoint now)
{
    SpreadActions actions;
    if (!answer) {
        storeFailed(answer.error(), now, actions);
        catchUp(now, actions);
        return actions;
    }
    storeAnswered(now, actions);
    if (now < m_unsettledUntil)
        m_nextCall = now + m_options.readPause;
    m_readNeeded = !answer.value().document;
    if (m_readNeeded)
        m_nextCall = now + m_random.jitter(m_options.retryMax);
    m_storeRevision = answer.value().storeRevision;
    if (answer.value().document)
        takeDocument(*answer.value().document, now, actions);
    if (m_behind) {
        // The store's answer may be older than what peers have.
        m_askAt = now;
        catchUp(now, actions);
    }
    return actions;
}

SpreadActions RouteSpread::watchAnswered(const Result<StoredRoutes> &answer, TimePoint now)
{
    SpreadActions actions;
    if (!answer) {
        if (answer.error().code == ResultCode::PlatformHistoryGone)
            m_readNeeded = true;
        storeFailed(answer.error(), now, actions);
        // A connection that broke may have missed a change: the next call goes out soon.
        return actions;
    }
    storeAnswered(now, actions);
    m_storeRevision = std::max(m_storeRevision, answer.value().storeRevision);
    if (answer.value().document) {
        m_nextCall = now + m_options.watchPause;
        takeDocument(*answer.value().document, now, actions);
    }
    SpreadActions more = tick(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

SpreadActions RouteSpread::received(const ServerId &peer, const RouteUpdate &update, TimePoint now)
{
    SpreadActions actions;
    if (update.version <= version())
        return actions;
    const Result<RouteTablePtr> table = applyRouteUpdate(m_table.get(), update);
    if (table)
        take(table.value(), peer, now, actions);
    else if (table.error().code != ResultCode::VersionGap)
        actions.push_back(RejectRoutes{table.error(), peer.text()});
    return actions;
}

void RouteSpread::takeDocument(const Result<RouteDocument> &document, TimePoint now,
                               SpreadActions &actions)
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
        take(table.value(), ServerId(), now, actions);
}

void RouteSpread::take(const RouteTablePtr &table, const ServerId &sender, TimePoint now,
                       SpreadActions &actions)
{
    const bool known = newestTold() >= table->version();
    if (m_table)
        m_recent.push_back(m_table);
    while (m_recent.size() > (m_watching ? RECENT_WATCHING : RECENT_OTHERS))
        m_recent.pop_front();
    m_table = table;
    m_pushAt.clear();
    m_behind = false;
    actions.push_back(ApplyRoutes{m_table, sender.empty() ? "store" : sender.text()});
    TellVersion tell = tellOf(sender);
    tell.all = sender.empty() && !known;
    actions.push_back(std::move(tell));
    pushToBehind(now, actions);
    catchUp(now, actions);
}

/** Who sent it and who would push it need to know that it is here; others hear it by heartbeat. */
TellVersion RouteSpread::tellOf(const ServerId &sender) const
{
    TellVersion tell;
    for (const auto &[name, peer] : m_peers.peers()) {
        if (peer.linked && (peer.watchingStore || name == sender))
            tell.peers.push_back(name);
    }
    return tell;
}

std::optional<RouteUpdate> RouteSpread::asked(Revision have) const
{
    if (!m_table || have >= version())
        return std::nullopt;
    return routeUpdate(recent(have).get(), *m_table);
}

Revision RouteSpread::newestTold() const
{
    Revision newest = 0;
    for (const auto &[name, peer] : m_peers.peers()) {
        if (peer.linked)
            newest = std::max(newest, peer.version);
    }
    return newest;
}

SpreadActions RouteSpread::peerTold(const ServerId &peer, TimePoint now)
{
    m_pushAt.erase(peer);
    return tick(now);
}

RouteTablePtr RouteSpread::recent(Revision version) const
{
    const auto found
        = std::find_if(m_recent.begin(), m_recent.end(),
                       [&](const RouteTablePtr &table) { return table->version() == version; });
    return found == m_recent.end() ? nullptr : *found;
}

bool RouteSpread::shouldWatch(TimePoint now) const
{
    if (now - m_started < m_options.settle)
        return false;
    unsigned fresh = 0;
    for (const Peer *peer : m_peers.higherRankedPeers(now)) {
        if (peer->storeAge + (now - peer->lastMessageAt) < m_options.freshFor)
            fresh++;
    }
    // Watchers of other data centres push here too, so one in each is enough.
    const bool others
        = std::any_of(m_peers.peers().begin(), m_peers.peers().end(), [&](const auto &item) {
              return item.second.record.dataCentre != m_peers.self().dataCentre
                     && m_peers.isResponsive(item.second, now);
          });
    return fresh < (others ? (m_options.watchers + 1) / 2 : m_options.watchers);
}

SpreadActions RouteSpread::tick(TimePoint now)
{
    SpreadActions actions;
    pushToBehind(now, actions);
    catchUp(now, actions);
    m_watching = shouldWatch(now);
    if (m_callOpen || now < m_nextCall)
        return actions;
    if (m_readNeeded || (m_watching && now < m_unsettledUntil)) {
        m_callOpen = true;
        actions.push_back(ReadRoutes{});
    } else if (m_watching) {
        m_callOpen = true;
        actions.push_back(WatchRoutes{m_storeRevision, m_options.watchWait});
    }
    return actions;
}

/** A daemon that knows of a newer version waits for a push, then reads, then asks a peer. */
void RouteSpread::catchUp(TimePoint now, SpreadActions &actions)
{
    if (newestTold() <= version()) {
        m_behind = false;
        return;
    }
    if (!m_behind) {
        m_behind = true;
        m_readAt = now + m_random.jitter(m_options.pushWait);
        m_askAt = now;
        if (m_storeAnswers)
            m_askAt = now + m_random.jitter(m_options.askAfter);
        else if (m_table)
            m_askAt = m_readAt;
    }
    if (now >= m_readAt && !m_callOpen && now >= m_nextCall) {
        m_callOpen = true;
        m_readAt = now + m_random.jitter(READ_AGAIN);
        actions.push_back(ReadRoutes{});
    }
    if (now < m_askAt)
        return;
    if (const auto peer = holder()) {
        m_askAt = now + m_random.jitter(m_options.askAgain);
        actions.push_back(AskRoutes{*peer, version()});
    }
}

/** @return a peer that has a newer version, drawn at random; of the own data centre if any. */
std::optional<ServerId> RouteSpread::holder()
{
    std::vector<ServerId> near;
    std::vector<ServerId> far;
    for (const auto &[name, peer] : m_peers.peers()) {
        if (peer.linked && peer.version > version())
            (peer.record.dataCentre == m_peers.self().dataCentre ? near : far).push_back(name);
    }
    const std::vector<ServerId> &holders = near.empty() ? far : near;
    if (holders.empty())
        return std::nullopt;
    return holders[m_random.below(holders.size())];
}

Duration RouteSpread::pushDelay(const Peer &peer, TimePoint now)
{
    if (peer.record.dataCentre != m_peers.self().dataCentre)
        return m_random.jitter(m_options.pushFar);
    return {m_options.pushNear.ms * static_cast<std::int64_t>(m_peers.rankInDataCentre(now))};
}

/** Pushes small differences; what is large is left to the peers, whose links bear it better. */
void RouteSpread::pushToBehind(TimePoint now, SpreadActions &actions)
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
        if (now < entry->second || !recent(peer.version))
            continue;
        entry->second = now + PUSH_AGAIN;
        due[peer.version].push_back(name);
    }
    for (auto &[base, peers] : due) {
        RouteUpdate update = routeUpdate(recent(base).get(), *m_table);
        const std::size_t changed = update.routes.size() + update.removed.size();
        if (changed * peers.size() <= m_options.copiesMax)
            actions.push_back(PushRoutes{std::move(peers), std::move(update)});
    }
}

} // namespace cornelwell
