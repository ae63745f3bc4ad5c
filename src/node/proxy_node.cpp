/** @file proxy_node.cpp Start, settings and shutdown of the daemon; versions and discovery. */
#include "node/proxy_node.h"

#include "base/hash_func.h"
#include "base/json_func.h"
#include "base/result_code_func.h"
#include "log/log.h"

#include <algorithm>
#include <csignal>

namespace cornelwell {

namespace {

constexpr Duration TICK_INTERVAL{200};            ///< Interval of the periodic work.
constexpr Duration SETTINGS_CHECK_INTERVAL{1000}; ///< Interval of the checks of the settings file.
constexpr Duration QUIET_TIME{300}; ///< A shutdown ends after this time without a request.
/** A shutdown waits so long at most until peers have received the results of their calls. A peer
 * that is gone never does. */
constexpr Duration LINK_DELIVERY_WAIT_MAX{500};
/** Between two looks at the links; a round trip between data centres takes tens of ms. */
constexpr Duration LINK_DELIVERY_CHECK_INTERVAL{20};
constexpr unsigned CRASH_THRESHOLD = 3; ///< Crashes after which a request is quarantined.

QuarantineOptions quarantineOptions()
{
    QuarantineOptions options;
    options.crashThreshold = CRASH_THRESHOLD;
    options.reportLifetime = seconds(120);
    return options;
}

OutputSchedulerOptions outputOptions(const NodeSettings &settings)
{
    OutputSchedulerOptions options;
    options.bytesPerSecond = settings.linkBytesPerSecond;
    return options;
}

HostSchedulerOptions hostOptions(const NodeSettings &settings)
{
    HostSchedulerOptions options;
    options.pace = settings.pace;
    options.refusesBySoftDeadline = settings.decisions.softDeadlines;
    options.usesRunningAges = settings.decisions.runningAges;
    return options;
}

DispatchOptions dispatchOptions(const DecisionSettings &decisions)
{
    DispatchOptions options;
    options.hedges = decisions.hedges;
    options.boundsWaits = decisions.waitBounds;
    options.failedRetries = decisions.failedRetries;
    options.rank.lateLast = decisions.lateLast;
    options.retryAdvice.lateAdvice = decisions.lateAdvice;
    options.rank.nestedRanks = decisions.nestedRanks;
    if (!decisions.failureShares)
        options.choice.failureLoss = 0;
    if (!decisions.coldStarts)
        options.choice.coldSlowdownFactor = 1;
    if (!decisions.transferCosts)
        options.choice.otherDataCentreLossPerKb = 0;
    return options;
}

NestedRoutesOptions nestedRoutesOptions(const DecisionSettings &decisions)
{
    NestedRoutesOptions options;
    options.enabled = decisions.nestedRoutes;
    return options;
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ",") + name;
    return text;
}

std::uint64_t seedOf(const NodeSettings &settings)
{
    return hash64(settings.self.name.text()) ^ settings.self.incarnation;
}

} // namespace

ProxyNode::ProxyNode(EventLoop &loop, const PlatformAdapter &adapter, NodeSettings settings,
                     std::string settingsPath)
    : m_loop(loop)
    , m_adapter(adapter)
    , m_settings(std::move(settings))
    , m_settingsFile(std::move(settingsPath))
    , m_log(loop.clock(), DecisionLogOptions())
    , m_serverNotices(m_log, m_metrics)
    , m_storeCalls(m_log, m_metrics)
    , m_peers(m_settings.self, PeerOptions())
    , m_budget(m_settings.retryBudget)
    , m_quarantine(quarantineOptions())
    , m_bulk(loop, outputOptions(m_settings))
    , m_hostCalls(loop, adapter.callFields(), *this, m_log, m_bulk.scheduler(),
                  hostOptions(m_settings))
    , m_startupReports(StartupReportsOptions(), loop.now())
    , m_departureInquiry(DepartureInquiryOptions(), loop.now())
    , m_dispatcher(
          m_peers, m_budget,
          [this] { return m_shutdown.hasBegun() ? HostLoad() : m_hostCalls.load(); },
          dispatchOptions(m_settings.decisions), seedOf(m_settings))
    , m_nestedRoutes(nestedRoutesOptions(m_settings.decisions))
    , m_replicator(m_peers, ReplicationOptions::forChangeBound(m_settings.changeBound),
                   seedOf(m_settings) + 1)
    , m_pingRandom(seedOf(m_settings) + 3)
    , m_discovery(m_peers, DiscoveryOptions(), seedOf(m_settings) + 2)
    , m_serviceSelector(seedOf(m_settings))
    , m_loopLag(TICK_INTERVAL, loop.now())
    , m_links(loop, m_peers, *this, PeerLinkOptions(), m_bulk)
    , m_bodySender(m_links, m_bulk)
    , m_quotas(m_settings.self, loop.now())
    , m_storeClient(loop, m_settings.store)
    , m_watchClient(loop, m_settings.store)
    , m_departures(loop, adapter, m_settings.self.name, m_settings.store, m_log, m_metrics,
                   m_storeCalls, *this, seedOf(m_settings) + 4)
{
    loop.closingConnections().setObserver(this);
    m_log.setIdentity(m_settings.self.name.text(), m_settings.self.dataCentre.text());
    if (m_settings.rollouts)
        startRollouts(seedOf(m_settings) + 3);
}

