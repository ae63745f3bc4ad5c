/** @file recent_refusals.h Recently refused requests, to recognize their retries. */
#pragma once

#include "base/clock_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace cornelwell {

/** Refused requests by fingerprint, with the soft deadline of their first attempt. */
class RecentRefusals
{
public:
    /**
     * Adds a refused request.
     * @param fingerprint Hash of the request.
     * @param softDeadline Soft deadline of the attempt; that of the first attempt is kept.
     * @param expiresAt When the refusal is removed.
     */
    void add(std::uint64_t fingerprint, TimePoint softDeadline, TimePoint expiresAt);
    /**
     * Removes one refusal of a request.
     * @param fingerprint Hash of the request.
     * @param now Current time; refusals that expired by then are removed first.
     * @return the soft deadline of the first attempt; nothing when no refusal is recorded.
     */
    std::optional<TimePoint> take(std::uint64_t fingerprint, TimePoint now);

private:
    /** Refusals of equal requests. */
    struct Refusal
    {
        TimePoint softDeadline{0};
        TimePoint expiresAt{0};
        unsigned count = 0; ///< Refusals not taken yet; several callers may send equal requests.
    };

    std::unordered_map<std::uint64_t, Refusal> m_refusals;
    std::deque<std::pair<TimePoint, std::uint64_t>> m_expiryOrder;
};

} // namespace cornelwell
