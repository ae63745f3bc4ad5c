/** @file memory_store.cpp Objects in memory with conditional writes, watches and faults. */
#include "memory_store.h"

#include "base/hash_func.h"

#include <algorithm>
#include <chrono>

namespace cornelwell {

bool MemoryStore::take(Bucket &bucket, double rate)
{
    const TimePoint now = m_clock.now();
    const double gained = static_cast<double>((now - bucket.at).ms) * rate / 1000.0;
    bucket.tokens = std::min(bucket.tokens + gained, rate);
    bucket.at = now;
    if (bucket.tokens < 1.0)
        return false;
    bucket.tokens -= 1.0;
    return true;
}

bool MemoryStore::chance(unsigned perMille)
{
    return perMille > 0 && hash64("draw", m_draws++) % 1000 < perMille;
}

ResultCode MemoryStore::admit(bool write, bool watch)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_faults.down) {
        m_counts.refused++;
        return ResultCode::PlatformNotExecuted;
    }
    if (!take(write ? m_writes : m_reads, write ? m_rates.writes : m_rates.reads)) {
        m_counts.throttled++;
        return ResultCode::PlatformThrottled;
    }
    m_counts.reads += write ? 0 : 1;
    m_counts.writes += write ? 1 : 0;
    m_counts.watches += watch ? 1 : 0;
    return ResultCode::Ok;
}

StoredObject MemoryStore::read(const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto at = m_items.find(name);
    if (at == m_items.end())
        return {};
    const bool stale = at->second.before.version != 0 && chance(m_faults.stalePerMille);
    return stale ? at->second.before : at->second.now;
}

StoredObject MemoryStore::watch(const std::string &name, ObjectVersion version, Duration wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto changed = [&] {
        const auto at = m_items.find(name);
        return m_faults.down || (at != m_items.end() && at->second.now.version != version);
    };
    if (!m_changed.wait_for(lock, std::chrono::milliseconds(wait.ms), changed) || m_faults.down)
        return {};
    const Item &item = m_items.at(name);
    const bool stale = item.before.version != 0 && chance(m_faults.stalePerMille);
    return stale ? item.before : item.now;
}

ObjectVersion MemoryStore::write(const std::string &name, const std::string &text,
                                 ObjectVersion expected)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto at = m_items.find(name);
    const ObjectVersion current = at == m_items.end() ? 0 : at->second.now.version;
    if (current != expected)
        return 0;
    Item &item = m_items[name];
    item.before = item.now;
    item.now = {text, m_nextVersion++};
    m_changed.notify_all();
    return item.now.version;
}

bool MemoryStore::remove(const std::string &name, ObjectVersion expected)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto at = m_items.find(name);
    if (at == m_items.end())
        return true;
    if (at->second.now.version != expected)
        return false;
    m_items.erase(at);
    m_changed.notify_all();
    return true;
}

bool MemoryStore::losesAnswer()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool loses = chance(m_faults.losePerMille);
    m_counts.lost += loses ? 1 : 0;
    return loses;
}

void MemoryStore::configure(const PlatformFaults &faults, const PlatformRates &rates)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
    m_rates = rates;
    m_changed.notify_all();
}

PlatformFaults MemoryStore::faults() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

PlatformRates MemoryStore::rates() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_rates;
}

PlatformCounts MemoryStore::counts() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_counts;
}

} // namespace cornelwell
