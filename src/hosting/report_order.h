/** @file report_order.h Which report names the server of a VM when several do. */
#pragma once

#include "hosting/hosting_type.h"

namespace cornelwell {

/** What becomes of a report. */
enum class ReportVerdict : std::uint8_t
{
    Current,       ///< It is the newest of the VM's server.
    OtherService,  ///< It names a service that does not run on this VM.
    OtherAddress,  ///< It names an address at which this VM's server does not listen.
    Departed,      ///< Its server has left.
    EarlierStart,  ///< A server with a later start is registered.
    EarlierReport, ///< A later report of the same server was handled.
    Disproved,     ///< Another server answered in place of its server, and one is registered.
    Count,         ///< Number of verdicts; not a verdict.
};

/** @return the name of the verdict, for logs and metrics. */
const char *reportVerdictName(ReportVerdict verdict);

/**
 * Checks whether a report can be of the server beside the daemon.
 * @param report The report.
 * @param service Service of the VM; empty when it is not known.
 * @param address Where the VM's server listens; without a port when it is not known.
 * @return Current, OtherService or OtherAddress.
 */
ReportVerdict checkReportOrigin(const ServerReport &report, const ServiceName &service,
                                const Endpoint &address);

/**
 * Orders the reports that can be of the VM's server. The one with the latest start counts, and of
 * one server the one with the highest sequence. Both numbers come from the reports, so one false
 * report could outrank the server for good; a registered server that has fallen silent therefore
 * gives way to one that goes on reporting.
 */
class ReportOrder
{
public:
    /**
     * @param report The report.
     * @param registered Last report that counted; without an instance when there was none.
     * @param state State of the registered server.
     * @param now Time.
     * @return Current, EarlierStart, EarlierReport, Disproved or, for a server that drains and
     *     calls itself ready, Departed.
     */
    ReportVerdict judge(const ServerReport &report, const ServerReport &registered, HostState state,
                        TimePoint now);
    /** Records that a report counted. */
    void recordCurrent(TimePoint now);
    /** Records that another server answered at the address of the registered one. */
    void recordDisproved(const ServerReport &registered);

private:
    /** A start of a server. */
    struct Start
    {
        std::string instance;
        std::int64_t timeMs = 0;

        bool matches(const ServerReport &report) const
        {
            return instance == report.instance && timeMs == report.startTimeMs;
        }
    };

    ReportVerdict compare(const ServerReport &report, const ServerReport &registered) const;
    bool goesOnReporting(const ServerReport &report);

    Start m_challenger; ///< Server of the last report that was outranked.
    std::uint64_t m_challengerSequence = 0;
    Start m_disproved;            ///< Start that another server's answer has disproved.
    bool m_isDisproved = false;   ///< That start is the registered one.
    TimePoint m_lastCurrentAt{0}; ///< When a report last counted.
};

} // namespace cornelwell
