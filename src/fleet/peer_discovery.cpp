/** @file peer_discovery.cpp Announce, then list. */
#include "fleet/peer_discovery.h"

#include <algorithm>

namespace cornelwell {

DirectoryActions Directory::start()
{
    return next();
}

DirectoryActions Directory::next()
{
    m_callOpen = true;
    if (m_step == Step::Announce)
        return {AnnounceSelf{m_ownRevision}};
    return {ListDaemons{m_after}};
}

void Directory::failed(TimePoint now)
{
    m_callOpen = false;
    m_pause = {std::clamp(m_pause.ms * 2, m_options.retryMin.ms, m_options.retryMax.ms)};
    m_nextCall = now + m_random.jitter(m_pause);
}

DirectoryActions Directory::announced(const Result<AnnounceAnswer> &answer, TimePoint now)
{
    if (!answer) {
        failed(now);
        return {};
    }
    m_pause = {0};
    const AnnounceAnswer &value = answer.value();
    if (!value.written && value.stored) {
        const DaemonRecord &own = m_table.self();
        const DaemonRecord &stored = value.stored->record;
        const bool same = stored.link == own.link && stored.service == own.service
                          && stored.dataCentre == own.dataCentre;
        m_ownRevision = value.stored->revision;
        if (!same)
            return next();
    } else if (!value.written) {
        m_ownRevision = 0;
        failed(now);
        return {};
    }
    m_step = Step::List;
    m_after.clear();
    return next();
}

DirectoryActions Directory::listed(const Result<DaemonPage> &answer, TimePoint now)
{
    if (!answer) {
        failed(now);
        return {};
    }
    m_pause = {0};
    for (const StoredDaemon &daemon : answer.value().daemons)
        m_table.learn(daemon.record, false);
    if (answer.value().more && !answer.value().last.empty()) {
        m_after = answer.value().last;
        return next();
    }
    m_callOpen = false;
    m_step = Step::Settled;
    m_after.clear();
    // The first lists may be older than announcements of daemons that started at the same time.
    const bool settling = m_lists++ < m_options.settlingLists;
    m_nextCall = now + m_random.jitter(settling ? m_options.settling : m_options.lookAgain);
    return {};
}

DirectoryActions Directory::tick(TimePoint now)
{
    if (m_callOpen || now < m_nextCall)
        return {};
    return next();
}

} // namespace cornelwell