ProxyNode::~ProxyNode()
{
    m_loop.closingConnections().setObserver(nullptr);
    m_log.flush();
}

Result<void> ProxyNode::start()
{
    BOOST_OUTCOME_TRY(m_links.listen());
    BOOST_OUTCOME_TRY(reports,
                      HttpService::listenDeferring(
                          m_loop, m_settings.listen.reports,
                          [this](const HttpRequest &request, const HttpService::Reply &reply) {
                              handleServerNotice(request, reply);
                          }));
    m_reportService = std::move(reports);
    BOOST_OUTCOME_TRY(
        ready, HttpService::listen(m_loop, m_settings.listen.ready, [this](const HttpRequest &r) {
            return handleReadinessCheck(r);
        }));
    m_readyService = std::move(ready);
    if (m_settings.listen.metrics.port != 0) {
        BOOST_OUTCOME_TRY(
            metrics,
            HttpService::listen(m_loop, m_settings.listen.metrics, [this](const HttpRequest &) {
                HttpResponse response;
                updateQuotaMetrics();
                m_metrics.set("nested_routes", "",
                              static_cast<double>(m_nestedRoutes.nestedCount()));
                m_metrics.set("server_limit_per_second", "", m_hostCalls.load().requestsPerSecond);
                reportTransfers();
                m_metrics.set("server_concurrency_bound", "", m_hostCalls.load().slots);
                m_metrics.set("calls_displaced_total", "",
                              static_cast<double>(m_hostCalls.displacedCalls()));
                setTenantMetrics();
                setLoopMetrics();
                response.body = m_metrics.text();
                return response;
            }));
        m_metricsService = std::move(metrics);
    }
    BOOST_OUTCOME_TRY(calls, TcpListener::listen(m_loop, m_settings.listen.calls,
                                                 [this](TcpConnectionPtr connection) {
                                                     accept(std::move(connection));
                                                 }));
    m_callListener = std::move(calls);
    logLifecycleEvent("started");
    m_startedAt = m_loop.now();
    perform(m_replicator.start(m_loop.now()));
    perform(m_discovery.start());
    m_departures.start();
    tick();
    return success();
}

void ProxyNode::logLifecycleEvent(const char *event)
{
    m_log.logStateChange(event, [&](LogFields &fields) {
        fields.add("program", CORNELWELL_VERSION);
        fields.add("incarnation", m_settings.self.incarnation);
        fields.add("version", m_replicator.version());
        fields.add("under_way", std::uint64_t{m_pendingRequests.size()});
    });
}

void ProxyNode::reload()
{
    const auto text = readFile(m_settingsFile.path(), ResultCode::SettingsUnreadable);
    const auto settings = text ? m_adapter.settings(text.value())
                               : Result<NodeSettings>(boost::outcome_v2::failure(text.error()));
    if (!settings) {
        m_log.logStateChange("reload_refused", [&](LogFields &fields) {
            fields.add("code", std::int64_t{resultCodeNumber(settings.error().code)});
            fields.add("detail", settings.error().detail);
            fields.add("where", settings.error().where);
        });
        return;
    }
    const SettingsChange change = applySettings(m_settings, settings.value());
    m_storeClient.setAddress(m_settings.store);
    m_watchClient.setAddress(m_settings.store);
    m_departures.setStore(m_settings.store);
    if (m_rollouts)
        m_rollouts->watchClient.setAddress(m_settings.store);
    m_budget.setOptions(m_settings.retryBudget);
    m_log.logStateChange("reloaded", [&](LogFields &fields) {
        fields.add("taken", joined(change.applied));
        fields.add("need_restart", joined(change.restartRequired));
    });
}

/** Reloads the settings when their file changed without a signal. */
void ProxyNode::checkSettingsFile(TimePoint now)
{
    if (now < m_nextSettingsCheck)
        return;
    m_nextSettingsCheck = now + SETTINGS_CHECK_INTERVAL;
    if (m_settingsFile.hasChanged())
        reload();
}

void ProxyNode::setLoopMetrics()
{
    m_metrics.set("event_loop_lag_ms_max", "", static_cast<double>(m_loopLag.takeLargest().ms));
    m_metrics.set("store_age_ms", "", static_cast<double>(m_replicator.storeAge(m_loop.now()).ms));
    m_storeCalls.setGauges(m_loop.now());
}

