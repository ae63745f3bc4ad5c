/** @file distribution.cpp Decides what to take, what to put into force and whom to tell. */
#include "distribution/distribution.h"

#include "catalogue/head_func.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr LinkId NO_LINK = 0; ///< The platform, where a link is asked for.

/** True when @p changes, which end at @p revision, follow on @p held without a gap. */
bool followsOn(const std::vector<Change> &changes, Revision held)
{
    return !changes.empty() && changes.front().revision <= held + 1
           && changes.back().revision > held;
}

} // namespace

Distribution::Distribution(DistributionOptions options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_current(Configuration::empty())
    , m_held(m_current)
    , m_snapshotTokens(options.snapshotsPerSecond)
{}

DistributionActions Distribution::setWatching(bool watching, TimePoint now)
{
    DistributionActions actions;
    if (watching && !m_watching)
        m_nextWatch = now;
    m_watching = watching;
    return actions;
}

void Distribution::linkOpened(LinkId link)
{
    m_peers[link] = 0;
}

void Distribution::setEager(LinkId link, bool eager)
{
    if (eager)
        m_lazy.erase(link);
    else
        m_lazy.insert(link);
}

void Distribution::linkClosed(LinkId link)
{
    m_peers.erase(link);
    m_lazy.erase(link);
    if (m_asked == link)
        m_asked = NO_LINK;
}

std::optional<LinkId> Distribution::bestPeer(LinkId except) const
{
    std::optional<LinkId> best;
    for (const auto &peer : m_peers) {
        if (peer.first == except || peer.second <= std::max(m_held->revision(), m_rejected))
            continue;
        if (!best || peer.second > m_peers.at(*best))
            best = peer.first;
    }
    return best;
}

void Distribution::ask(LinkId link, TimePoint now, DistributionActions &actions)
{
    if (m_asked != NO_LINK && now < m_askedUntil)
        return;
    m_asked = link;
    m_askedUntil = now + m_options.answerTimeout;
    actions.push_back(SendDistribution{link, ChangesRequest{m_held->revision()}});
}

DistributionActions Distribution::peerRevision(LinkId link, Revision revision, TimePoint now)
{
    m_now = now;
    DistributionActions actions;
    m_peers[link] = std::max(m_peers[link], revision);
    putIntoForce(actions);
    if (m_current->revision() == 0) {
        // Time for more peers to say what they hold; the tick asks the best of them.
        m_settled = m_settled == NEVER ? now + m_options.settle : m_settled;
        return actions;
    }
    // A version that failed its checks is not asked for again; a later one may mend it.
    if (revision > std::max(m_held->revision(), m_rejected))
        ask(link, now, actions);
    return actions;
}

void Distribution::reject(Revision revision, const Error &error, DistributionActions &actions)
{
    if (revision != 0 && revision <= m_rejected)
        return;
    m_rejected = std::max(m_rejected, revision);
    actions.push_back(ReportRejected{revision, error});
}

DistributionActions Distribution::receive(LinkId link, const DistributionMessage &message,
                                          TimePoint now)
{
    m_now = now;
    DistributionActions actions;
    if (const auto *changes = std::get_if<ChangesMessage>(&message)) {
        onChanges(link, *changes, now, actions);
    } else if (const auto *request = std::get_if<ChangesRequest>(&message)) {
        onRequest(link, *request, now, actions);
    } else if (const auto *snapshot = std::get_if<SnapshotMessage>(&message)) {
        onSnapshot(link, *snapshot, now, actions);
    } else if (const auto *later = std::get_if<RetryLater>(&message)) {
        m_asked = link;
        m_askedUntil = now + m_random.jitter(later->after);
    }
    return actions;
}

void Distribution::onChanges(LinkId link, const ChangesMessage &message, TimePoint now,
                             DistributionActions &actions)
{
    m_peers[link] = std::max(m_peers[link], message.revision);
    if (m_asked == link)
        m_asked = NO_LINK;
    putIntoForce(actions);
    if (message.revision <= m_held->revision() || belowFloor(message.revision))
        return;
    if (!followsOn(message.changes, m_held->revision())) {
        ask(link, now, actions);
        return;
    }
    auto next = m_held->after(message.changes);
    if (!next) {
        reject(message.revision, next.error(), actions);
        return;
    }
    hold(next.value(), message.changes, link, false, actions);
}

void Distribution::onRequest(LinkId link, const ChangesRequest &request, TimePoint now,
                             DistributionActions &actions)
{
    m_peers[link] = std::max(m_peers[link], request.have);
    const Revision mine = m_held->revision();
    const bool covered = request.have >= mine
                         || (!m_recent.empty() && m_recent.front().revision <= request.have + 1);
    if (covered) {
        ChangesMessage answer{mine, {}};
        for (const Change &change : m_recent) {
            if (change.revision > request.have)
                answer.changes.push_back(change);
        }
        actions.push_back(SendDistribution{link, answer});
        return;
    }
    if (!takeSnapshotToken(now)) {
        actions.push_back(SendDistribution{link, RetryLater{m_options.answerTimeout}});
        return;
    }
    SnapshotMessage snapshot{mine, {}, {m_recent.begin(), m_recent.end()}};
    for (const auto &item : m_held->entries())
        snapshot.entries.push_back(item.second);
    actions.push_back(SendDistribution{link, std::move(snapshot)});
}

void Distribution::onSnapshot(LinkId link, const SnapshotMessage &message, TimePoint,
                              DistributionActions &actions)
{
    m_peers[link] = std::max(m_peers[link], message.revision);
    if (m_asked == link)
        m_asked = NO_LINK;
    if (message.revision <= m_held->revision() || belowFloor(message.revision))
        return;
    EntryMap entries;
    for (const EntryInForce &entry : message.entries)
        entries[entry.entry.name] = entry;
    auto next = Configuration::build(message.revision, std::move(entries));
    if (!next) {
        reject(message.revision, next.error(), actions);
        return;
    }
    hold(next.value(), message.recent, link, true, actions);
}

void Distribution::remember(const std::vector<Change> &changes)
{
    for (const Change &change : changes) {
        if (!m_recent.empty() && change.revision <= m_recent.back().revision)
            continue;
        if (!m_recent.empty() && change.revision != m_recent.back().revision + 1)
            m_recent.clear();
        m_recent.push_back(change);
    }
    while (m_recent.size() > m_options.recentMax)
        m_recent.pop_front();
    if (!m_recent.empty() && m_recent.back().revision != m_held->revision())
        m_recent.clear();
}

void Distribution::hold(ConfigurationPtr next, const std::vector<Change> &changes, LinkId source,
                        bool whole, DistributionActions &actions)
{
    if (next->revision() <= m_held->revision())
        return;
    const Revision before = m_held->revision();
    m_held = std::move(next);
    m_heldWhole = whole;
    m_heldSince = m_now;
    remember(changes);
    push(source, before, actions);
    if (source != NO_LINK)
        actions.push_back(SendDistribution{source, ChangesMessage{m_held->revision(), {}}});
    putIntoForce(actions);
}

/**
 * A version is put into force only once another daemon holds it too: this daemon may end at any
 * time, keeps nothing, and must find no less than it ran when it comes back.
 */
void Distribution::putIntoForce(DistributionActions &actions)
{
    if (m_current == m_held)
        return;
    const auto holds = [&](const auto &peer) { return peer.second >= m_held->revision(); };
    if (!m_peers.empty() && std::none_of(m_peers.begin(), m_peers.end(), holds))
        return;
    // Alone and new: the platform's first answer may be stale; the next one would correct it.
    if (m_peers.empty() && m_current->revision() == 0 && m_now < m_heldSince + m_options.settle)
        return;
    m_current = m_held;
    const std::string cause = m_recent.empty() ? std::string() : m_recent.back().id;
    actions.push_back(ApplyVersion{m_current, cause, m_heldWhole});
}

/** A daemon that just began may have run any version that a peer has; it takes none below the best.
 */
bool Distribution::belowFloor(Revision revision) const
{
    if (m_current->revision() != 0)
        return false;
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const auto &peer) { return peer.second > revision; });
}

