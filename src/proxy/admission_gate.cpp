/** @file admission_gate.cpp Blocks threads while the decision lets them wait. */
#include "proxy/admission_gate.h"

#include <chrono>

namespace cornelwell {

GatePass AdmissionGate::enter(RequestClass requestClass, TimePoint deadline)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const AdmissionAnswer answer = m_admission.ask(requestClass, deadline, m_clock.now());
    GatePass pass;
    pass.code = answer.code;
    pass.retryAfter = answer.retryAfter;
    pass.since = m_clock.now();
    if (answer.verdict == AdmissionVerdict::Refuse)
        return pass;
    if (answer.verdict == AdmissionVerdict::Run) {
        pass.admitted = true;
        return pass;
    }
    Waiter waiter;
    m_waiters[answer.ticket] = &waiter;
    const std::int64_t left = (deadline - m_clock.now() - m_admission.estimate()).ms;
    waiter.ready.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(left, 0)),
                          [&] { return waiter.started; });
    m_waiters.erase(answer.ticket);
    pass.admitted = waiter.started;
    pass.since = m_clock.now();
    if (!pass.admitted) {
        m_admission.withdraw(answer.ticket);
        pass.code = ResultCode::CallDeadline;
    }
    return pass;
}

void AdmissionGate::leave(const GatePass &pass)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = m_clock.now();
    wake(m_admission.release(now - pass.since, now));
}

void AdmissionGate::wake(const std::vector<TicketId> &started)
{
    for (const TicketId ticket : started) {
        const auto at = m_waiters.find(ticket);
        if (at == m_waiters.end())
            continue;
        at->second->started = true;
        at->second->ready.notify_one();
    }
}

std::pair<std::uint32_t, std::uint32_t> AdmissionGate::load() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {m_admission.running(), m_admission.waiting()};
}

} // namespace cornelwell
