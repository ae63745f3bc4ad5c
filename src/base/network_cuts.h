/** @file network_cuts.h Addresses from which an experiment cuts this process off. Empty in service.
 */
#pragma once

#include <mutex>
#include <set>
#include <string>

namespace cornelwell {

/** A set of IP numbers; safe for threads. */
class NetworkCuts
{
public:
    /** Replaces the set. */
    void set(std::set<std::string> addresses)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_addresses = std::move(addresses);
    }

    /** @return true when messages from and to this IP number are to vanish. */
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
