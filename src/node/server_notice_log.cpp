/** @file server_notice_log.cpp One line for each change, then one in a while. */
#include "node/server_notice_log.h"

#include "base/endpoint_func.h"

namespace cornelwell {

namespace {

constexpr Duration LINE_INTERVAL{10000}; ///< Between lines about the same server and verdict.
constexpr unsigned LINES_MAX = 10;       ///< Lines in such an interval, whatever they are about.

} // namespace

void ServerNoticeLog::record(const ServerReport &report, ReportVerdict verdict, TimePoint now)
{
    m_metrics.count("server_reports_total",
                    std::string("verdict=\"") + reportVerdictName(verdict) + "\"");
    if (verdict == ReportVerdict::Current)
        return;
    const bool isRepeated = verdict == m_lastVerdict && report.instance == m_lastInstance;
    if (now - m_intervalStart >= LINE_INTERVAL) {
        m_intervalStart = now;
        m_lines = 0;
    } else if (isRepeated || m_lines >= LINES_MAX) {
        m_unlogged++;
        return;
    }
    m_lines++;
    m_log.logStateChange("report_set_aside", [&](LogFields &fields) {
        fields.add("instance", report.instance);
        fields.add("verdict", reportVerdictName(verdict));
        fields.add("service", report.service.text());
        fields.add("address", formatEndpoint(report.address));
        fields.add("start", report.startTimeMs);
        fields.add("sequence", report.sequence);
        fields.add("unlogged", m_unlogged);
    });
    m_lastVerdict = verdict;
    m_lastInstance = report.instance;
    m_unlogged = 0;
}

} // namespace cornelwell
