/** @file key_ledger.h Which keyed requests ran on this daemon's server: the decision. */
#pragma once

#include "delivery/delivery_type.h"

#include <deque>
#include <map>
#include <string>

namespace cornelwell {

/** Keys seen by this daemon, in memory. What is forgotten stays safe by its claim. Not safe for
 * threads. */
class KeyLedger
{
public:
    explicit KeyLedger(LedgerOptions options) : m_options(options) {}

    /**
     * A request with a key arrives; a new one is in progress afterwards, and so is one that was not
     * run.
     * @return what was known before.
     */
    KeyRecord begin(const RequestKey &key, TimePoint now);

    /** The request of a key ended. @param answer Kept for repeats when the state is Answered. */
    void finish(const std::string &key, KeyState state, const HttpResponse &answer, TimePoint now);

    /** Forgets a key whose request was not run and whose claim is given up. */
    void forget(const std::string &key);

    /** @return what is known of a key, without changing it. */
    KeyRecord find(const std::string &key) const;

    /** @return keys kept. */
    std::size_t size() const { return m_entries.size(); }

private:
    struct Item
    {
        std::uint64_t fingerprint = 0;
        KeyRecord record;
        TimePoint since;
    };

    void evict(TimePoint now);

    const LedgerOptions m_options;
    std::map<std::string, Item> m_entries;
    std::deque<std::pair<TimePoint, std::string>> m_finished;
    std::size_t m_bytes = 0;
};

} // namespace cornelwell
