/** @file proxy_node.h The daemon: performs the actions of its decision classes on one event loop.
 */
#pragma once

#include "base/random.h"
#include "callgraph/nested_routes.h"
#include "dispatch/dispatcher.h"
#include "fleet/peer_discovery.h"
#include "hosting/departure_inquiry.h"
#include "hosting/startup_reports.h"
#include "log/decision_log.h"
#include "loop/closing_connections.h"
#include "loop/event_loop.h"
#include "metrics/metrics.h"
#include "node/body_transfers.h"
#include "node/bulk_writer.h"
#include "node/caller_session.h"
#include "node/departure_recorder.h"
#include "node/host_call_executor.h"
#include "node/http_service.h"
#include "node/loop_lag.h"
#include "node/node_rollouts.h"
#include "node/peer_links.h"
#include "node/platform_adapter.h"
#include "node/quota_parts.h"
#include "node/recent_failures.h"
#include "node/server_notice_log.h"
#include "node/settings_change.h"
#include "node/shutdown_schedule.h"
#include "node/store_call_monitor.h"
#include "node/store_client.h"
#include "replication/confirmation_renewal.h"
#include "replication/route_replicator.h"
#include "replication/store_era.h"
#include "replication/version_confirmation.h"
#include "retry/crash_report_relay.h"
#include "retry/quarantine.h"
#include "routes/weighted_round_robin.h"
#include "tenants/credential_decision.h"

#include <array>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace cornelwell {

/** One daemon: listeners, links, store clients, and the classes whose actions it performs
 * (Dispatcher, RouteReplicator, PeerDiscovery). */
