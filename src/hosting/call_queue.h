/** @file call_queue.h Calls that wait for the local server, in the order of their starts. */
#pragma once

#include "hosting/hosting_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelwell {

/**
 * Queue of calls by rank, fair among the tenants within a rank (start-time fair queueing).
 *
 * Each tenant of a rank has a virtual time, which a start advances by the expected processing time
 * of the call; the tenant with the lowest virtual time is next. A tenant that had nothing queued
 * starts at the virtual time of the rank, so that it saves up no claim. A tenant of which a far
 * smaller share of calls has started than of all goes first. With one tenant, or none, the calls of
 * a rank start in the order of their identifiers.
 */
class CallQueue
{
public:
    /** @return the expected processing time of a route, in ms. */
    using ExpectedProcessing = std::function<double(const std::string &route)>;
    /** Decides about a queued call; gets the number of calls expected to start before it. */
    using Check = std::function<HostReason(const HostCall &call, std::size_t callsAhead)>;
    /** Receives a call that was removed, why, and the number of calls that were ahead of it. */
    using Removed
        = std::function<void(const HostCall &call, HostReason reason, std::size_t callsAhead)>;

    /** Counts a call that was submitted, whether it is queued or refused. */
    void recordSubmitted(const HostCall &call);
    /** Adds a call. @param costMs Expected processing time. */
    void add(HostCall call, double costMs);
    /**
     * @return the call to start next, or null when the queue is empty: of the tenant whose turn it
     * is in the front rank, the first call that can meet its soft deadline, else its first call.
     */
    const HostCall *next(TimePoint now, const ExpectedProcessing &expected) const;
    /** @return the first call that has to start before @p startBy to meet its soft deadline. */
    const HostCall *nextUrgent(TimePoint startBy, const ExpectedProcessing &expected) const;
    /** Removes a call that starts, and charges its tenant. @return the call. */
    HostCall takeForStart(const HostCall &call, double costMs);
    /** Removes a call. @return the call; nothing when it is not queued. */
    std::optional<HostCall> remove(HostCallId id);
    /** Removes all calls. @return the calls, in the order of ranks. */
    std::vector<HostCall> removeAll();
    /** Removes the calls for which @p check gives a reason, and passes them to @p removed. */
    void removeIf(const Check &check, const Removed &removed);
    /**
     * Finds the call that gives way to another one in a full queue.
     * @return the last call of the tenant with the most queued calls, in the rank of @p call or a
     * less urgent one; null unless that tenant, with one call less, still has more than the tenant
     * of @p call has.
     */
    const HostCall *displacedBy(const HostCall &call) const;

    /** @return number of queued calls that are expected to start before a new call. */
    std::size_t callsAhead(const HostCall &call) const;
    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }

private:
    /** A queued call. */
    struct Entry
    {
        HostCall call;
        double costMs = 0; ///< Expected processing time when the call was queued.
    };
    /** Calls of a tenant in a rank. */
    struct TenantQueue
    {
        std::map<HostCallId, Entry> calls;
        double virtualTime = 0; ///< Start tag of the tenant's next call.
        double costMs = 0;      ///< Sum over the queued calls.
        double submitted = 0;   ///< Recent calls, refused ones included.
        double started = 0;     ///< Recent calls that started.
    };
    /** Calls of a rank. */
    struct RankQueue
    {
        std::map<std::string, TenantQueue> tenants; ///< By name; some have no queued call.
        std::size_t size = 0;
        double virtualTime = 0; ///< Highest start tag of the calls that have started.
        double submitted = 0;   ///< Recent calls, refused ones included.
        double started = 0;     ///< Recent calls that started.
    };

    static bool isBelowFloor(const RankQueue &queue, const TenantQueue &tenant);
    static const TenantQueue *turn(const RankQueue &queue);
    static std::size_t othersAhead(const RankQueue &queue, const TenantQueue &own, double startTag);
    std::map<HostCallId, Entry>::iterator erase(RankQueue &queue, TenantQueue &tenant,
                                                std::map<HostCallId, Entry>::iterator item);

    std::map<unsigned, RankQueue> m_ranks; ///< Some have no queued call.
    std::size_t m_size = 0;
};

} // namespace cornelwell
