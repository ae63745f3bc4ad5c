/** @file departure_recorder.cpp Calls of the store for a DepartureRegistry, and who waits for them.
 */
#include "node/departure_recorder.h"

#include "base/result_code_func.h"

namespace cornelwell {

namespace {

/** Longest time that a call of the store takes; a daemon knows its departures within 3 s of a
 * start. */
constexpr Duration CALL_TIMEOUT{2000};
/** Longest wait of an acknowledgement; the server gives up on it after a second. */
constexpr Duration STORED_WAIT_MAX{800};
/** The answer to the announcement, which has the record too, usually comes within this time. */
constexpr Duration READ_DELAY{150};

} // namespace

DepartureRecorder::DepartureRecorder(EventLoop &loop, const PlatformAdapter &adapter,
                                     ServerId daemon, Endpoint store, DecisionLog &log,
                                     Metrics &metrics, StoreCallMonitor &storeCalls,
                                     DepartureRecorderListener &listener, std::uint64_t seed)
    : m_loop(loop)
    , m_adapter(adapter)
    , m_daemon(std::move(daemon))
    , m_log(log)
    , m_metrics(metrics)
    , m_storeCalls(storeCalls)
    , m_listener(listener)
    , m_registry(DepartureOptions(), seed)
    , m_client(loop, std::move(store))
{}

DepartureRecorder::~DepartureRecorder()
{
    for (Waiter &waiter : m_waiters)
        m_loop.cancel(waiter.timer);
}

void DepartureRecorder::start()
{
    m_readAt = m_loop.now() + READ_DELAY;
}

void DepartureRecorder::tick()
{
    const TimePoint now = m_loop.now();
    if (now >= m_readAt)
        perform(m_registry.tick(now));
}

void DepartureRecorder::handleAnnounced(const StoredDepartures &stored)
{
    if (m_registry.isRead())
        return;
    const auto next = m_registry.handleRecord(stored, m_loop.now());
    if (m_registry.isRead())
        handleStored(stored);
    perform(next);
}

void DepartureRecorder::record(const Departure &departure, bool wasRegistered)
{
    perform(m_registry.add(departure, wasRegistered, m_loop.now()));
}

void DepartureRecorder::whenStored(const Departure &departure, Callback callback)
{
    if (m_registry.isStored(departure)) {
        callback(true);
        return;
    }
    m_waiters.push_back({departure, std::move(callback), m_loop.now(), 0});
    const auto position = std::prev(m_waiters.end());
    position->timer = m_loop.after(STORED_WAIT_MAX, [this, position] {
        const Waiter waiter = std::move(*position);
        m_waiters.erase(position);
        m_metrics.count("departures_not_stored_total", "");
        m_log.logStateChange("departure_not_stored", [&](LogFields &fields) {
            fields.add("instance", waiter.departure.instance);
            fields.add("start", waiter.departure.startTimeMs);
            fields.add("waited_ms", STORED_WAIT_MAX.ms);
        });
        waiter.callback(false);
    });
}

void DepartureRecorder::completeWaiters()
{
    std::list<Waiter> stored;
    for (auto item = m_waiters.begin(); item != m_waiters.end();) {
        const auto next = std::next(item);
        if (m_registry.isStored(item->departure))
            stored.splice(stored.end(), m_waiters, item);
        item = next;
    }
    for (Waiter &waiter : stored) {
        m_loop.cancel(waiter.timer);
        m_log.logStateChange("departure_stored", [&](LogFields &fields) {
            fields.add("instance", waiter.departure.instance);
            fields.add("start", waiter.departure.startTimeMs);
            fields.add("waited_ms", (m_loop.now() - waiter.since).ms);
        });
        waiter.callback(true);
    }
}

void DepartureRecorder::perform(const DepartureActions &actions)
{
    for (const DepartureAction &action : actions)
        std::visit([this](const auto &one) { perform(one); }, action);
}

void DepartureRecorder::perform(const ReadDepartures &action)
{
    (void)action;
    m_client.call(m_adapter.readDeparturesRequest(m_daemon), CALL_TIMEOUT,
                  [this](const Result<HttpResponse> &response) {
                      const Result<StoredDepartures> read
                          = response ? m_adapter.parseDeparturesRead(response.value(), m_daemon)
                                     : Result<StoredDepartures>(
                                         boost::outcome_v2::failure(response.error()));
                      m_storeCalls.record(StoreCallGroup::DepartureCalls, read, m_loop.now());
                      const auto next = m_registry.handleReadAnswer(read, m_loop.now());
                      if (read)
                          handleStored(read.value());
                      else
                          logFailure("read", read.error());
                      perform(next);
                  });
}

void DepartureRecorder::perform(const WriteDepartures &action)
{
    m_client.call(m_adapter.writeDeparturesRequest(m_daemon, action), CALL_TIMEOUT,
                  [this](const Result<HttpResponse> &response) {
                      const Result<DepartureWriteAnswer> answer
                          = response ? m_adapter.parseDeparturesWrite(response.value(), m_daemon)
                                     : Result<DepartureWriteAnswer>(
                                         boost::outcome_v2::failure(response.error()));
                      m_storeCalls.record(StoreCallGroup::DepartureCalls, answer, m_loop.now());
                      const auto next = m_registry.handleWriteAnswer(answer, m_loop.now());
                      if (answer)
                          handleStored(answer.value().stored);
                      else
                          logFailure("write", answer.error());
                      perform(next);
                  });
}

void DepartureRecorder::handleStored(const StoredDepartures &stored)
{
    logFaults(stored.faults);
    m_listener.departuresKnown(m_registry.stored());
    completeWaiters();
}

void DepartureRecorder::logFaults(const std::vector<Error> &faults)
{
    for (const Error &fault : faults) {
        m_metrics.count("store_entries_unreadable_total", "list=\"departures\"");
        m_log.logStateChange("store_entry_unreadable", [&](LogFields &fields) {
            fields.add("code", std::int64_t{resultCodeNumber(fault.code)});
            fields.add("detail", fault.detail);
            fields.add("where", fault.where);
            fields.add("list", "departures");
        });
    }
}

void DepartureRecorder::logFailure(const char *call, const Error &error)
{
    m_log.logStateChange("departures_call_failed", [&](LogFields &fields) {
        fields.add("call", call);
        fields.add("code", std::int64_t{resultCodeNumber(error.code)});
        fields.add("detail", error.detail);
    });
}

} // namespace cornelwell
