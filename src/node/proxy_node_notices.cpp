/** @file proxy_node_notices.cpp Reports and deregistrations of the local server. */
#include "node/proxy_node.h"

#include "base/result_code_func.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr int BAD_REQUEST = 400;
constexpr int UNAVAILABLE = 503;
/** Longest read of a peer's record; the peer asks others meanwhile. */
constexpr Duration PEER_READ_TIMEOUT{1200};
constexpr unsigned PEER_READS_MAX
    = 8; ///< Reads for peers at a time; further questions are dropped.

HttpResponse emptyResponse(int status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

} // namespace

void ProxyNode::reportHandled(const ServerReport &report, ReportVerdict verdict)
{
    m_serverNotices.record(report, verdict, m_loop.now());
}

void ProxyNode::releaseStartupReport()
{
    if (const auto report = m_startupReports.release(m_loop.now()))
        m_hostCalls.handleReport(*report);
}

void ProxyNode::handleServerNotice(const HttpRequest &request, const HttpService::Reply &reply)
{
    const Result<ServerNotice> notice = m_adapter.parseServerNotice(request);
    if (!notice) {
        m_metrics.count("server_notices_unreadable_total", "");
        m_log.logStateChange("report_refused", [&](LogFields &fields) {
            fields.add("code", std::int64_t{resultCodeNumber(notice.error().code)});
            fields.add("detail", notice.error().detail);
            fields.add("target", request.path);
        });
        reply(emptyResponse(BAD_REQUEST));
        return;
    }
    ServerReport report = notice.value().report;
    if (notice.value().isDeregistration) {
        report.startTimeMs
            = m_startupReports.handleDeregistration(report.instance, report.startTimeMs);
        acknowledgeDeparture(report, reply);
        m_hostCalls.handleDeregistration(report);
        return;
    }
    const ReportVerdict origin
        = checkReportOrigin(report, m_settings.self.service, m_settings.server);
    if (origin != ReportVerdict::Current) {
        m_serverNotices.record(report, origin, m_loop.now());
        reply(emptyResponse(BAD_REQUEST));
        return;
    }
    if (report.draining)
        acknowledgeDeparture(report, reply);
    if (!m_startupReports.hold(report, m_loop.now()))
        m_hostCalls.handleReport(report);
    if (!report.draining)
        reply(m_adapter.acknowledgement());
}

/**
 * Answers a notice that ends a server's use once the store holds the departure: an acknowledgement
 * binds also after a restart of all daemons. A departure of an unknown server beside a registered
 * one is not stored, since the registered one outranks its late reports.
 */
void ProxyNode::acknowledgeDeparture(const ServerReport &report, const HttpService::Reply &reply)
{
    const HostLoad load = m_hostCalls.load();
    const bool isRegistered = report.instance == load.instance;
    if (!isRegistered && !load.instance.empty() && load.state == HostState::Ready) {
        reply(m_adapter.acknowledgement());
        return;
    }
    Departure departure{report.instance, report.startTimeMs};
    if (isRegistered && departure.startTimeMs == 0)
        departure.startTimeMs = load.startTimeMs;
    m_departures.record(departure, isRegistered);
    m_departures.whenStored(departure, [this, reply](bool isStored) {
        reply(isStored ? m_adapter.acknowledgement() : emptyResponse(UNAVAILABLE));
    });
}

/** Records that the registered server leaves, however this daemon has learnt it, or is ready. */
void ProxyNode::recordServerState()
{
    const HostLoad load = m_hostCalls.load();
    if (load.state == HostState::Draining)
        m_departures.record({load.instance, load.startTimeMs}, true);
    else if (load.state == HostState::Ready)
        m_departures.serverReady(load.instance, load.startTimeMs);
}

void ProxyNode::departuresKnown(const Departures &departures)
{
    for (const Departure &departure : departures)
        m_hostCalls.handleRestrictions(m_settings.self.name,
                                       {departure.instance, departure.startTimeMs, true, 0});
    m_startupReports.recordRead();
    releaseStartupReport();
}

/** Asks peers to read this daemon's record until it is known, also when other evidence has ended
 * the hold of reports: the memory of a peer may be older than the record. */
void ProxyNode::askPeersForDepartures(TimePoint now)
{
    if (m_startupReports.isRecordKnown())
        return;
    std::vector<DepartureReader> readers;
    for (const ServerId &name : m_links.departureReaders()) {
        if (const Peer *peer = m_peers.find(name))
            readers.push_back({name, peer->storeAge});
    }
    for (const ServerId &name : m_departureInquiry.peersToAsk(std::move(readers), now)) {
        m_log.logStateChange("departures_asked",
                             [&](LogFields &fields) { fields.add("peer", name.text()); });
        m_links.askForDepartures(name);
    }
}

/** Reads the record of a peer that cannot read it, and tells the peer; a failed read is not told.
 */
void ProxyNode::readDeparturesFor(const ServerId &peer)
{
    if (m_departureReads >= PEER_READS_MAX)
        return;
    m_departureReads++;
    m_storeClient.call(m_adapter.readDeparturesRequest(peer), PEER_READ_TIMEOUT,
                       [this, peer](const Result<HttpResponse> &response) {
                           m_departureReads--;
                           const Result<StoredDepartures> read
                               = response ? m_adapter.parseDeparturesRead(response.value(), peer)
                                          : Result<StoredDepartures>(
                                              boost::outcome_v2::failure(response.error()));
                           m_storeCalls.record(StoreCallGroup::DepartureCalls, read, m_loop.now());
                           if (read)
                               m_links.sendRequest(peer, LinkDepartures{read.value().departures});
                       });
}

void ProxyNode::handlePeerDepartures(const ServerId &peer, const LinkDepartures &message)
{
    if (m_startupReports.isRecordKnown())
        return;
    m_log.logStateChange("departures_told", [&](LogFields &fields) {
        fields.add("peer", peer.text());
        fields.add("departures", std::uint64_t{message.departures.size()});
    });
    departuresKnown(message.departures);
}

} // namespace cornelwell
