/** @file rollout_watch.h Reads the orders of roll-outs from the platform's store. */
#pragma once

#include "base/random.h"
#include "base/result.h"
#include "rollout/rollout_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** One object of an answer of the store. */
struct StoredRollout
{
    std::string name;           ///< Name of the object; empty when it has none.
    std::uint64_t revision = 0; ///< Revision of the object.
    bool deleted = false;       ///< The object is deleted.
    /** The order, or why it is not understood. */
    Result<RolloutOrder> order = RolloutOrder();
};

/** Answer of the store to a list or a watch. */
struct StoredRollouts
{
    std::uint64_t storeRevision = 0;    ///< Where the next watch begins.
    std::vector<StoredRollout> objects; ///< All objects of a list, the changed ones of a watch.
    bool more = false;                  ///< More pages follow.
    std::string last;                   ///< Name of the last object, for ListRollouts::after.
    /** Parts of the answer that cannot be read, with their places; for logs. */
    std::vector<Error> faults;
};

/** Read a page of the orders, not from a cache; then call handleList(). */
struct ListRollouts
{
    std::string after; ///< The page starts after this name.
};
/** Wait for a change of the orders; then call handleWatch(). */
struct WatchRollouts
{
    std::uint64_t storeRevision = 0; ///< Last store revision seen.
    Duration wait;                   ///< Longest time that the store may wait.
};
using WatchAction = std::variant<ListRollouts, WatchRollouts>;

/** Delays of the store calls. */
struct WatchOptions
{
    /** Wait of a watch while no roll-out is active; another data centre's watcher may hear first.
     */
    Duration idleWait = {10000};
    /** Wait while one is active: each answer confirms the state of the roll-out. */
    Duration activeWait = {1000};
    Duration retryDelayMin = {100};  ///< Delay after a failed call; doubles up to the next value.
    Duration retryDelayMax = {1000}; ///< Longest such delay.
};

/**
 * Keeps the orders as the store holds them: a list first, then one waiting watch at a time. After a
 * failure or a new era of the store it lists again, since a watch may then report nothing.
 */
class RolloutWatch
{
public:
    RolloutWatch(WatchOptions options, std::uint64_t seed) : m_options(options), m_random(seed) {}

    /**
     * @return the call that is due, if any.
     * @param watching This daemon watches the store for its data centre.
     * @param active A roll-out is active.
     * @param now Time.
     */
    std::optional<WatchAction> tick(bool watching, bool active, TimePoint now);
    /** Handles the answer to ListRollouts. @param sentAt When the call was sent. */
    void handleList(const Result<StoredRollouts> &answer, TimePoint sentAt, TimePoint now);
    /** Handles the answer to WatchRollouts. */
    void handleWatch(const Result<StoredRollouts> &answer, TimePoint sentAt, TimePoint now);
    /** Handles an object that the store returned for a write. */
    void handleObject(const RolloutOrder &order);
    /** Removes an object that the store does not have. */
    void handleMissing(const std::string &name) { m_orders.erase(name); }
    /** Reads all orders again with the next call, since a write's answer was lost. */
    void requestList() { m_listNeeded = true; }
    /** Handles a new era of the store, in which revisions start anew. */
    void handleStoreRestored();

    /** @return the orders by name of the object. */
    const std::map<std::string, RolloutOrder> &orders() const { return m_orders; }
    /** @return time at which all orders were certainly the newest; 0: never. */
    TimePoint confirmedAt() const { return m_confirmedAt; }
    /** @return objects that were not understood since the last call; each revision once. */
    std::vector<StoredRollout> takeRefused();

private:
    void apply(const StoredRollout &object);
    void handleFailure(ResultCode code, TimePoint now);

    const WatchOptions m_options;
    Random m_random;
    std::map<std::string, RolloutOrder> m_orders;
    std::set<std::string> m_listed; ///< Names on the pages of the list in progress.
    std::vector<StoredRollout> m_refused;
    std::map<std::string, std::uint64_t> m_refusedRevisions;
    std::string m_after;
    std::uint64_t m_storeRevision = 0;
    bool m_listNeeded = true;
    bool m_callPending = false;
    bool m_restored = false; ///< The pending call was sent in an earlier era.
    TimePoint m_listSentAt{0};
    TimePoint m_confirmedAt{0};
    TimePoint m_nextCallAt{0};
    Duration m_retryDelay{0};
};

} // namespace cornelwell
