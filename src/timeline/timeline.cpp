/** @file timeline.cpp The ring of events, stamped by a hybrid logical clock. */
#include "timeline/timeline.h"

#include "timeline/table/event_kinds.h"

#include <algorithm>
#include <utility>

namespace cornelwell {

const char *eventKindName(EventKind kind)
{
    return kind < EventKind::Count ? EVENT_KIND_NAMES[static_cast<std::size_t>(kind)] : "Unknown";
}

Timeline::Timeline(EventSource source, std::size_t capacity, const Clock &clock)
    : m_source(std::move(source)), m_capacity(std::max<std::size_t>(capacity, 1)), m_clock(clock)
{}

EventStamp Timeline::nextStamp()
{
    const std::int64_t wall = m_clock.wallNow().ms;
    if (wall > m_last.ms)
        m_last = {wall, 0};
    else
        m_last.counter++;
    return m_last;
}

void Timeline::record(EventKind kind, std::string cause, std::string subject, std::string detail,
                      ResultCode code)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Event event;
    event.kind = kind;
    event.server = m_source.server;
    event.dataCentre = m_source.dataCentre;
    event.incarnation = m_source.incarnation;
    event.sequence = ++m_sequence;
    event.stamp = nextStamp();
    event.wall = m_clock.wallNow();
    event.cause = std::move(cause);
    event.subject = std::move(subject);
    event.detail = std::move(detail);
    event.code = code;
    if (m_ring.size() < m_capacity) {
        m_ring.push_back(std::move(event));
        return;
    }
    m_ring[m_next] = std::move(event);
    m_next = (m_next + 1) % m_capacity;
}

EventStamp Timeline::stamp()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return nextStamp();
}

void Timeline::observe(const EventStamp &stamp)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_last < stamp)
        m_last = stamp;
}

std::vector<Event> Timeline::events() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Event> result(m_ring.begin() + static_cast<std::ptrdiff_t>(m_next), m_ring.end());
    result.insert(result.end(), m_ring.begin(),
                  m_ring.begin() + static_cast<std::ptrdiff_t>(m_next));
    return result;
}

void Timeline::setIncarnation(std::uint64_t incarnation)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_source.incarnation = incarnation;
}

} // namespace cornelwell