/** Logs when what arrives waits long to be read, and when that is over. */
void ProxyNode::recordLoopLag(TimePoint now)
{
    const LoopLagChange change = m_loopLag.recordTick(now);
    if (change == LoopLagChange::None)
        return;
    m_log.logStateChange(change == LoopLagChange::Late ? "loop_late" : "loop_in_time",
                         [&](LogFields &fields) {
                             fields.add("lag_ms", m_loopLag.last().ms);
                             fields.add("pending", std::uint64_t{m_pendingRequests.size()});
                             fields.add("sessions", std::uint64_t{m_sessions.size()});
                         });
}

void ProxyNode::tick()
{
    const TimePoint now = m_loop.now();
    recordLoopLag(now);
    releaseStartupReport();
    m_departures.tick();
    askPeersForDepartures(now);
    m_budget.setDaemonCount(m_peers.responsiveDaemonCount(now));
    m_links.tick();
    m_hostCalls.tick();
    perform(m_replicator.tick(now));
    perform(m_discovery.tick(now));
    tickConfirmation(now);
    updateQuotaFleet();
    tickRollouts();
    checkSettingsFile(now);
    if (m_shutdown.hasBegun())
        checkShutdown();
    m_log.flush();
    m_loop.after(TICK_INTERVAL, [this] { tick(); });
}

void ProxyNode::beginShutdown()
{
    if (m_shutdown.hasBegun())
        return;
    m_shutdown.begin(m_loop.now());
    m_lastRequestAt = m_loop.now();
    logLifecycleEvent("leaving");
    m_hostCalls.beginShutdown();
    m_links.announceState();
}

/** @return true when no request is received in part, in progress or answered in part, and callers
 * have received what was sent to them. */
bool ProxyNode::isQuiet() const
{
    const bool sessionsIdle
        = std::all_of(m_sessions.begin(), m_sessions.end(), [](const auto &session) {
              return session->isIdle() && session->undeliveredBytes() == 0;
          });
    return sessionsIdle && m_loop.closingConnections().areSettled() && m_pendingRequests.empty()
           && m_hostCalls.callCount() == 0 && m_bulk.scheduler().backlogBytes() == 0
           && m_loop.now() - m_lastRequestAt >= QUIET_TIME;
}

/** Stops the loop when callers know of the shutdown, no request is in progress and peers have
 * received their results, or at the end of the grace. */
void ProxyNode::checkShutdown()
{
    const TimePoint now = m_loop.now();
    const bool isOver = m_shutdown.isOver(m_settings.grace, now);
    if (!isOver && (!m_shutdown.callersKnow(m_settings.grace, now) || !isQuiet())) {
        m_quietSince.reset();
        return;
    }
    if (!m_quietSince)
        m_quietSince = now;
    const bool awaitsPeers
        = m_links.hasUndeliveredAnswers() && now - *m_quietSince < LINK_DELIVERY_WAIT_MAX;
    if (!isOver && awaitsPeers) {
        m_loop.after(LINK_DELIVERY_CHECK_INTERVAL, [this] { checkShutdown(); });
        return;
    }
    endTokenWaits();
    perform(m_dispatcher.endAll());
    logLifecycleEvent("stopped");
    m_log.flush();
    m_loop.stop();
}

HttpResponse ProxyNode::handleReadinessCheck(const HttpRequest &request)
{
    HttpResponse response;
    if (!m_adapter.isReadinessCheck(request)) {
        response.status = 404;
        return response;
    }
    const bool ready
        = m_replicator.version() != 0 && !m_shutdown.hasBegun() && !awaitsFirstConfirmation();
    m_shutdown.recordNotReady();
    response.status = ready ? 200 : 503;
    return response;
}

Result<void> runProxyNode(const PlatformAdapter &adapter, const std::string &settingsPath)
{
    BOOST_OUTCOME_TRY(text, readFile(settingsPath, ResultCode::SettingsUnreadable));
    BOOST_OUTCOME_TRY(settings, adapter.settings(text));
    const std::string sameLevel;
    startLog({settings.self.name.text(), settings.self.dataCentre.text()}, sameLevel);
    EventLoop loop;
    settings.self.incarnation = static_cast<std::uint64_t>(loop.clock().wallNow().ms);
    ProxyNode node(loop, adapter, std::move(settings), settingsPath);
    BOOST_OUTCOME_TRY(node.start());
    loop.onSignal(SIGTERM, [&node] { node.beginShutdown(); });
    loop.onSignal(SIGINT, [&node] { node.beginShutdown(); });
    loop.onSignal(SIGHUP, [&node] { node.reload(); });
    loop.run();
    return success();
}

} // namespace cornelwell
