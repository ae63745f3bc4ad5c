/** @file departure_inquiry.h Whom a daemon asks for the record of departures that it cannot read.
 */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstddef>
#include <map>
#include <vector>

namespace cornelwell {

/** A peer that can read the record in the store for another daemon. */
struct DepartureReader
{
    ServerId name;     ///< The peer.
    Duration storeAge; ///< Time since its last contact with the store, as last reported.
};

/** Bounds of the questions; each costs a call of the store. */
struct DepartureInquiryOptions
{
    /** First question after the start; the daemon's own read usually takes less. */
    Duration firstDelay = {300};
    Duration intervalMin = {500};  ///< Between the first two rounds of questions; then it doubles.
    Duration intervalMax = {4000}; ///< Limit of the interval: the store may be away from all.
    std::size_t peersPerRound = 2; ///< Peers asked in a round.
};

/**
 * Chooses the peers that a daemon asks after a start while it cannot read its record of departures
 * itself: the store may turn one machine away and serve the others.
 */
class DepartureInquiry
{
public:
    /** @param options Bounds. @param startedAt Start of the daemon. */
    DepartureInquiry(DepartureInquiryOptions options, TimePoint startedAt)
        : m_options(options)
        , m_interval(options.intervalMin)
        , m_nextRoundAt(startedAt + options.firstDelay)
    {}

    /**
     * Called several times a second while the record is not known.
     * @param readers Peers that are linked and can be asked. @param now Time.
     * @return the peers to ask now: those asked least, of these the ones with the latest contact
     *     with the store.
     */
    std::vector<ServerId> peersToAsk(std::vector<DepartureReader> readers, TimePoint now);

private:
    const DepartureInquiryOptions m_options;
    Duration m_interval;
    TimePoint m_nextRoundAt;
    std::map<ServerId, unsigned> m_questions; ///< Number of questions to each peer.
};

} // namespace cornelwell