class ProxyNode : private CallerSessionOwner,
                  private HostCallListener,
                  private PeerLinksListener,
                  private DepartureRecorderListener,
                  private CloseObserver
{
public:
    /**
     * @param loop The event loop.
     * @param adapter Translates for the platform; outlives the daemon.
     * @param settings Settings at the start.
     * @param settingsPath File of the settings; read again on SIGHUP and when the file changes.
     */
    ProxyNode(EventLoop &loop, const PlatformAdapter &adapter, NodeSettings settings,
              std::string settingsPath);
    ~ProxyNode() override;

    /** Opens the listeners and starts the daemon. @return nothing, or why it cannot listen. */
    Result<void> start();
    /** Reads the settings file again; an invalid file changes nothing. */
    void reload();
    /** Starts a graceful shutdown; the loop stops at its end. */
    void beginShutdown();

private:
    /** A caller's request in progress. */
    struct PendingRequest
    {
        std::weak_ptr<CallerSession> session;
        HttpRequest request;
        /** Body of the request when it is large; offers share it. */
        std::shared_ptr<const std::string> largeBody;
        std::string requestId;
        std::string route;
        bool fromServerAddress = false; ///< It came from the address of the local server.
        bool fromLocalServer = false;   ///< The local server is the caller.
        std::uint64_t fingerprint = 0;  ///< Hash of the request; 0 when no route matches.
        TimePoint softDeadline{0};      ///< Soft deadline of the first attempt.
        bool idempotent = false;        ///< It may run more than once.
        bool quarantined = false;       ///< It is refused because it crashes servers.
        TimePoint startedAt{0};
        TimerId timer = 0;
        TimerId hedgeTimer = 0;
        unsigned hedgeAttempts = 0;
        unsigned offers = 0;
        ServerId lastDaemon;
        CredentialVerdict credential = CredentialVerdict::NoTenants;
        std::string tenant; ///< Name of the tenant; empty without one.
        std::optional<unsigned> tenantPriority;
        std::string quotaTenant; ///< Tenant whose token the request has; empty: it has none.
    };

    // Requests of callers.
    TrafficLimits limits() const override;
    bool shouldCloseConnections() const override { return m_shutdown.hasBegun(); }
    bool mayRunConcurrently(const HttpRequest &request) const override;
    BulkWriter *bulkWriter() override { return &m_bulk; }
    PendingRequestId newRequestId() override { return ++m_lastRequestId; }
    void handleRequest(CallerSession &session, PendingRequestId id,
                       IncomingRequest incoming) override;
    void callerDisconnected(PendingRequestId id) override;
    void sessionClosed(CallerSession &session) override;
    void connectionClosed(const ConnectionClose &close) override;
    void accept(TcpConnectionPtr connection);
    RequestAttributes attributesOf(const CallerSession &session, const HttpRequest &request,
                                   const Route &route);
    void beginDispatch(PendingRequestId id, RequestAttributes attributes);
    void requestTimedOut(PendingRequestId id);
    void startHedgeTimer(PendingRequestId id);
    void sendResponse(PendingRequestId id, const HttpResponse &response);
    void sendLocalReply(const SendLocalReply &reply);
    HttpResponse makeLocalReply(int status, ResultCode code, const std::string &requestId) const;

    // Actions of the dispatcher.
    void perform(const DispatchActions &actions);
    void perform(const SendOffer &action);
    void perform(const CancelOffer &action);
    void perform(const AskOutcome &action);
    void perform(const ForwardResponse &action);
    void perform(const SendLocalReply &action) { sendLocalReply(action); }
    bool transfersBody(const ServerId &daemon) const;
    LinkCall makeLinkCall(const SendOffer &action, const PendingRequest &pending) const;

    // Keys of tenants, and the confirmation of the version that has them.
    bool hasRevocationBound() const;
    bool awaitsFirstConfirmation() const;
    bool hasPeerNewerVersion() const;
    CredentialFacts credentialFacts(const RouteTable &table, const HttpRequest &request,
                                    bool isExempt) const;
    void logCredential(const char *event, const PendingRequest &pending, const HttpRequest &request,
                       CredentialVerdict verdict, const CredentialFacts &facts);
    bool admitCredential(PendingRequestId id, PendingRequest &pending, const RouteTable &table,
                         const Route &route, const HttpRequest &request);
    HostReason recheckCredential(const PendingRequest &pending);
    std::vector<std::string> ownFields(const PendingRequest &pending) const;
    Duration watchTimeout(Duration usual) const;
    void sendPings();
    void handlePing(const DaemonRecord &peer, const LinkPing &ping);
    void handlePong(const LinkPong &pong);
    void requestConfirmation();
    void tickConfirmation(TimePoint now);
    void setTenantMetrics();

    // The local server.
    void callCompleted(const CallOrigin &origin, const HostOutcome &outcome) override;
    void serverStateChanged() override;
    void reportHandled(const ServerReport &report, ReportVerdict verdict) override;
    void requestSuspectedOfCrash(std::uint64_t fingerprint, const std::string &route) override;
    void bodyGranted(const CallOrigin &origin, std::uint64_t bytes) override;
    void requestEnded(unsigned rank) override { m_nestedRoutes.recordEnd(rank, m_loop.now()); }
    void requestMeasured(const std::string &route, HostFinish finish, Duration time,
                         bool nestedFailure) override;
    void handleServerNotice(const HttpRequest &request, const HttpService::Reply &reply);
    void acknowledgeDeparture(const ServerReport &report, const HttpService::Reply &reply);
    void departuresKnown(const Departures &departures) override;
    void askPeersForDepartures(TimePoint now);
    void readDeparturesFor(const ServerId &peer);
    void handlePeerDepartures(const ServerId &peer, const LinkDepartures &message);
    void recordServerState();
    void releaseStartupReport();
    HttpResponse handleReadinessCheck(const HttpRequest &request);

    // Peers.
    LinkDaemonState linkState() const override;
    Revision routesVersion() const override { return m_replicator.version(); }
    void linkUp(const ServerId &peer, bool restarted) override;
    void linkDown(const ServerId &peer) override;
    void senderLost(const ServerId &peer, std::uint64_t incarnation) override;
    void peerReplaced(const ServerId &peer) override;
    void peerAnnounced(const DaemonRecord &record) override;
    void restrictionsTold(const ServerId &peer, const ServerRestrictions &restrictions) override;
    void handlePeerAnswer(const ServerId &peer, LinkMessage message) override;
    void handlePeerRequest(const DaemonRecord &peer, LinkMessage message) override;
    void linkInputReceived(std::size_t bytes) override { m_hostCalls.recordLinkInput(bytes); }
    void handleState(const ServerId &name, const LinkDaemonState &state);
    void handleResult(const ServerId &name, const LinkResult &result);
    void handleCrashReport(const CrashReport &report);
    void relayCrashReports();
    void sendCrashReports(const ServerId &peer, const std::vector<CrashReport> &reports);

    // Versions of the routes and discovery of daemons.
    template<typename T>
    Result<T> parseStoreAnswer(const Result<HttpResponse> &response, StoreCallGroup group,
                               Result<T> (PlatformAdapter::*parse)(const HttpResponse &) const);
    template<typename T>
    Result<T> parseNewestAnswer(const Result<HttpResponse> &response,
                                Result<T> (PlatformAdapter::*parse)(const HttpResponse &) const);
    void logFaults(const std::vector<Error> &faults, const char *source);
    bool observeStoreEra(std::uint64_t era, const std::string &source);
    void perform(const ReplicationActions &actions);
    void perform(const ReadRoutes &action);
    void perform(const WatchRoutes &action);
    void perform(const AbandonWatch &action);
    void perform(const ApplyRoutes &action);
    void perform(const AnnounceVersion &action);
    void perform(const PushRoutes &action);
    void perform(const RequestRoutes &action);
    void perform(const RejectRoutes &action);
    void perform(const StoreAvailabilityChanged &action);
    void perform(const DiscoveryActions &actions);
    void perform(const AnnounceSelf &action);
    void perform(const ListDaemons &action);

    // Quotas of tenants.
    void applyQuotas(const RouteTable &table);
    void updateQuotaFleet();
    void quotaTick();
    void armQuotaTimer();
    void checkSuspension();
    bool needsToken(const RequestAttributes &attributes) const;
    void waitForToken(PendingRequestId id, RequestAttributes attributes);
    bool stopWaitingForToken(PendingRequestId id);
    void endTokenWaits();
    void giveTokenBack(PendingRequest &pending);
    void perform(const QuotaActions &actions);
    void perform(const AdmitRequest &action);
    void perform(const RefuseRequest &action);
    void perform(const SendQuotaRequest &action);
    void perform(const QuotaExchanges &exchanges);
    bool handleQuotaMessage(const ServerId &peer, std::uint64_t incarnation,
                            const LinkMessage &message);
    void updateQuotaMetrics();
    // Roll-outs.
    void startRollouts(std::uint64_t seed);
    void tickRollouts();
    void announceRollouts();
    void setRolloutGauges();
    void updateOwnServer();
    void evaluateRollouts();
    void perform(const ListRollouts &action);
    void perform(const WatchRollouts &action);
    void perform(const WriteRolloutStatus &action);
    void perform(const AnnounceRollouts &action);
    void perform(const RolloutNotice &action);
    void addRollouts(LinkDaemonState &state) const;
    void learnRollouts(const Peer &peer, const LinkDaemonState &state);
    /** Refuses an offer as not run. @return false when the server's version is not rolled back. */
    bool refuseRolledBack(const CallOrigin &origin);
    void countRolloutRequest(const SendOffer &offer);

    void tick();
    void recordLoopLag(TimePoint now);
    void setLoopMetrics();
    void checkSettingsFile(TimePoint now);
    void checkShutdown();
    bool isQuiet() const;
    void logLifecycleEvent(const char *event);
    void reportTransfers();

    EventLoop &m_loop;
    const PlatformAdapter &m_adapter;
    NodeSettings m_settings;
    FileWatcher m_settingsFile;
    TimePoint m_nextSettingsCheck{0};
    DecisionLog m_log;
    Metrics m_metrics;
    ServerNoticeLog m_serverNotices;
    StoreCallMonitor m_storeCalls;
    PeerTable m_peers;
    ServiceRetryBudget m_budget;
    Quarantine m_quarantine;
    CrashReportRelay m_crashReports;
    std::set<std::uint64_t> m_quarantined;
    RecentFailures m_recentFailures;
    BulkWriter m_bulk;
    HostCallExecutor m_hostCalls;
    StartupReports m_startupReports;
    DepartureInquiry m_departureInquiry;
    unsigned m_departureReads = 0; ///< Reads for peers that are in progress.
    Dispatcher m_dispatcher;
    NestedRoutes m_nestedRoutes;
    StoreEra m_storeEra;
    RouteReplicator m_replicator;
    VersionConfirmation m_confirmation;
    Random m_pingRandom;
    ConfirmationRenewal m_renewal;
    bool m_confirmed = false; ///< As last logged.
    TimePoint m_startedAt{0};
    /** Requests by verdict since the metrics were read last. */
    std::array<std::uint64_t, static_cast<std::size_t>(CredentialVerdict::Count)>
        m_credentialVerdicts{};
    PeerDiscovery m_discovery;
    WeightedRoundRobin m_serviceSelector;
    LoopLag m_loopLag;
    PeerLinks m_links;
    BodySender m_bodySender;
    QuotaParts m_quotas;
    StoreClient m_storeClient;
    StoreClient m_watchClient;
    DepartureRecorder m_departures;
    std::unique_ptr<NodeRollouts> m_rollouts; ///< Null unless the settings ask for roll-outs.
    std::unique_ptr<TcpListener> m_callListener;
    std::unique_ptr<HttpService> m_readyService;
    std::unique_ptr<HttpService> m_reportService;
    std::unique_ptr<HttpService> m_metricsService;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
    std::unordered_map<PendingRequestId, PendingRequest> m_pendingRequests;
    PendingRequestId m_lastRequestId = 0;
    std::uint64_t m_crashSequence = 0;
    ShutdownSchedule m_shutdown;
    std::optional<TimePoint> m_quietSince; ///< During a shutdown, while it waits for peers only.
    TimePoint m_lastRequestAt{0};
};

