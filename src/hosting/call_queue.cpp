/** @file call_queue.cpp Start-time fair queueing of the calls of a rank. */
#include "hosting/call_queue.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr std::size_t LOOKAHEAD_MAX = 32; ///< Calls of a tenant examined for the next start.
constexpr double COST_MIN_MS = 1; ///< Calls without a measurable processing time have a cost too.
/** Tenants and ranks without queued calls that are kept, since they soon have some again. */
constexpr std::size_t IDLE_TENANTS_MAX = 128;
constexpr std::size_t IDLE_RANKS_MAX = 64;
/**
 * A tenant goes first while its share of started calls is below this part of the share of all calls
 * of the rank. Equal turns alone leave a tenant with most of the load far less than a quarter.
 */
constexpr double SHARE_FLOOR = 0.35;
constexpr double RECENT_CALLS_MAX = 400; ///< Submitted calls of a rank; half is forgotten above.

} // namespace

void CallQueue::add(HostCall call, double costMs)
{
    RankQueue &rank = m_ranks[call.rank];
    TenantQueue &tenant = rank.tenants[call.tenant];
    if (tenant.calls.empty())
        tenant.virtualTime = std::max(tenant.virtualTime, rank.virtualTime);
    costMs = std::max(costMs, COST_MIN_MS);
    const HostCallId id = call.id;
    if (!tenant.calls.emplace(id, Entry{std::move(call), costMs}).second)
        return;
    tenant.costMs += costMs;
    rank.size++;
    m_size++;
}

void CallQueue::recordSubmitted(const HostCall &call)
{
    if (m_ranks.size() > IDLE_RANKS_MAX) {
        for (auto item = m_ranks.begin(); item != m_ranks.end();)
            item = item->second.size == 0 ? m_ranks.erase(item) : std::next(item);
    }
    RankQueue &rank = m_ranks[call.rank];
    if (rank.tenants.size() > IDLE_TENANTS_MAX) {
        for (auto item = rank.tenants.begin(); item != rank.tenants.end();) {
            const bool idle
                = item->second.calls.empty() && item->second.virtualTime <= rank.virtualTime;
            item = idle ? rank.tenants.erase(item) : std::next(item);
        }
    }
    rank.submitted++;
    rank.tenants[call.tenant].submitted++;
    if (rank.submitted <= RECENT_CALLS_MAX)
        return;
    rank.submitted /= 2;
    rank.started /= 2;
    for (auto &[name, tenant] : rank.tenants) {
        tenant.submitted /= 2;
        tenant.started /= 2;
    }
}

bool CallQueue::isBelowFloor(const RankQueue &queue, const TenantQueue &tenant)
{
    return tenant.started * queue.submitted < SHARE_FLOOR * tenant.submitted * queue.started;
}

/** @return the tenant whose call starts next; the rank must have a queued call. */
const CallQueue::TenantQueue *CallQueue::turn(const RankQueue &queue)
{
    const TenantQueue *first = nullptr;
    bool firstBelowFloor = false;
    for (const auto &[name, tenant] : queue.tenants) {
        if (tenant.calls.empty())
            continue;
        const bool belowFloor = isBelowFloor(queue, tenant);
        const bool equal = first != nullptr && belowFloor == firstBelowFloor;
        const bool earlier = first == nullptr || (belowFloor && !firstBelowFloor)
                             || (equal && tenant.virtualTime < first->virtualTime)
                             || (equal && tenant.virtualTime == first->virtualTime
                                 && tenant.calls.begin()->first < first->calls.begin()->first);
        if (!earlier)
            continue;
        first = &tenant;
        firstBelowFloor = belowFloor;
    }
    return first;
}

const HostCall *CallQueue::next(TimePoint now, const ExpectedProcessing &expected) const
{
    const auto front = std::find_if(m_ranks.begin(), m_ranks.end(),
                                    [](const auto &item) { return item.second.size > 0; });
    if (front == m_ranks.end())
        return nullptr;
    const TenantQueue &tenant = *turn(front->second);
    std::size_t examined = 0;
    for (auto item = tenant.calls.begin(); item != tenant.calls.end() && examined < LOOKAHEAD_MAX;
         ++item, ++examined) {
        const HostCall &call = item->second.call;
        if (now + Duration{static_cast<std::int64_t>(expected(call.route))} <= call.softDeadline)
            return &call;
    }
    return &tenant.calls.begin()->second.call;
}

const HostCall *CallQueue::nextUrgent(TimePoint startBy, const ExpectedProcessing &expected) const
{
    for (const auto &[number, rank] : m_ranks) {
        for (const auto &[name, tenant] : rank.tenants) {
            for (const auto &[id, entry] : tenant.calls) {
                const Duration processing{static_cast<std::int64_t>(expected(entry.call.route))};
                if (startBy + processing > entry.call.softDeadline)
                    return &entry.call;
            }
        }
    }
    return nullptr;
}

