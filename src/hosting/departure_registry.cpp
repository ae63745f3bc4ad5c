/** @file departure_registry.cpp One read, then conditional writes until the store has it all. */
#include "hosting/departure_registry.h"

#include <algorithm>

namespace cornelwell {

namespace {

/** @return true when @p known refuses every report that @p other would refuse. */
bool covers(const Departure &known, const Departure &other)
{
    return known.instance == other.instance && known.startTimeMs >= other.startTimeMs;
}

} // namespace

DepartureActions DepartureRegistry::start()
{
    return nextCall({0});
}

void DepartureRegistry::keep(const Departure &departure, bool wasRegistered)
{
    const auto same = std::find_if(m_kept.begin(), m_kept.end(), [&](const Kept &kept) {
        return kept.departure.instance == departure.instance;
    });
    if (same != m_kept.end()) {
        same->departure.startTimeMs = std::max(same->departure.startTimeMs, departure.startTimeMs);
        same->wasRegistered = same->wasRegistered || wasRegistered;
        return;
    }
    m_kept.push_back({departure, wasRegistered});
    if (m_kept.size() <= m_options.departuresMax)
        return;
    const auto unregistered = std::find_if(m_kept.begin(), m_kept.end(),
                                           [](const Kept &kept) { return !kept.wasRegistered; });
    m_kept.erase(unregistered == m_kept.end() ? m_kept.begin() : unregistered);
}

Departures DepartureRegistry::wanted() const
{
    Departures departures;
    for (const Kept &kept : m_kept)
        departures.push_back(kept.departure);
    return departures;
}

bool DepartureRegistry::isStored(const Departure &departure) const
{
    return std::any_of(m_stored.begin(), m_stored.end(),
                       [&](const Departure &stored) { return covers(stored, departure); });
}

void DepartureRegistry::takeOver(const StoredDepartures &stored)
{
    m_stored = stored.departures;
    m_revision = stored.revision;
    std::vector<Kept> added;
    added.swap(m_kept);
    // The store's departures are older than those that this daemon was told.
    for (const Departure &departure : m_stored) {
        if (!isSuperseded(departure))
            keep(departure, true);
    }
    for (const Kept &kept : added)
        keep(kept.departure, kept.wasRegistered);
}

DepartureActions DepartureRegistry::add(const Departure &departure, bool wasRegistered,
                                        TimePoint now)
{
    if (departure.instance == m_ready.instance)
        m_ready = {};
    keep(departure, wasRegistered);
    return nextCall(now);
}

/** @return true for a departure of the registered server from before its start. */
bool DepartureRegistry::isSuperseded(const Departure &departure) const
{
    return departure.instance == m_ready.instance
           && (departure.startTimeMs == 0 || departure.startTimeMs < m_ready.startTimeMs);
}

DepartureActions DepartureRegistry::serverReady(const std::string &instance,
                                                std::int64_t startTimeMs, TimePoint now)
{
    m_ready = {instance, startTimeMs};
    m_kept.erase(std::remove_if(m_kept.begin(), m_kept.end(),
                                [this](const Kept &kept) { return isSuperseded(kept.departure); }),
                 m_kept.end());
    return nextCall(now);
}

DepartureActions DepartureRegistry::handleReadAnswer(const Result<StoredDepartures> &answer,
                                                     TimePoint now)
{
    m_callPending = false;
    if (!answer) {
        scheduleRetry(now);
        return {};
    }
    m_isRead = true;
    m_mustRead = false;
    return continueFrom(answer.value(), now, now);
}

DepartureActions DepartureRegistry::handleRecord(const StoredDepartures &stored, TimePoint now)
{
    if (m_isRead || m_callPending)
        return {};
    return handleReadAnswer(stored, now);
}

DepartureActions DepartureRegistry::handleWriteAnswer(const Result<DepartureWriteAnswer> &answer,
                                                      TimePoint now)
{
    m_callPending = false;
    // A write without an answer may be carried out later: the revision of the next one tells.
    const bool isRefused
        = answer && !answer.value().written && answer.value().stored.revision == m_revision;
    if (!answer || isRefused) {
        scheduleRetry(now);
        return {};
    }
    const Duration pause = answer.value().written ? m_options.writeInterval : Duration{0};
    return continueFrom(answer.value().stored, now + pause, now);
}

/** Goes on from what the store holds. @param nextCallAt Earliest time of the next call. */
DepartureActions DepartureRegistry::continueFrom(const StoredDepartures &stored,
                                                 TimePoint nextCallAt, TimePoint now)
{
    takeOver(stored);
    if (m_revision == 0) {
        // The daemon's announcement, which creates the object, is still on its way.
        m_mustRead = true;
        scheduleRetry(now);
        return {};
    }
    m_retryDelay = {0};
    m_nextCallAt = nextCallAt;
    return nextCall(now);
}

void DepartureRegistry::handleStoreRestored()
{
    m_stored.clear();
    m_mustRead = true;
}

DepartureActions DepartureRegistry::tick(TimePoint now)
{
    return nextCall(now);
}

DepartureActions DepartureRegistry::nextCall(TimePoint now)
{
    Departures departures = wanted();
    if (m_callPending || now < m_nextCallAt || (m_isRead && departures == m_stored))
        return {};
    m_callPending = true;
    if (m_mustRead)
        return {ReadDepartures{}};
    return {WriteDepartures{m_revision, std::move(departures)}};
}

void DepartureRegistry::scheduleRetry(TimePoint now)
{
    m_retryDelay
        = {std::clamp(m_retryDelay.ms * 2, m_options.retryDelayMin.ms, m_options.retryDelayMax.ms)};
    m_nextCallAt = now + m_random.jitter(m_retryDelay);
}

} // namespace cornelwell
