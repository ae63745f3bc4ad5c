/** @file proxy_node_crashes.cpp Reports of requests that crashed a server. */
#include "node/crash_report_targets_func.h"
#include "node/proxy_node.h"

#include <map>

namespace cornelwell {

void ProxyNode::requestSuspectedOfCrash(std::uint64_t fingerprint, const std::string &route)
{
    CrashReport report;
    report.fingerprint = fingerprint;
    report.server = m_settings.self.name;
    report.sequence = m_settings.self.incarnation + ++m_crashSequence;
    report.entry = EntryName(route);
    handleCrashReport(report);
}

void ProxyNode::handleCrashReport(const CrashReport &report)
{
    const TimePoint now = m_loop.now();
    if (!m_quarantine.add(report, now))
        return;
    const std::vector<std::uint64_t> quarantined = m_quarantine.quarantinedFingerprints(now);
    m_quarantined = {quarantined.begin(), quarantined.end()};
    if (m_crashReports.add(report, now))
        m_loop.after(CrashReportRelay::BATCH_DELAY, [this] { relayCrashReports(); });
    m_log.logStateChange("crash", [&](LogFields &fields) {
        fields.add("fingerprint", report.fingerprint);
        fields.add("server", report.server.text());
        fields.add("route", report.entry.text());
        fields.add("refused", std::uint64_t{m_quarantined.count(report.fingerprint)});
    });
}

void ProxyNode::relayCrashReports()
{
    std::map<ServerId, std::vector<CrashReport>> byPeer;
    for (const CrashReport &report : m_crashReports.takeBatch(m_loop.now())) {
        for (const ServerId &peer : crashReportTargets(m_peers, report))
            byPeer[peer].push_back(report);
    }
    for (const auto &[peer, reports] : byPeer)
        sendCrashReports(peer, reports);
}

void ProxyNode::sendCrashReports(const ServerId &peer, const std::vector<CrashReport> &reports)
{
    std::vector<LinkMessage> messages;
    for (const CrashReport &report : reports)
        messages.emplace_back(LinkCrashReport{report});
    m_links.sendRequests(peer, messages);
    m_metrics.count("crash_reports_sent_total", "", static_cast<double>(reports.size()));
}

} // namespace cornelwell
