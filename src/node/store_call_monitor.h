/** @file store_call_monitor.h Counters and logs that tell whether the store's answers can be used.
 */
#pragma once

#include "base/clock_type.h"
#include "base/result.h"
#include "log/decision_log.h"
#include "metrics/metrics.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cornelwell {

/** Calls of the store that are counted together. */
enum class StoreCallGroup : std::uint8_t
{
    RouteCalls,     ///< Reads and watches of the routes.
    FleetCalls,     ///< This daemon's announcement and the lists of the others.
    DepartureCalls, ///< Reads and writes of the servers that left this VM.
    RolloutCalls,   ///< Lists, watches and writes of roll-outs.
    Count           ///< Number of groups.
};

/** @return the name of a group, for logs and metrics. */
const char *storeCallGroupName(StoreCallGroup group);

/** Calls that failed in a row. */
struct StoreCallFailures
{
    std::uint64_t calls = 0; ///< Number of calls.
    TimePoint since{0};      ///< When the first of them failed.
};

/** Failures in a row of one group. Each notice stands for a line in the log. */
class StoreCallHistory
{
public:
    /**
     * Records a call without a usable answer.
     * @return the failures if they last long enough to be reported, and later again in intervals.
     */
    std::optional<StoreCallFailures> recordFailure(TimePoint now);
    /** Records a usable answer. @return the failures that it ends if they were reported. */
    std::optional<StoreCallFailures> recordAnswer();
    /** @return the failures since the last usable answer. */
    const StoreCallFailures &failures() const { return m_failures; }

private:
    StoreCallFailures m_failures;
    std::optional<TimePoint> m_reportedAt;
};

/** Counts the calls of each group by result, and logs when a group goes on failing. */
class StoreCallMonitor
{
public:
    /** @param log Log of state changes. @param metrics Counters. Both outlive this object. */
    StoreCallMonitor(DecisionLog &log, Metrics &metrics) : m_log(log), m_metrics(metrics) {}

    /** Records the result of a call. @param error Why it has no usable answer; null if it has. */
    void record(StoreCallGroup group, const Error *error, TimePoint now);
    /** Records the result of a call. */
    template<typename T>
    void record(StoreCallGroup group, const Result<T> &result, TimePoint now)
    {
        record(group, result ? nullptr : &result.error(), now);
    }
    /** Sets the gauges of all groups that have made calls. */
    void setGauges(TimePoint now);

private:
    /** What is known of a group. */
    struct Group
    {
        StoreCallHistory history;
        bool isUsed = false; ///< It has made a call.
    };

    void log(const char *event, StoreCallGroup group, const StoreCallFailures &failures,
             const Error *error, TimePoint now);

    DecisionLog &m_log;
    Metrics &m_metrics;
    std::array<Group, static_cast<std::size_t>(StoreCallGroup::Count)> m_groups;
};

} // namespace cornelwell
