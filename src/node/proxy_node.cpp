/** @file proxy_node.cpp Start, life and end of the daemon; versions and discovery. */
#include "node/proxy_node.h"

#include "base/hash_func.h"
#include "base/json_func.h"
#include "base/result_code_func.h"

#include <algorithm>
#include <csignal>

namespace cornelwell {

namespace {

constexpr Duration TICK{200};             ///< Pause between looks at what is due.
constexpr Duration SETTINGS_LOOK{1000};   ///< Pause between looks at the settings file.
constexpr Duration STORE_TIMEOUT{3000};   ///< Longest wait for an answer of the store.
constexpr Duration READ_TIMEOUT{1200};    ///< The same for the routes: another try is worth more.
constexpr Duration WATCH_SLACK{1500};     ///< A watch is given up this long after its wait.
constexpr Duration LEAVE_AFTER{2300};     ///< Callers have learnt by then that the daemon leaves.
constexpr Duration QUIET_BEFORE_END{300}; ///< No request for this long before the end.
constexpr Duration GRACE_RESERVE{500};    ///< Time kept of the grace for the last answers.
constexpr unsigned READY_DENIALS = 2;     ///< After so many the platform sends nobody any more.
constexpr unsigned CRASHES_MAX = 3;       ///< Crashes after which a request is refused.

QuarantineOptions quarantineOptions()
{
    QuarantineOptions options;
    options.crashThreshold = CRASHES_MAX;
    options.reportLifetime = seconds(120);
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
    , m_peers(m_settings.self, PeerOptions())
    , m_budget(m_settings.repeats)
    , m_quarantine(quarantineOptions())
    , m_desk(loop, adapter.callFields(), *this, m_log)
    , m_dispatcher(
          m_peers, m_budget, [this] { return m_leaving ? HostLoad() : m_desk.load(); },
          DispatchOptions(), seedOf(m_settings))
    , m_replicator(m_peers, ReplicationOptions(), seedOf(m_settings) + 1)
    , m_discovery(m_peers, DiscoveryOptions(), seedOf(m_settings) + 2)
    , m_rotation(seedOf(m_settings))
    , m_links(loop, m_peers, *this, PeerLinkOptions())
    , m_store(loop, m_settings.store)
    , m_watchStore(loop, m_settings.store)
{
    m_log.setIdentity(m_settings.self.name.text(), m_settings.self.dataCentre.text());
}

ProxyNode::~ProxyNode()
{
    m_log.flush();
}

Result<void> ProxyNode::start()
{
    BOOST_OUTCOME_TRY(m_links.listen());
    BOOST_OUTCOME_TRY(reports,
                      HttpService::listen(m_loop, m_settings.listen.reports,
                                          [this](const HttpRequest &r) { return reportRead(r); }));
    m_reportService = std::move(reports);
    BOOST_OUTCOME_TRY(ready,
                      HttpService::listen(m_loop, m_settings.listen.ready,
                                          [this](const HttpRequest &r) { return readyAsked(r); }));
    m_readyService = std::move(ready);
    if (m_settings.listen.metrics.port != 0) {
        BOOST_OUTCOME_TRY(metrics, HttpService::listen(m_loop, m_settings.listen.metrics,
                                                       [this](const HttpRequest &) {
                                                           HttpResponse response;
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
    logLife("started");
    perform(m_replicator.start(m_loop.now()));
    perform(m_discovery.start());
    tick();
    return success();
}

void ProxyNode::logLife(const char *event)
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
    m_store.setAddress(m_settings.store);
    m_watchStore.setAddress(m_settings.store);
    m_budget.setOptions(m_settings.repeats);
    m_log.logStateChange("reloaded", [&](LogFields &fields) {
        fields.add("taken", joined(change.applied));
        fields.add("need_restart", joined(change.restartRequired));
    });
}

/** The file may change without a signal. */
void ProxyNode::lookAtSettings(TimePoint now)
{
    if (now < m_settingsLookAt)
        return;
    m_settingsLookAt = now + SETTINGS_LOOK;
    if (m_settingsFile.hasChanged())
        reload();
}

void ProxyNode::tick()
{
    const TimePoint now = m_loop.now();
    m_budget.setDaemonCount(m_peers.responsiveDaemonCount(now));
    m_links.tick();
    m_desk.tick();
    perform(m_replicator.tick(now));
    perform(m_discovery.tick(now));
    lookAtSettings(now);
    if (m_leaving)
        checkLeft();
    m_log.flush();
    m_loop.after(TICK, [this] { tick(); });
}

void ProxyNode::beginLeaving()
{
    if (m_leaving)
        return;
    m_leaving = true;
    m_leavingSince = m_loop.now();
    m_lastRequest = m_leavingSince;
    logLife("leaving");
    m_desk.beginLeaving();
    m_links.tellState();
}

bool ProxyNode::endsBefore(TimePoint deadline) const
{
    if (!m_leaving || m_loop.now() - m_leavingSince < LEAVE_AFTER)
        return false;
    return deadline > m_leavingSince + m_settings.grace - GRACE_RESERVE;
}

/** The daemon ends when callers have learnt that it leaves and nothing is under way. */
void ProxyNode::checkLeft()
{
    const TimePoint now = m_loop.now();
    const Duration since = now - m_leavingSince;
    const bool late = since >= m_settings.grace - GRACE_RESERVE;
    const bool known = since >= LEAVE_AFTER || m_readyDenied >= READY_DENIALS;
    const bool quiet = m_pendingRequests.empty() && m_desk.busy() == 0
                       && now - m_lastRequest >= QUIET_BEFORE_END;
    if (!late && !(known && quiet))
        return;
    perform(m_dispatcher.endAll());
    logLife("stopped");
    m_log.flush();
    m_loop.stop();
}

HttpResponse ProxyNode::readyAsked(const HttpRequest &request)
{
    HttpResponse response;
    if (!m_adapter.asksReady(request)) {
        response.status = 404;
        return response;
    }
    const bool ready = m_replicator.version() != 0 && !m_leaving;
    if (m_leaving)
        m_readyDenied++;
    response.status = ready ? 200 : 503;
    return response;
}

HttpResponse ProxyNode::reportRead(const HttpRequest &request)
{
    const Result<ServerNotice> notice = m_adapter.serverNotice(request);
    if (!notice) {
        m_log.logStateChange("report_refused", [&](LogFields &fields) {
            fields.add("code", std::int64_t{resultCodeNumber(notice.error().code)});
            fields.add("detail", notice.error().detail);
            fields.add("target", request.path);
        });
        HttpResponse refusal;
        refusal.status = 400;
        return refusal;
    }
    const ServerReport &report = notice.value().report;
    if (notice.value().isDeregistration)
        m_desk.leave(report);
    else if (report.address.ip == m_settings.server.ip)
        m_desk.report(report);
    return m_adapter.acknowledgement();
}

void ProxyNode::perform(const ReplicationActions &actions)
{
    for (const ReplicationAction &action : actions)
        std::visit([this](const auto &one) { perform(one); }, action);
}

void ProxyNode::perform(const ReadRoutes &action)
{
    m_watchStore.call(m_adapter.readRoutes(action.allowStale), READ_TIMEOUT,
                      [this](const Result<HttpResponse> &answer) {
                          const Result<StoredRoutes> read
                              = answer ? m_adapter.routesRead(answer.value())
                                       : Result<StoredRoutes>(
                                           boost::outcome_v2::failure(answer.error()));
                          perform(m_replicator.handleReadAnswer(read, m_loop.now()));
                      });
}

void ProxyNode::perform(const WatchRoutes &action)
{
    m_watchStore.call(m_adapter.watchRoutes(action.storeRevision, action.timeout),
                      action.timeout + WATCH_SLACK, [this](const Result<HttpResponse> &answer) {
                          const Result<StoredRoutes> read
                              = answer ? m_adapter.routesWatched(answer.value())
                                       : Result<StoredRoutes>(
                                           boost::outcome_v2::failure(answer.error()));
                          perform(m_replicator.handleWatchAnswer(read, m_loop.now()));
                      });
}

void ProxyNode::perform(const ApplyRoutes &action)
{
    m_log.logStateChange("routes", [&](LogFields &fields) {
        fields.add("version", action.table->version());
        fields.add("source", action.source);
        fields.add("routes", std::uint64_t{action.table->routes().size()});
    });
}

void ProxyNode::perform(const AnnounceVersion &action)
{
    if (action.toAllPeers)
        m_links.tellState();
    else
        m_links.tellState(action.peers);
}

void ProxyNode::perform(const PushRoutes &action)
{
    m_links.sendRequests(action.peers, LinkRouteUpdate{action.update});
}

void ProxyNode::perform(const RequestRoutes &action)
{
    m_links.sendRequest(action.peer, LinkRoutesRequest{action.currentVersion});
}

void ProxyNode::perform(const RejectRoutes &action)
{
    m_log.logStateChange("routes_refused", [&](LogFields &fields) {
        fields.add("code", std::int64_t{resultCodeNumber(action.error.code)});
        fields.add("detail", action.error.detail);
        fields.add("where", action.error.where);
        fields.add("source", action.source);
        fields.add("version_in_force", m_replicator.version());
    });
}

void ProxyNode::perform(const StoreAvailabilityChanged &action)
{
    m_log.logStateChange(action.available ? "store_back" : "store_lost", [&](LogFields &fields) {
        fields.add("code", std::int64_t{resultCodeNumber(action.error.code)});
        fields.add("detail", action.error.detail);
        fields.add("version", m_replicator.version());
    });
    // The store may turn just this daemon away: another one has to watch at once.
    m_links.tellState();
}

void ProxyNode::perform(const DiscoveryActions &actions)
{
    for (const DiscoveryAction &action : actions)
        std::visit([this](const auto &one) { perform(one); }, action);
}

void ProxyNode::perform(const AnnounceSelf &action)
{
    m_store.call(m_adapter.announce(m_settings.self, action.revision), STORE_TIMEOUT,
                 [this](const Result<HttpResponse> &answer) {
                     const Result<AnnounceAnswer> read
                         = answer
                               ? m_adapter.announced(answer.value())
                               : Result<AnnounceAnswer>(boost::outcome_v2::failure(answer.error()));
                     perform(m_discovery.handleAnnounceAnswer(read, m_loop.now()));
                 });
}

void ProxyNode::perform(const ListDaemons &action)
{
    m_store.call(m_adapter.listDaemons(action.after), STORE_TIMEOUT,
                 [this](const Result<HttpResponse> &answer) {
                     const Result<DaemonPage> read
                         = answer ? m_adapter.daemonsListed(answer.value())
                                  : Result<DaemonPage>(boost::outcome_v2::failure(answer.error()));
                     perform(m_discovery.handleListAnswer(read, m_loop.now()));
                     m_links.tick();
                 });
}

Result<void> runProxyNode(const PlatformAdapter &adapter, const std::string &settingsPath)
{
    BOOST_OUTCOME_TRY(text, readFile(settingsPath, ResultCode::SettingsUnreadable));
    BOOST_OUTCOME_TRY(settings, adapter.settings(text));
    EventLoop loop;
    settings.self.incarnation = static_cast<std::uint64_t>(loop.clock().wallNow().ms);
    ProxyNode node(loop, adapter, std::move(settings), settingsPath);
    BOOST_OUTCOME_TRY(node.start());
    loop.onSignal(SIGTERM, [&node] { node.beginLeaving(); });
    loop.onSignal(SIGINT, [&node] { node.beginLeaving(); });
    loop.onSignal(SIGHUP, [&node] { node.reload(); });
    loop.run();
    return success();
}

} // namespace cornelwell
