/** @file memory_store.h The stand-in platform's objects, rates and faults. */
#pragma once

#include "base/clock.h"
#include "store/object_store.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace cornelwell {

/** Faults that the stand-in can be told to have; 0 and false mean none. */
struct PlatformFaults
{
    bool down = false;          ///< Refuses every call.
    std::int64_t delayMs = 0;   ///< Each call takes this much longer.
    unsigned losePerMille = 0;  ///< Of 1000 writes, answers lost after the write took effect.
    unsigned stalePerMille = 0; ///< Of 1000 reads, ones that show the version before.
};

/** Calls counted; a waiting watch is one. */
struct PlatformCounts
{
    std::uint64_t reads = 0;     ///< Reads, watches among them.
    std::uint64_t watches = 0;   ///< Watches.
    std::uint64_t writes = 0;    ///< Writes and removals.
    std::uint64_t throttled = 0; ///< Calls refused for the rate.
    std::uint64_t refused = 0;   ///< Calls refused while down.
    std::uint64_t lost = 0;      ///< Answers lost after the write took effect.
};

/** Calls taken in a second. */
struct PlatformRates
{
    double reads = 2000; ///< Reads a second.
    double writes = 300; ///< Writes a second.
};

/** Versioned objects in memory. Safe for threads. */
class MemoryStore
{
public:
    explicit MemoryStore(const Clock &clock) : m_clock(clock) {}

    /** @return Ok, or PlatformThrottled or PlatformNotExecuted; counts the call. */
    ResultCode admit(bool write, bool watch);

    /** @return the object, possibly a stale one; version 0 when there is none. */
    StoredObject read(const std::string &name);

    /** Waits until the object's version differs. @return it, or version 0 when it did not. */
    StoredObject watch(const std::string &name, ObjectVersion version, Duration wait);

    /**
     * Writes an object.
     * @param name Its name.
     * @param text Its content.
     * @param expected Version that it must have; 0 for none at all.
     * @return its new version; 0 when the condition does not hold.
     */
    ObjectVersion write(const std::string &name, const std::string &text, ObjectVersion expected);

    /** Removes an object of this version. @return false when it has another. */
    bool remove(const std::string &name, ObjectVersion expected);

    /** @return true when the answer to this write is to be lost. */
    bool losesAnswer();

    /** Sets faults and rates. */
    void configure(const PlatformFaults &faults, const PlatformRates &rates);

    /** @return the faults in force. */
    PlatformFaults faults() const;
    /** @return the rates in force. */
    PlatformRates rates() const;
    /** @return calls so far. */
    PlatformCounts counts() const;

private:
    /** An object and the version before it. */
    struct Item
    {
        StoredObject now;
        StoredObject before;
    };

    /** Tokens of one rate. */
    struct Bucket
    {
        double tokens = 0;
        TimePoint at{0};
    };

    bool take(Bucket &bucket, double rate);
    bool chance(unsigned perMille);

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    ObjectVersion m_nextVersion = 1;
    PlatformFaults m_faults;
    PlatformRates m_rates;
    PlatformCounts m_counts;
    Bucket m_reads;
    Bucket m_writes;
    std::uint64_t m_draws = 0;
};

} // namespace cornelwell
