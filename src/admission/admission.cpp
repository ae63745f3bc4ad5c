/** @file admission.cpp Weighted fair queueing over the classes with a deadline check at the door.
 */
#include "admission/admission.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr double MEAN_WEIGHT = 0.05;       ///< Part of a new measurement in the moving mean.
constexpr Duration RETRY_AFTER_MIN = {50}; ///< Shortest advice when to come back.

double weightOf(std::size_t index)
{
    return requestClassWeight(static_cast<RequestClass>(index));
}

} // namespace

Admission::Admission(AdmissionOptions options)
    : m_options(options), m_meanMs(static_cast<double>(options.firstEstimate.ms))
{}

Duration Admission::expectedWait(RequestClass requestClass) const
{
    // Requests served before a new one of this class: its own queue, and of each other class what
    // the weights let through meanwhile.
    const auto mine = static_cast<std::size_t>(requestClass);
    const double own = static_cast<double>(m_queues[mine].waiters.size()) + 1;
    double before = own;
    for (std::size_t i = 0; i < m_queues.size(); i++) {
        if (i == mine)
            continue;
        const double share = own * weightOf(i) / weightOf(mine);
        before += std::min<double>(static_cast<double>(m_queues[i].waiters.size()), share);
    }
    const double rounds = before / std::max<std::uint32_t>(m_options.slots, 1);
    return {static_cast<std::int64_t>(rounds * m_meanMs)};
}

AdmissionAnswer Admission::ask(RequestClass requestClass, TimePoint deadline, TimePoint now)
{
    AdmissionAnswer answer;
    const Duration mean = estimate();
    if (m_running < m_options.slots && m_waiting == 0) {
        if (now >= deadline) {
            answer.code = ResultCode::CallDeadline;
            return answer;
        }
        m_running++;
        answer.verdict = AdmissionVerdict::Run;
        answer.ticket = m_nextTicket++;
        return answer;
    }
    const Duration wait = expectedWait(requestClass);
    answer.retryAfter = std::max(wait, RETRY_AFTER_MIN);
    if (now + wait + mean > deadline) {
        answer.code = ResultCode::CallDeadline;
        return answer;
    }
    ClassQueue &queue = m_queues[static_cast<std::size_t>(requestClass)];
    // Each class may always hold its part of the queue, so that no flood shuts another class out.
    double weights = 0;
    for (std::size_t i = 0; i < m_queues.size(); i++)
        weights += weightOf(i);
    const double part
        = m_options.queueMax * weightOf(static_cast<std::size_t>(requestClass)) / weights;
    const bool withinPart = static_cast<double>(queue.waiters.size()) < part;
    if (m_waiting >= m_options.queueMax && !withinPart) {
        answer.code = ResultCode::CallOverloaded;
        return answer;
    }
    if (queue.waiters.empty())
        queue.served = std::max(queue.served, m_virtualTime);
    answer.verdict = AdmissionVerdict::Wait;
    answer.ticket = m_nextTicket++;
    queue.waiters.push_back({answer.ticket, deadline});
    m_waiting++;
    return answer;
}

Admission::ClassQueue *Admission::nextQueue()
{
    ClassQueue *next = nullptr;
    for (ClassQueue &queue : m_queues) {
        if (!queue.waiters.empty() && (next == nullptr || queue.served < next->served))
            next = &queue;
    }
    return next;
}

void Admission::startServing(ClassQueue &queue)
{
    const auto index = static_cast<std::size_t>(&queue - m_queues.data());
    m_virtualTime = queue.served;
    queue.served += 1.0 / weightOf(index);
}

std::vector<TicketId> Admission::release(Duration busy, TimePoint now)
{
    m_meanMs += MEAN_WEIGHT * (static_cast<double>(busy.ms) - m_meanMs);
    if (m_running > 0)
        m_running--;
    std::vector<TicketId> started;
    while (m_running < m_options.slots) {
        ClassQueue *queue = nextQueue();
        if (queue == nullptr)
            break;
        const Waiter waiter = queue->waiters.front();
        queue->waiters.pop_front();
        m_waiting--;
        // One that has run out of time is told by expire or by its own timeout.
        if (now >= waiter.deadline)
            continue;
        startServing(*queue);
        m_running++;
        started.push_back(waiter.ticket);
    }
    return started;
}

bool Admission::withdraw(TicketId ticket)
{
    for (ClassQueue &queue : m_queues) {
        const auto at = std::find_if(queue.waiters.begin(), queue.waiters.end(),
                                     [&](const Waiter &waiter) { return waiter.ticket == ticket; });
        if (at == queue.waiters.end())
            continue;
        queue.waiters.erase(at);
        m_waiting--;
        return true;
    }
    return false;
}

std::vector<TicketId> Admission::expire(TimePoint now)
{
    std::vector<TicketId> expired;
    const Duration mean = estimate();
    for (ClassQueue &queue : m_queues) {
        for (auto at = queue.waiters.begin(); at != queue.waiters.end();) {
            if (now + mean <= at->deadline) {
                ++at;
                continue;
            }
            expired.push_back(at->ticket);
            at = queue.waiters.erase(at);
            m_waiting--;
        }
    }
    return expired;
}

} // namespace cornelwell
