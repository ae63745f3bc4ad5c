/** @file admission_gate.h Threads that wait for a slot of the backend server. */
#pragma once

#include "admission/admission.h"
#include "base/clock.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace cornelwell {

/** Result of passing the gate. */
struct GatePass
{
    bool admitted = false;            ///< True when a slot is held; it must be given back by leave.
    ResultCode code = ResultCode::Ok; ///< Why not.
    Duration retryAfter;              ///< When to come back.
    TimePoint since;                  ///< When the slot was taken.
};

/** The admission decision for threads. */
class AdmissionGate
{
public:
    AdmissionGate(AdmissionOptions options, const Clock &clock)
        : m_admission(options), m_clock(clock)
    {}

    /** Waits for a slot, until the deadline at most. */
    GatePass enter(RequestClass requestClass, TimePoint deadline);

    /** Gives the slot back. */
    void leave(const GatePass &pass);

    /** @return requests running and waiting. */
    std::pair<std::uint32_t, std::uint32_t> load() const;

private:
    /** One waiting thread. */
    struct Waiter
    {
        std::condition_variable ready;
        bool started = false;
    };

    void wake(const std::vector<TicketId> &started);

    mutable std::mutex m_mutex;
    Admission m_admission;
    const Clock &m_clock;
    std::map<TicketId, Waiter *> m_waiters;
};

} // namespace cornelwell
