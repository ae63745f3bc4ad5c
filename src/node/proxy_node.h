/** @file proxy_node.h The daemon on one event loop: the slices' decisions and their input and
 * output. */
#pragma once

#include "base/random.h"
#include "dispatch/dispatcher.h"
#include "fleet/peer_discovery.h"
#include "log/decision_log.h"
#include "loop/event_loop.h"
#include "metrics/metrics.h"
#include "node/caller_session.h"
#include "node/host_desk.h"
#include "node/http_service.h"
#include "node/peer_links.h"
#include "node/platform_adapter.h"
#include "node/recent_refusals.h"
#include "node/settings_change.h"
#include "node/store_client.h"
#include "replication/route_replicator.h"
#include "retry/quarantine.h"
#include "routes/weighted_round_robin.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace cornelwell {

/** Everything of one daemon. */
class ProxyNode : private CallerSessionOwner, private HostDeskListener, private PeerLinksListener
{
public:
    /**
     * @param loop The loop.
     * @param adapter The platform's dialect.
     * @param settings Settings.
     * @param settingsPath File that they came from, read again on SIGHUP and when it changed.
     */
    ProxyNode(EventLoop &loop, const PlatformAdapter &adapter, NodeSettings settings,
              std::string settingsPath);
    ~ProxyNode() override;

    /** Listens and begins. */
    Result<void> start();
    /** Reads the settings again; a file with a fault changes nothing. */
    void reload();
    /** Begins a graceful shutdown; the loop stops when it is done. */
    void beginLeaving();

private:
    /** A caller's request under way. */
    struct PendingRequest
    {
        std::weak_ptr<CallerSession> session;
        HttpRequest request;
        std::string requestId;
        std::string route;
        bool fromServer = false;       ///< The server beside this daemon made it.
        std::uint64_t fingerprint = 0; ///< Hash of the request; 0 when it matched no route.
        TimePoint goal{0};             ///< Of its first try.
        TimePoint began{0};
        TimerId timer = 0;
        TimerId hedgeTimer = 0;
        unsigned hedgeTries = 0;
        unsigned offers = 0;
        ServerId lastDaemon;
    };

    // Callers.
    TrafficLimits limits() const override;
    bool shouldCloseConnections() const override { return m_leaving; }
    bool mayRunConcurrently(const HttpRequest &request) const override;
    PendingRequestId newRequestId() override { return ++m_lastRequestId; }
    void handleRequest(CallerSession &session, PendingRequestId id,
                       IncomingRequest incoming) override;
    void callerDisconnected(PendingRequestId id) override;
    void sessionClosed(CallerSession &session) override;
    void accept(TcpConnectionPtr connection);
    RequestAttributes attributesOf(const CallerSession &session, const HttpRequest &request,
                                   const Route &route);
    void armHedge(PendingRequestId id);
    void answer(PendingRequestId id, const HttpResponse &response);
    void answerOwn(const SendLocalReply &own);
    HttpResponse ownResponse(int status, ResultCode code, const std::string &requestId) const;

    // The dispatch's actions.
    void perform(const DispatchActions &actions);
    void perform(const SendOffer &action);
    void perform(const CancelOffer &action);
    void perform(const AskOutcome &action);
    void perform(const ForwardResponse &action);
    void perform(const SendLocalReply &action) { answerOwn(action); }
    LinkCall linkCall(const SendOffer &action, const PendingRequest &pending) const;

    // The server beside this daemon.
    void callEnded(const CallOrigin &origin, const HostOutcome &outcome) override;
    void hostChanged() override;
    void requestCrashed(std::uint64_t fingerprint, const std::string &route) override;
    HttpResponse reportRead(const HttpRequest &request);
    HttpResponse readyAsked(const HttpRequest &request);

    // Peers.
    LinkDaemonState linkState() const override;
    Revision routesVersion() const override { return m_replicator.version(); }
    void linkUp(const ServerId &peer, bool restarted) override;
    void linkDown(const ServerId &peer) override;
    void senderLost(const ServerId &peer, std::uint64_t incarnation) override;
    void peerGone(const ServerId &peer) override;
    void peerAnnounced(const DaemonRecord &record) override;
    void answerReceived(const ServerId &peer, LinkMessage message) override;
    void requestReceived(const DaemonRecord &peer, LinkMessage message) override;
    void takeState(const ServerId &name, const LinkDaemonState &state);
    void takeResult(const ServerId &name, const LinkResult &result);
    void takeCrash(const CrashReport &report);

    // Versions and discovery.
    void perform(const ReplicationActions &actions);
    void perform(const ReadRoutes &action);
    void perform(const WatchRoutes &action);
    void perform(const ApplyRoutes &action);
    void perform(const AnnounceVersion &action);
    void perform(const PushRoutes &action);
    void perform(const RequestRoutes &action);
    void perform(const RejectRoutes &action);
    void perform(const StoreAvailabilityChanged &action);
    void perform(const DiscoveryActions &actions);
    void perform(const AnnounceSelf &action);
    void perform(const ListDaemons &action);

    void tick();
    void lookAtSettings(TimePoint now);
    void checkLeft();
    /** @return true when a request that may last until then is not to be begun: the process ends.
     */
    bool endsBefore(TimePoint deadline) const;
    void logLife(const char *event);

    EventLoop &m_loop;
    const PlatformAdapter &m_adapter;
    NodeSettings m_settings;
    FileWatcher m_settingsFile;
    TimePoint m_settingsLookAt{0};
    DecisionLog m_log;
    Metrics m_metrics;
    PeerTable m_peers;
    ServiceRetryBudget m_budget;
    Quarantine m_quarantine;
    std::set<std::uint64_t> m_quarantined;
    RecentRefusals m_returning;
    HostDesk m_desk;
    Dispatcher m_dispatcher;
    RouteReplicator m_replicator;
    PeerDiscovery m_discovery;
    WeightedRoundRobin m_rotation;
    PeerLinks m_links;
    StoreClient m_store;
    StoreClient m_watchStore;
    std::unique_ptr<TcpListener> m_callListener;
    std::unique_ptr<HttpService> m_readyService;
    std::unique_ptr<HttpService> m_reportService;
    std::unique_ptr<HttpService> m_metricsService;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
    std::unordered_map<PendingRequestId, PendingRequest> m_pendingRequests;
    PendingRequestId m_lastRequestId = 0;
    std::uint64_t m_lastCrash = 0;
    bool m_leaving = false;
    TimePoint m_leavingSince{0};
    TimePoint m_lastRequest{0};
    unsigned m_readyDenied = 0; ///< Answers since the shutdown began that the daemon is not ready.
};

/**
 * Runs a daemon until it is stopped.
 * @param adapter The platform's dialect.
 * @param settingsPath Settings file.
 * @return nothing, or why it could not start.
 */
Result<void> runProxyNode(const PlatformAdapter &adapter, const std::string &settingsPath);

} // namespace cornelwell