/** Parses an answer of the store and records whether it can be used. */
template<typename T>
Result<T> ProxyNode::parseStoreAnswer(const Result<HttpResponse> &response, StoreCallGroup group,
                                      Result<T> (PlatformAdapter::*parse)(const HttpResponse &)
                                          const)
{
    Result<T> answer = parseNewestAnswer(response, parse);
    m_storeCalls.record(group, answer, m_loop.now());
    return answer;
}

/** Parses an answer of the store; one of an earlier era is an error, since it may be outdated. */
template<typename T>
Result<T> ProxyNode::parseNewestAnswer(const Result<HttpResponse> &response,
                                       Result<T> (PlatformAdapter::*parse)(const HttpResponse &)
                                           const)
{
    if (!response)
        return boost::outcome_v2::failure(response.error());
    if (!observeStoreEra(m_adapter.storeEra(response.value()), "store"))
        return fail(ResultCode::PlatformUnknown, "an answer of an earlier era of the store");
    return (m_adapter.*parse)(response.value());
}

/**
 * Runs a daemon until it is stopped.
 * @param adapter Translates for the platform.
 * @param settingsPath Path of the settings file.
 * @return nothing, or why it could not start.
 */
Result<void> runProxyNode(const PlatformAdapter &adapter, const std::string &settingsPath);

} // namespace cornelwell