void Distribution::push(LinkId source, Revision before, DistributionActions &actions)
{
    ChangesMessage news{m_held->revision(), {}};
    for (const Change &change : m_recent) {
        if (change.revision > before)
            news.changes.push_back(change);
    }
    for (const auto &peer : m_peers) {
        const bool eager = m_lazy.count(peer.first) == 0;
        if (eager && peer.first != source && peer.second < m_held->revision())
            actions.push_back(SendDistribution{peer.first, news});
    }
}

void Distribution::startWatch(DistributionActions &actions)
{
    m_watchOutstanding = true;
    actions.push_back(WatchHead{m_headVersion});
}

void Distribution::platformFailed(const Error &error, TimePoint now, DistributionActions &actions)
{
    if (m_platformAnswers)
        actions.push_back(ReportPlatform{false, error});
    m_platformAnswers = false;
    m_pause = std::clamp(m_pause * 2, m_options.retryMin, m_options.retryMax);
    m_nextWatch = now + m_random.jitter(m_pause);
}

void Distribution::platformAnswered(DistributionActions &actions)
{
    if (!m_platformAnswers)
        actions.push_back(ReportPlatform{true, {}});
    m_platformAnswers = true;
}

DistributionActions Distribution::watchAnswered(const Result<std::optional<StoredObject>> &answer,
                                                TimePoint now)
{
    m_now = now;
    DistributionActions actions;
    m_watchOutstanding = false;
    if (!answer && answer.error().code == ResultCode::PlatformNotFound) {
        // No entry was ever proposed; the watch of an absent object returns at once.
        platformAnswered(actions);
        m_nextWatch = now + m_random.jitter(m_options.retryMax);
        return actions;
    }
    if (!answer) {
        platformFailed(answer.error(), now, actions);
        return actions;
    }
    platformAnswered(actions);
    m_pause = {0};
    m_nextWatch = now;
    if (answer.value().has_value())
        onHead(*answer.value(), now, actions);
    return actions;
}