/** Removes a call. Tenants are even again when their rank has no queued call left. */
std::map<HostCallId, CallQueue::Entry>::iterator
CallQueue::erase(RankQueue &queue, TenantQueue &tenant, std::map<HostCallId, Entry>::iterator item)
{
    tenant.costMs -= item->second.costMs;
    const auto following = tenant.calls.erase(item);
    queue.size--;
    m_size--;
    if (queue.size == 0) {
        queue.virtualTime = 0;
        for (auto &[name, idle] : queue.tenants)
            idle.virtualTime = idle.costMs = 0;
    }
    return following;
}

HostCall CallQueue::takeForStart(const HostCall &call, double costMs)
{
    RankQueue &rank = m_ranks.at(call.rank);
    TenantQueue &tenant = rank.tenants.at(call.tenant);
    const auto item = tenant.calls.find(call.id);
    HostCall taken = std::move(item->second.call);
    rank.virtualTime = std::max(rank.virtualTime, tenant.virtualTime);
    tenant.virtualTime += std::max(costMs, COST_MIN_MS);
    rank.started++;
    tenant.started++;
    erase(rank, tenant, item);
    return taken;
}

std::optional<HostCall> CallQueue::remove(HostCallId id)
{
    for (auto &[number, rank] : m_ranks) {
        for (auto &[name, tenant] : rank.tenants) {
            const auto item = tenant.calls.find(id);
            if (item == tenant.calls.end())
                continue;
            HostCall call = std::move(item->second.call);
            erase(rank, tenant, item);
            return call;
        }
    }
    return std::nullopt;
}

std::vector<HostCall> CallQueue::removeAll()
{
    std::vector<HostCall> calls;
    for (auto &[number, rank] : m_ranks) {
        for (auto &[name, tenant] : rank.tenants) {
            for (auto &[id, entry] : tenant.calls)
                calls.push_back(std::move(entry.call));
        }
    }
    m_ranks.clear();
    m_size = 0;
    return calls;
}

void CallQueue::removeIf(const Check &check, const Removed &removed)
{
    std::size_t lowerRanks = 0;
    for (auto &[number, rank] : m_ranks) {
        for (auto &[name, tenant] : rank.tenants) {
            std::size_t own = 0;
            double startTag = tenant.virtualTime;
            for (auto item = tenant.calls.begin(); item != tenant.calls.end();) {
                const std::size_t ahead = lowerRanks + own + othersAhead(rank, tenant, startTag);
                const HostReason reason = check(item->second.call, ahead);
                if (reason == HostReason::None) {
                    startTag += item->second.costMs;
                    own++;
                    ++item;
                    continue;
                }
                removed(item->second.call, reason, ahead);
                item = erase(rank, tenant, item);
            }
        }
        lowerRanks += rank.size;
    }
}

const HostCall *CallQueue::displacedBy(const HostCall &call) const
{
    std::size_t ownCalls = 0;
    const TenantQueue *largest = nullptr;
    for (auto rank = m_ranks.lower_bound(call.rank); rank != m_ranks.end(); ++rank) {
        for (const auto &[name, tenant] : rank->second.tenants) {
            if (name == call.tenant && rank->first == call.rank)
                ownCalls = tenant.calls.size();
            else if (name != call.tenant
                     && (largest == nullptr || tenant.calls.size() >= largest->calls.size()))
                largest = &tenant;
        }
    }
    if (largest == nullptr || largest->calls.size() <= ownCalls + 1)
        return nullptr;
    return &largest->calls.rbegin()->second.call;
}

/** @return number of calls of the other tenants of a rank whose start tag is below @p startTag. */
std::size_t CallQueue::othersAhead(const RankQueue &queue, const TenantQueue &own, double startTag)
{
    const std::size_t others = queue.size - own.calls.size();
    if (others == 0)
        return 0;
    std::size_t ahead = 0;
    for (const auto &[name, tenant] : queue.tenants) {
        if (&tenant == &own || tenant.calls.empty() || tenant.virtualTime > startTag)
            continue;
        const auto count = static_cast<double>(tenant.calls.size());
        const double before
            = std::floor((startTag - tenant.virtualTime) * count / tenant.costMs) + 1;
        ahead += static_cast<std::size_t>(std::min(count, before));
    }
    return ahead;
}

std::size_t CallQueue::callsAhead(const HostCall &call) const
{
    std::size_t ahead = 0;
    for (const auto &[number, rank] : m_ranks) {
        if (number > call.rank)
            break;
        if (number < call.rank) {
            ahead += rank.size;
            continue;
        }
        static const TenantQueue NONE;
        const auto found = rank.tenants.find(call.tenant);
        const TenantQueue &own = found == rank.tenants.end() ? NONE : found->second;
        const double first
            = own.calls.empty() ? std::max(own.virtualTime, rank.virtualTime) : own.virtualTime;
        ahead += own.calls.size() + othersAhead(rank, own, first + own.costMs);
    }
    return ahead;
}

} // namespace cornelwell
