/** @file server_notice_log.h Log and counters of what becomes of the local server's reports. */
#pragma once

#include "hosting/report_order.h"
#include "log/decision_log.h"
#include "metrics/metrics.h"

namespace cornelwell {

/** Counts all reports by verdict, and logs those that are set aside. */
class ServerNoticeLog
{
public:
    /** @param log Log of state changes. @param metrics Counters. Both outlive this object. */
    ServerNoticeLog(DecisionLog &log, Metrics &metrics) : m_log(log), m_metrics(metrics) {}

    /**
     * Records a report. Of those that are set aside for the same reason in a row, one is logged in
     * a while.
     */
    void record(const ServerReport &report, ReportVerdict verdict, TimePoint now);

private:
    DecisionLog &m_log;
    Metrics &m_metrics;
    ReportVerdict m_lastVerdict = ReportVerdict::Current; ///< Of the last line.
    std::string m_lastInstance;                           ///< Server of the last line.
    TimePoint m_intervalStart{0};
    unsigned m_lines = 0;         ///< Lines in the interval.
    std::uint64_t m_unlogged = 0; ///< Reports set aside since the last line.
};

} // namespace cornelwell
