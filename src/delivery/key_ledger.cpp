/** @file key_ledger.cpp Keeps keys and first answers within bounds. */
#include "delivery/key_ledger.h"

namespace cornelwell {

KeyRecord KeyLedger::begin(const RequestKey &key, TimePoint now)
{
    evict(now);
    const auto at = m_entries.find(key.key);
    if (at == m_entries.end()) {
        Item item;
        item.fingerprint = key.fingerprint;
        item.record.state = KeyState::InProgress;
        item.since = now;
        m_entries[key.key] = std::move(item);
        return {};
    }
    if (at->second.fingerprint != key.fingerprint)
        return {KeyState::OtherRequest, {}};
    const KeyRecord before = at->second.record;
    if (before.state == KeyState::NotRun)
        at->second.record.state = KeyState::InProgress;
    return before;
}

void KeyLedger::finish(const std::string &key, KeyState state, const HttpResponse &answer,
                       TimePoint now)
{
    const auto at = m_entries.find(key);
    if (at == m_entries.end())
        return;
    at->second.record.state = state;
    at->second.since = now;
    if (state == KeyState::Answered) {
        at->second.record.answer = answer;
        m_bytes += answer.body.size();
    }
    m_finished.emplace_back(now, key);
    evict(now);
}

void KeyLedger::forget(const std::string &key)
{
    m_entries.erase(key);
}

KeyRecord KeyLedger::find(const std::string &key) const
{
    const auto at = m_entries.find(key);
    return at == m_entries.end() ? KeyRecord() : at->second.record;
}

void KeyLedger::evict(TimePoint now)
{
    while (!m_finished.empty()) {
        const auto &oldest = m_finished.front();
        const bool old = now - oldest.first > m_options.keep;
        if (!old && m_entries.size() <= m_options.recordsMax && m_bytes <= m_options.bytesMax)
            return;
        const auto at = m_entries.find(oldest.second);
        const bool current = at != m_entries.end() && at->second.since == oldest.first
                             && at->second.record.state != KeyState::InProgress;
        if (current) {
            m_bytes -= at->second.record.state == KeyState::Answered
                           ? at->second.record.answer.body.size()
                           : 0;
            m_entries.erase(at);
        }
        m_finished.pop_front();
    }
}

} // namespace cornelwell
