/** @file departure_registry.h Record, in the platform's store, of the servers that have left a VM.
 */
#pragma once

#include "base/clock_type.h"
#include "base/random.h"
#include "base/result.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** A server that has reported that it drains, or has deregistered. */
struct Departure
{
    std::string instance;         ///< Identity of the server.
    std::int64_t startTimeMs = 0; ///< Start of the server in ms of Unix time; 0: unknown.

    friend bool operator==(const Departure &a, const Departure &b)
    {
        return a.instance == b.instance && a.startTimeMs == b.startTimeMs;
    }
};
using Departures = std::vector<Departure>;

/** The record as the store holds it. */
struct StoredDepartures
{
    Departures departures;      ///< Oldest first.
    std::uint64_t revision = 0; ///< Revision of the object with the record; 0: no such object.
    /** Parts of the record that cannot be read, with their places; for logs. */
    std::vector<Error> faults;
};

/** Answer of the store to WriteDepartures. */
struct DepartureWriteAnswer
{
    bool written = false;    ///< False when the object has another revision or does not exist.
    StoredDepartures stored; ///< What the store holds now.
};

/** Read the record; then call handleReadAnswer(). */
struct ReadDepartures
{};
/** Replace the record; then call handleWriteAnswer(). */
struct WriteDepartures
{
    std::uint64_t revision = 0; ///< Revision that the write replaces.
    Departures departures;      ///< The new record.
};
/** An action of the registry. */
using DepartureAction = std::variant<ReadDepartures, WriteDepartures>;
using DepartureActions = std::vector<DepartureAction>;

/** Bounds of the registry. */
struct DepartureOptions
{
    std::size_t departuresMax = 4;   ///< Departures kept; servers of one VM follow each other.
    Duration retryDelayMin = {100};  ///< Delay after the first failed call; jitter of up to half.
    Duration retryDelayMax = {1000}; ///< Limit of the delay, which doubles per failed call.
    Duration writeInterval = {250};  ///< Shortest time between two writes; bounds their cost.
};

/**
 * Keeps the departures from one VM in the store, where they outlast a restart of every daemon.
 * Merges what the store holds with what this daemon was told; one call at a time is in progress,
 * and departures that come meanwhile share the next write.
 */
class DepartureRegistry
{
public:
    /** @param options Bounds. @param seed Seed of the jitter. */
    DepartureRegistry(DepartureOptions options, std::uint64_t seed)
        : m_options(options), m_random(seed)
    {}

    /** @return the first action: the record is read before it is written. */
    DepartureActions start();
    /**
     * Adds a departure.
     * @param departure The departure.
     * @param wasRegistered The server was registered here. The others are dropped first when there
     *     are too many.
     * @param now Time.
     * @return the write, unless another call is in progress or the store holds the departure.
     */
    DepartureActions add(const Departure &departure, bool wasRegistered, TimePoint now);
    /**
     * Handles a server that is registered and ready: departures of its earlier starts are dropped,
     * or one without a known start would be held against it after the next restart of the daemon.
     * @param instance The server. @param startTimeMs Its start; 0 when unknown. @param now Time.
     */
    DepartureActions serverReady(const std::string &instance, std::int64_t startTimeMs,
                                 TimePoint now);
    /** Handles the store's answer to ReadDepartures, or the error of a call to be retried. */
    DepartureActions handleReadAnswer(const Result<StoredDepartures> &answer, TimePoint now);
    /** Handles the record in the answer to another call, unless it is read already. */
    DepartureActions handleRecord(const StoredDepartures &stored, TimePoint now);
    /** Handles the store's answer to WriteDepartures, or the error of a call to be retried. */
    DepartureActions handleWriteAnswer(const Result<DepartureWriteAnswer> &answer, TimePoint now);
    /** Handles a store that came back from an older copy, which may lack departures. */
    void handleStoreRestored();
    /** @return the call that is due at @p now, if any. */
    DepartureActions tick(TimePoint now);

    /** @return true once the record of earlier incarnations of the daemon is known. */
    bool isRead() const { return m_isRead; }
    /** @return true when the store holds the departure. */
    bool isStored(const Departure &departure) const;
    /** @return the departures as the store holds them, as far as known. */
    const Departures &stored() const { return m_stored; }

private:
    /** A departure that the store should hold. */
    struct Kept
    {
        Departure departure;
        bool wasRegistered = false;
    };

    void keep(const Departure &departure, bool wasRegistered);
    bool isSuperseded(const Departure &departure) const;
    Departures wanted() const;
    void takeOver(const StoredDepartures &stored);
    DepartureActions continueFrom(const StoredDepartures &stored, TimePoint nextCallAt,
                                  TimePoint now);
    DepartureActions nextCall(TimePoint now);
    void scheduleRetry(TimePoint now);

    const DepartureOptions m_options;
    Random m_random;
    std::vector<Kept> m_kept; ///< Oldest first.
    Departures m_stored;
    Departure m_ready; ///< The registered server while it is ready; otherwise without an instance.
    std::uint64_t m_revision = 0; ///< Of the object in the store; 0 when unknown.
    bool m_isRead = false;
    bool m_mustRead = true; ///< The next call is a read.
    bool m_callPending = false;
    Duration m_retryDelay{0};
    TimePoint m_nextCallAt{0};
};

} // namespace cornelwell
