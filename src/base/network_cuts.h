/** @file network_cuts.h Simulated network partitions for fault injection; none in production. */
#pragma once

#include <mutex>
#include <set>
#include <string>

namespace cornelwell {

/** IP addresses with which this process must not communicate, set by experiments. Thread-safe. */
class NetworkCuts
{
public:
    /** Replaces the set of addresses. */
    void set(std::set<std::string> addresses)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_addresses = std::move(addresses);
    }

    /** @return true when all traffic from and to this IP address must be dropped. */
    bool isCut(const std::string &address) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return !m_addresses.empty() && m_addresses.count(address) != 0;
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_addresses;
};

} // namespace cornelwell
