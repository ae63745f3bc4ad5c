/** @file timeline.h The bounded ring of events that each daemon keeps. */
#pragma once

#include "base/clock.h"
#include "timeline/timeline_type.h"

#include <cstddef>
#include <mutex>
#include <vector>

namespace cornelwell {

/** What the process adds to each of its events. */
struct EventSource
{
    ServerId server;               ///< The process.
    DataCentreId dataCentre;       ///< Its data centre.
    std::uint64_t incarnation = 0; ///< Its incarnation.
};

/** The last events of a process; the oldest makes room for the newest. Safe for threads. */
class Timeline
{
public:
    /**
     * @param source Added to each event.
     * @param capacity Events kept.
     * @param clock Time of day.
     */
    Timeline(EventSource source, std::size_t capacity, const Clock &clock);

    /**
     * Records an event.
     * @param kind What happened.
     * @param cause Identifier that links cause and effects.
     * @param subject The thing concerned.
     * @param detail For a person.
     * @param code Numbered cause.
     */
    void record(EventKind kind, std::string cause, std::string subject, std::string detail = {},
                ResultCode code = ResultCode::Ok);

    /** @return a stamp for a message that leaves, later than all events so far. */
    EventStamp stamp();

    /** Takes the stamp of a message that came in: later events here are ordered behind it. */
    void observe(const EventStamp &stamp);

    /** @return the events kept, oldest first. */
    std::vector<Event> events() const;

    /** Changes the incarnation that later events carry. */
    void setIncarnation(std::uint64_t incarnation);

private:
    EventStamp nextStamp();

    EventSource m_source;
    const std::size_t m_capacity;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::vector<Event> m_ring;
    std::size_t m_next = 0;
    std::uint64_t m_sequence = 0;
    EventStamp m_last;
};

} // namespace cornelwell
