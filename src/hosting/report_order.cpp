/** @file report_order.cpp Comparison of reports by origin, start and sequence. */
#include "hosting/report_order.h"

#include <iterator>

namespace cornelwell {

namespace {

/** A registered server is silent after this time: three reports, which come about every 1.5 s. */
constexpr Duration SILENCE_MAX{5000};

constexpr const char *VERDICT_NAMES[]
    = {"current",       "other_service",  "other_address", "departed",
       "earlier_start", "earlier_report", "disproved"};
static_assert(std::size(VERDICT_NAMES) == static_cast<std::size_t>(ReportVerdict::Count),
              "a name for each verdict");

} // namespace

const char *reportVerdictName(ReportVerdict verdict)
{
    return VERDICT_NAMES[static_cast<std::size_t>(verdict)];
}

ReportVerdict checkReportOrigin(const ServerReport &report, const ServiceName &service,
                                const Endpoint &address)
{
    if (!service.empty() && report.service != service)
        return ReportVerdict::OtherService;
    if (address.port != 0 && report.address != address)
        return ReportVerdict::OtherAddress;
    return ReportVerdict::Current;
}

ReportVerdict ReportOrder::compare(const ServerReport &report, const ServerReport &registered) const
{
    if (report.startTimeMs != registered.startTimeMs)
        return report.startTimeMs > registered.startTimeMs ? ReportVerdict::Current
                                                           : ReportVerdict::EarlierStart;
    return report.instance != registered.instance || report.sequence > registered.sequence
               ? ReportVerdict::Current
               : ReportVerdict::EarlierReport;
}

/** @return true for the second report of an outranked server; late reports come out of order. */
bool ReportOrder::goesOnReporting(const ServerReport &report)
{
    const bool goesOn = m_challenger.matches(report) && report.sequence > m_challengerSequence;
    m_challenger = {report.instance, report.startTimeMs};
    m_challengerSequence = report.sequence;
    return goesOn;
}

ReportVerdict ReportOrder::judge(const ServerReport &report, const ServerReport &registered,
                                 HostState state, TimePoint now)
{
    if (registered.instance.empty())
        return ReportVerdict::Current;
    const bool isRegistered
        = report.instance == registered.instance && report.startTimeMs == registered.startTimeMs;
    // A server that leaves does not come back without a restart, whatever a late report says.
    if (isRegistered && state == HostState::Draining && !report.draining
        && (report.startTimeMs != 0 || report.sequence <= registered.sequence))
        return ReportVerdict::Departed;
    if (!isRegistered && m_disproved.matches(report) && !m_isDisproved && state == HostState::Ready)
        return ReportVerdict::Disproved;
    const ReportVerdict verdict = compare(report, registered);
    if (verdict == ReportVerdict::Current)
        return verdict;
    if (m_isDisproved && !isRegistered)
        return ReportVerdict::Current;
    const bool takesOver = goesOnReporting(report) && now - m_lastCurrentAt > SILENCE_MAX;
    return takesOver ? ReportVerdict::Current : verdict;
}

void ReportOrder::recordCurrent(TimePoint now)
{
    m_lastCurrentAt = now;
    m_challenger = {};
    m_isDisproved = false;
}

void ReportOrder::recordDisproved(const ServerReport &registered)
{
    m_disproved = {registered.instance, registered.startTimeMs};
    m_isDisproved = true;
}

} // namespace cornelwell