void Distribution::onHead(const StoredObject &object, TimePoint now, DistributionActions &actions)
{
    if (object.version <= m_headVersion) {
        // A stale answer: the platform went back, this daemon does not.
        m_nextWatch = now + m_random.jitter(m_options.retryMin);
        return;
    }
    auto head = decodeHead(object.text);
    if (!head) {
        m_headVersion = object.version;
        reject(0, head.error(), actions);
        return;
    }
    const CatalogueHead &newest = head.value();
    if (belowFloor(newest.revision)) {
        m_nextWatch = now + m_random.jitter(m_options.retryMin);
        return;
    }
    if (newest.revision <= m_held->revision()) {
        m_headVersion = object.version;
        return;
    }
    if (followsOn(newest.changes, m_held->revision())) {
        m_headVersion = object.version;
        auto next = m_held->after(newest.changes);
        if (next)
            hold(next.value(), newest.changes, NO_LINK, false, actions);
        else
            reject(newest.revision, next.error(), actions);
        return;
    }
    m_headChanges = newest.changes;
    m_watchOutstanding = true;
    actions.push_back(ReadChunks{newest.snapshotRevision, newest.snapshotChunks});
}

DistributionActions Distribution::chunksRead(Revision revision,
                                             const Result<std::vector<std::string>> &texts,
                                             TimePoint now)
{
    m_now = now;
    DistributionActions actions;
    m_watchOutstanding = false;
    if (!texts) {
        // The snapshot may have been replaced meanwhile; the head is read again.
        platformFailed(texts.error(), now, actions);
        return actions;
    }
    platformAnswered(actions);
    m_nextWatch = now;
    auto snapshot = decodeSnapshot(revision, texts.value());
    auto next = snapshot ? snapshot.value()->after(m_headChanges) : snapshot;
    if (!next) {
        reject(revision, next.error(), actions);
        m_nextWatch = now + m_random.jitter(m_options.retryMax);
        return actions;
    }
    hold(next.value(), m_headChanges, NO_LINK, true, actions);
    return actions;
}

bool Distribution::takeSnapshotToken(TimePoint now)
{
    const double gained
        = static_cast<double>((now - m_tokensAt).ms) * m_options.snapshotsPerSecond / 1000.0;
    m_snapshotTokens = std::min<double>(m_snapshotTokens + gained, m_options.snapshotsPerSecond);
    m_tokensAt = now;
    if (m_snapshotTokens < 1.0)
        return false;
    m_snapshotTokens -= 1.0;
    return true;
}

DistributionActions Distribution::tick(TimePoint now)
{
    m_now = now;
    DistributionActions actions;
    if (m_watching && !m_watchOutstanding && now >= m_nextWatch)
        startWatch(actions);
    if (m_asked != NO_LINK && now >= m_askedUntil) {
        const LinkId silent = m_asked;
        m_asked = NO_LINK;
        const auto other = bestPeer(silent);
        const auto again = other ? other : bestPeer(NO_LINK);
        if (again)
            ask(*again, now, actions);
    }
    if (m_current->revision() == 0 && now >= m_settled && m_asked == NO_LINK) {
        const auto best = bestPeer(NO_LINK);
        if (best)
            ask(*best, now, actions);
    }
    putIntoForce(actions);
    return actions;
}

} // namespace cornelwell
