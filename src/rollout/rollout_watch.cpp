/** @file rollout_watch.cpp Lists, watches and their failures. */
#include "rollout/rollout_watch.h"

#include <algorithm>

namespace cornelwell {

std::optional<WatchAction> RolloutWatch::tick(bool watching, bool active, TimePoint now)
{
    if (m_callPending || now < m_nextCallAt)
        return std::nullopt;
    if (!watching) {
        // What changes meanwhile is not heard of.
        m_listNeeded = true;
        m_after.clear();
        return std::nullopt;
    }
    m_callPending = true;
    m_restored = false;
    if (m_listNeeded)
        return ListRollouts{m_after};
    return WatchRollouts{m_storeRevision, active ? m_options.activeWait : m_options.idleWait};
}

void RolloutWatch::apply(const StoredRollout &object)
{
    if (object.name.empty())
        return;
    if (object.deleted) {
        m_orders.erase(object.name);
        return;
    }
    if (object.order) {
        handleObject(object.order.value());
        return;
    }
    std::uint64_t &refused = m_refusedRevisions[object.name];
    if (refused != object.revision)
        m_refused.push_back(object);
    refused = object.revision;
}

void RolloutWatch::handleObject(const RolloutOrder &order)
{
    const auto [position, added] = m_orders.try_emplace(order.name, order);
    if (!added && order.revision > position->second.revision)
        position->second = order;
}

void RolloutWatch::handleFailure(ResultCode code, TimePoint now)
{
    m_listNeeded = true;
    m_after.clear();
    if (code == ResultCode::PlatformHistoryGone)
        return;
    m_retryDelay
        = {std::clamp(m_retryDelay.ms * 2, m_options.retryDelayMin.ms, m_options.retryDelayMax.ms)};
    m_nextCallAt = now + m_random.jitter(m_retryDelay);
}

void RolloutWatch::handleList(const Result<StoredRollouts> &answer, TimePoint sentAt, TimePoint now)
{
    m_callPending = false;
    if (!answer) {
        handleFailure(answer.error().code, now);
        return;
    }
    const StoredRollouts &page = answer.value();
    if (page.more && (page.last.empty() || page.last == m_after)) {
        // The list cannot be continued; taken for whole it would remove the orders that follow.
        handleFailure(ResultCode::PlatformProtocol, now);
        return;
    }
    m_retryDelay = {0};
    if (m_after.empty()) {
        m_listed.clear();
        m_listSentAt = sentAt;
        m_storeRevision = page.storeRevision;
        if (m_restored)
            return;
    }
    for (const StoredRollout &object : page.objects) {
        m_listed.insert(object.name);
        apply(object);
    }
    m_after = page.more ? page.last : std::string();
    if (!m_after.empty())
        return;
    for (auto order = m_orders.begin(); order != m_orders.end();)
        order = m_listed.count(order->first) == 0 ? m_orders.erase(order) : std::next(order);
    m_listNeeded = false;
    m_confirmedAt = m_listSentAt;
}

void RolloutWatch::handleWatch(const Result<StoredRollouts> &answer, TimePoint sentAt,
                               TimePoint now)
{
    m_callPending = false;
    if (!answer) {
        handleFailure(answer.error().code, now);
        return;
    }
    m_retryDelay = {0};
    if (m_restored)
        return;
    for (const StoredRollout &object : answer.value().objects)
        apply(object);
    m_storeRevision = answer.value().storeRevision;
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
}

void RolloutWatch::handleStoreRestored()
{
    m_orders.clear();
    m_refusedRevisions.clear();
    m_after.clear();
    m_listNeeded = true;
    m_restored = true;
    m_confirmedAt = {0};
    m_nextCallAt = {0};
}

std::vector<StoredRollout> RolloutWatch::takeRefused()
{
    std::vector<StoredRollout> refused;
    refused.swap(m_refused);
    return refused;
}

} // namespace cornelwell
