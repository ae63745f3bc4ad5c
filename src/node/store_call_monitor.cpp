/** @file store_call_monitor.cpp Reports of failures that go on, at intervals. */
#include "node/store_call_monitor.h"

#include "base/result_code_func.h"
#include "node/table/store_call_groups.h"

#include <iterator>
#include <string>

namespace cornelwell {

namespace {

/** Failures that last for less are those of a connection that broke; the next call succeeds. */
constexpr Duration REPORT_AFTER{3000};
constexpr Duration REPORT_INTERVAL{10000}; ///< Between two reports of the same failures.

/** @return true for an error that the store itself has stated in a sound answer. */
bool isUsableAnswer(ResultCode code)
{
    return code == ResultCode::PlatformNotFound || code == ResultCode::PlatformHistoryGone;
}

} // namespace

const char *storeCallGroupName(StoreCallGroup group)
{
    static_assert(std::size(STORE_CALL_GROUP_NAMES)
                  == static_cast<std::size_t>(StoreCallGroup::Count));
    return STORE_CALL_GROUP_NAMES[static_cast<std::size_t>(group)];
}

std::optional<StoreCallFailures> StoreCallHistory::recordFailure(TimePoint now)
{
    if (m_failures.calls++ == 0)
        m_failures.since = now;
    const bool isDue = m_reportedAt ? now - *m_reportedAt >= REPORT_INTERVAL
                                    : now - m_failures.since >= REPORT_AFTER;
    if (!isDue)
        return std::nullopt;
    m_reportedAt = now;
    return m_failures;
}

std::optional<StoreCallFailures> StoreCallHistory::recordAnswer()
{
    const StoreCallFailures ended = m_failures;
    const bool wasReported = m_reportedAt.has_value();
    m_failures = {};
    m_reportedAt.reset();
    return wasReported ? std::make_optional(ended) : std::nullopt;
}

void StoreCallMonitor::record(StoreCallGroup group, const Error *error, TimePoint now)
{
    const ResultCode code = error == nullptr ? ResultCode::Ok : error->code;
    m_metrics.count("store_calls_total", std::string("group=\"") + storeCallGroupName(group)
                                             + "\",result=\"" + resultCodeInfo(code).name + "\"");
    Group &state = m_groups[static_cast<std::size_t>(group)];
    state.isUsed = true;
    if (error != nullptr && !isUsableAnswer(code)) {
        if (const auto failures = state.history.recordFailure(now))
            log("store_calls_failing", group, *failures, error, now);
    } else if (const auto ended = state.history.recordAnswer()) {
        log("store_calls_recovered", group, *ended, nullptr, now);
    }
}

void StoreCallMonitor::log(const char *event, StoreCallGroup group,
                           const StoreCallFailures &failures, const Error *error, TimePoint now)
{
    m_log.logStateChange(event, [&](LogFields &fields) {
        fields.add("group", storeCallGroupName(group));
        fields.add("failed_calls", failures.calls);
        fields.add("failing_ms", (now - failures.since).ms);
        if (error != nullptr) {
            fields.add("code", std::int64_t{resultCodeNumber(error->code)});
            fields.add("detail", error->detail);
        }
    });
}

void StoreCallMonitor::setGauges(TimePoint now)
{
    for (std::size_t i = 0; i < m_groups.size(); i++) {
        const Group &state = m_groups[i];
        if (!state.isUsed)
            continue;
        const StoreCallFailures &failures = state.history.failures();
        const Duration lasting = failures.calls == 0 ? Duration{0} : now - failures.since;
        m_metrics.set("store_calls_failing_ms",
                      std::string("group=\"") + storeCallGroupName(static_cast<StoreCallGroup>(i))
                          + "\"",
                      static_cast<double>(lasting.ms));
    }
}

} // namespace cornelwell
