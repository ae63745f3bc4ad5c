/** @file admission.h Who gets a slot of the backend server, and when: the decision. */
#pragma once

#include "admission/admission_type.h"
#include "catalogue/entry_type.h"

#include <array>
#include <deque>
#include <vector>

namespace cornelwell {

/**
 * Bounded queues, one for each class, served in proportion to the classes' weights. A request that
 * cannot be done within its deadline is refused at once. Not safe for threads.
 */
class Admission
{
public:
    explicit Admission(AdmissionOptions options);

    /**
     * A request asks for a slot.
     * @param requestClass Its class.
     * @param deadline When its answer must be there.
     * @param now Time.
     */
    AdmissionAnswer ask(RequestClass requestClass, TimePoint deadline, TimePoint now);

    /** A request gives its slot back. @param busy How long it had it. @return tickets that run now.
     */
    std::vector<TicketId> release(Duration busy, TimePoint now);

    /** A waiting request gives up. @return true when it still waited. */
    bool withdraw(TicketId ticket);

    /** Takes out waiting requests that cannot meet their deadline any more. @return their tickets.
     */
    std::vector<TicketId> expire(TimePoint now);

    /** @return requests that hold a slot. */
    std::uint32_t running() const { return m_running; }

    /** @return requests that wait. */
    std::uint32_t waiting() const { return m_waiting; }

    /** @return the present estimate of the time of one request. */
    Duration estimate() const { return {static_cast<std::int64_t>(m_meanMs + 0.5)}; }

private:
    /** A request in a queue. */
    struct Waiter
    {
        TicketId ticket;
        TimePoint deadline;
    };

    /** The queue of one class; served is its share so far, divided by its weight. */
    struct ClassQueue
    {
        std::deque<Waiter> waiters;
        double served = 0;
    };

    Duration expectedWait(RequestClass requestClass) const;
    ClassQueue *nextQueue();
    void startServing(ClassQueue &queue);

    const AdmissionOptions m_options;
    std::array<ClassQueue, REQUEST_CLASS_COUNT> m_queues;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    TicketId m_nextTicket = 1;
    double m_meanMs;
    double m_virtualTime = 0;
};

} // namespace cornelwell
