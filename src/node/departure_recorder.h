/** @file departure_recorder.h Records departures of servers in the store, then acknowledges them.
 */
#pragma once

#include "hosting/departure_registry.h"
#include "log/decision_log.h"
#include "metrics/metrics.h"
#include "node/platform_adapter.h"
#include "node/store_call_monitor.h"
#include "node/store_client.h"

#include <functional>
#include <list>

namespace cornelwell {

/** Receives the events of a DepartureRecorder. */
class DepartureRecorderListener
{
public:
    virtual ~DepartureRecorderListener() = default;

    /** The store holds these departures, some of them perhaps from before a restart. */
    virtual void departuresKnown(const Departures &departures) = 0;
};

/**
 * Performs the actions of a DepartureRegistry on a connection of its own, so that no other call of
 * the store delays an acknowledgement.
 */
class DepartureRecorder
{
public:
    /** Whether the store holds the departure; called once. */
    using Callback = std::function<void(bool isStored)>;

    /**
     * @param loop The event loop.
     * @param adapter Translates for the platform.
     * @param daemon Name of this daemon.
     * @param store Address of the store.
     * @param log Log of state changes. @param metrics Counters.
     * @param storeCalls Records the results of the calls.
     * @param listener Receives the events. All of these outlive the recorder.
     * @param seed Seed of the delays of retries.
     */
    DepartureRecorder(EventLoop &loop, const PlatformAdapter &adapter, ServerId daemon,
                      Endpoint store, DecisionLog &log, Metrics &metrics,
                      StoreCallMonitor &storeCalls, DepartureRecorderListener &listener,
                      std::uint64_t seed);
    ~DepartureRecorder();

    /** Starts: the record is read unless the answer to the announcement has it before. */
    void start();
    /** Handles the record in the answer to the daemon's announcement. */
    void handleAnnounced(const StoredDepartures &stored);
    /** Does the periodic work; called several times a second. */
    void tick();
    /** Sets the address of the store. */
    void setStore(const Endpoint &address) { m_client.setAddress(address); }
    /** Handles a store that came back from an older copy. */
    void handleStoreRestored() { m_registry.handleStoreRestored(); }
    /**
     * Records a departure.
     * @param departure The departure. @param wasRegistered The server was registered here.
     */
    void record(const Departure &departure, bool wasRegistered);
    /** Handles a server that is registered and ready. */
    void serverReady(const std::string &instance, std::int64_t startTimeMs)
    {
        perform(m_registry.serverReady(instance, startTimeMs, m_loop.now()));
    }
    /** Calls back when the store holds a recorded departure, or when the longest wait is over. */
    void whenStored(const Departure &departure, Callback callback);
    /** @return true once the departures of earlier incarnations are known. */
    bool isRead() const { return m_registry.isRead(); }

private:
    /** Somebody who waits for a departure to be stored. */
    struct Waiter
    {
        Departure departure;
        Callback callback;
        TimePoint since{0};
        TimerId timer = 0;
    };

    void perform(const DepartureActions &actions);
    void perform(const ReadDepartures &action);
    void perform(const WriteDepartures &action);
    void handleStored(const StoredDepartures &stored);
    void logFaults(const std::vector<Error> &faults);
    void logFailure(const char *call, const Error &error);
    void completeWaiters();

    EventLoop &m_loop;
    const PlatformAdapter &m_adapter;
    const ServerId m_daemon;
    DecisionLog &m_log;
    Metrics &m_metrics;
    StoreCallMonitor &m_storeCalls;
    DepartureRecorderListener &m_listener;
    DepartureRegistry m_registry;
    std::list<Waiter> m_waiters;
    TimePoint m_readAt{0}; ///< The record is read then unless it is known.
    StoreClient m_client;  ///< Last: its callbacks use the other members.
};

} // namespace cornelwell
