/** @file peer_discovery.cpp Announces this daemon, then lists the others periodically. */
#include "fleet/peer_discovery.h"

#include <algorithm>

namespace cornelwell {

namespace {

/** @return true when the same call may succeed the next time. */
bool isTransient(ResultCode code)
{
    return code == ResultCode::PlatformNotExecuted || code == ResultCode::PlatformUnknown
           || code == ResultCode::PlatformThrottled;
}

} // namespace

DiscoveryActions PeerDiscovery::start()
{
    return nextCall();
}

DiscoveryActions PeerDiscovery::nextCall()
{
    m_callPending = true;
    if (m_announceAgain) {
        m_announceAgain = false;
        m_step = Step::Announce;
        m_ownRevision = 0;
        m_completeLists = 0;
    }
    if (m_step == Step::Announce)
        return {AnnounceSelf{m_ownRevision}};
    return {ListDaemons{m_after}};
}

void PeerDiscovery::scheduleRetry(TimePoint now)
{
    m_callPending = false;
    m_retryDelay
        = {std::clamp(m_retryDelay.ms * 2, m_options.retryDelayMin.ms, m_options.retryDelayMax.ms)};
    m_nextCallAt = now + m_random.jitter(m_retryDelay);
}

DiscoveryActions PeerDiscovery::handleAnnounceAnswer(const Result<AnnounceAnswer> &answer,
                                                     TimePoint now)
{
    if (!answer) {
        scheduleRetry(now);
        return {};
    }
    m_retryDelay = {0};
    const AnnounceAnswer &value = answer.value();
    if (!value.written && value.stored) {
        const DaemonRecord &own = m_table.self();
        const DaemonRecord &stored = value.stored->record;
        const bool same = stored.linkEndpoint == own.linkEndpoint && stored.service == own.service
                          && stored.dataCentre == own.dataCentre;
        m_ownRevision = value.stored->revision;
        if (!same)
            return nextCall();
    } else if (!value.written) {
        m_ownRevision = 0;
        scheduleRetry(now);
        return {};
    }
    m_step = Step::List;
    m_after.clear();
    return nextCall();
}

DiscoveryActions PeerDiscovery::handleListAnswer(const Result<DaemonPage> &answer, TimePoint now)
{
    if (!answer) {
        // A page that cannot be read must not keep this daemon from the changes on earlier ones.
        if (!isTransient(answer.error().code))
            m_after.clear();
        scheduleRetry(now);
        return {};
    }
    const DaemonPage &page = answer.value();
    for (const StoredDaemon &daemon : page.daemons)
        m_table.addOrUpdate(daemon.record, false);
    if (page.more && (page.last.empty() || page.last == m_after)) {
        // The list cannot be continued, and is not whole.
        m_after.clear();
        scheduleRetry(now);
        return {};
    }
    m_retryDelay = {0};
    if (page.more) {
        m_after = page.last;
        return nextCall();
    }
    m_callPending = false;
    m_step = Step::Relist;
    m_after.clear();
    // The store may answer the first lists from before the announcements of daemons that started at
    // the same time, so these lists are repeated sooner.
    const bool startup = m_completeLists++ < m_options.startupListCount;
    m_nextCallAt = now
                   + m_random.jitter(startup || m_announceAgain ? m_options.startupListInterval
                                                                : m_options.listInterval);
    return {};
}

void PeerDiscovery::handleStoreRestored(TimePoint now)
{
    m_announceAgain = true;
    // All daemons write at about this time.
    m_nextCallAt = now + m_random.jitter(m_options.startupListInterval);
}

DiscoveryActions PeerDiscovery::tick(TimePoint now)
{
    if (m_callPending || now < m_nextCallAt)
        return {};
    return nextCall();
}

} // namespace cornelwell
