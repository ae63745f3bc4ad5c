/** @file recent_failures.h Requests recently answered without success, to recognize their retries.
 */
#pragma once

#include "base/clock_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace cornelwell {

/**
 * @return true when the caller may send a request again that was answered with @p status: any after
 * a refusal, only idempotent ones after a failure that may have run them.
 */
bool isRetryExpected(int status, bool idempotent);

/** Refused and failed requests by fingerprint, with the soft deadline of their first attempt. */
class RecentFailures
{
public:
    /**
     * Adds a request that was answered without success.
     * @param fingerprint Hash of the request.
     * @param softDeadline Soft deadline of the attempt; that of the first attempt is kept.
     * @param expiresAt When the failure is removed.
     */
    void add(std::uint64_t fingerprint, TimePoint softDeadline, TimePoint expiresAt);
    /**
     * Removes one failure of a request.
     * @param fingerprint Hash of the request.
     * @param now Current time; failures that expired by then are removed first.
     * @return the soft deadline of the first attempt; nothing when no failure is recorded.
     */
    std::optional<TimePoint> take(std::uint64_t fingerprint, TimePoint now);

private:
    /** Failures of equal requests. */
    struct Failure
    {
        TimePoint softDeadline{0};
        TimePoint expiresAt{0};
        unsigned count = 0; ///< Failures not taken yet; several callers may send equal requests.
    };

    std::unordered_map<std::uint64_t, Failure> m_failures;
    std::deque<std::pair<TimePoint, std::uint64_t>> m_expiryOrder;
};

} // namespace cornelwell
