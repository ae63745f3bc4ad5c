/** @file proxy_node_store.cpp Calls of the platform's store: versions of the routes, discovery. */
#include "node/proxy_node.h"

#include "base/result_code_func.h"

namespace cornelwell {

namespace {

constexpr Duration STORE_TIMEOUT{3000}; ///< Longest wait for a response of the store.
/** Shorter than STORE_TIMEOUT: a read is repeated rather than waited for. */
constexpr Duration ROUTES_READ_TIMEOUT{1200};

} // namespace

/** Logs the parts of an answer that cannot be read. @param source What was read. */
void ProxyNode::logFaults(const std::vector<Error> &faults, const char *source)
{
    for (const Error &fault : faults) {
        m_metrics.count("store_entries_unreadable_total", std::string("list=\"") + source + "\"");
        m_log.logStateChange("store_entry_unreadable", [&](LogFields &fields) {
            fields.add("code", std::int64_t{resultCodeNumber(fault.code)});
            fields.add("detail", fault.detail);
            fields.add("where", fault.where);
            fields.add("list", source);
        });
    }
}

/**
 * Notes the era of the store that an answer or a peer names.
 * @return false when it is an earlier one.
 */
bool ProxyNode::observeStoreEra(std::uint64_t era, const std::string &source)
{
    const std::uint64_t before = m_storeEra.current();
    const EraVerdict verdict = m_storeEra.observe(era);
    m_confirmation.handleEra(m_storeEra.current());
    if (verdict == EraVerdict::Current)
        return true;
    m_log.logStateChange(verdict == EraVerdict::Raised ? "store_restored" : "store_answer_outdated",
                         [&](LogFields &fields) {
                             fields.add("era", era);
                             fields.add("before", before);
                             fields.add("source", source);
                             fields.add("version", m_replicator.version());
                         });
    if (verdict == EraVerdict::Outdated)
        return false;
    m_discovery.handleStoreRestored(m_loop.now());
    m_departures.handleStoreRestored();
    if (m_rollouts)
        m_rollouts->watch.handleStoreRestored();
    // Later than the answer that brought the era, which the replicator handles first.
    m_loop.after({0}, [this] { perform(m_replicator.handleStoreRestored(m_loop.now())); });
    m_links.announceState();
    return true;
}

void ProxyNode::perform(const ReplicationActions &actions)
{
    for (const ReplicationAction &action : actions)
        std::visit([this](const auto &one) { perform(one); }, action);
}

void ProxyNode::perform(const ReadRoutes &action)
{
    using CallKind = VersionConfirmation::CallKind;
    m_confirmation.storeCallSent(action.allowStale ? CallKind::StaleRead : CallKind::Read,
                                 m_loop.clock().bootNow());
    m_watchClient.call(m_adapter.readRoutesRequest(action.allowStale), ROUTES_READ_TIMEOUT,
                       [this](const Result<HttpResponse> &response) {
                           const Result<StoredRoutes> read
                               = parseStoreAnswer(response, StoreCallGroup::RouteCalls,
                                                  &PlatformAdapter::parseRoutesRead);
                           const auto actions = m_replicator.handleReadAnswer(read, m_loop.now());
                           if (read)
                               logFaults(read.value().faults, "routes");
                           if (read)
                               m_confirmation.handleStoreAnswer(m_replicator.version());
                           perform(actions);
                       });
}

void ProxyNode::perform(const WatchRoutes &action)
{
    if (hasRevocationBound() && m_confirmation.needsRead()) {
        perform(ReadRoutes{});
        return;
    }
    const Duration timeout = watchTimeout(action.timeout);
    m_confirmation.storeCallSent(VersionConfirmation::CallKind::Watch, m_loop.clock().bootNow());
    m_watchClient.call(m_adapter.watchRoutesRequest(action.storeRevision, timeout),
                       timeout + action.answerMargin, [this](const Result<HttpResponse> &response) {
                           const Result<StoredRoutes> read
                               = parseStoreAnswer(response, StoreCallGroup::RouteCalls,
                                                  &PlatformAdapter::parseRoutesWatch);
                           const auto actions = m_replicator.handleWatchAnswer(read, m_loop.now());
                           if (read)
                               logFaults(read.value().faults, "routes");
                           if (read)
                               m_confirmation.handleStoreAnswer(m_replicator.version());
                           perform(actions);
                       });
}

void ProxyNode::perform(const AbandonWatch &action)
{
    (void)action;
    m_log.logStateChange("watch_abandoned",
                         [&](LogFields &fields) { fields.add("version", m_replicator.version()); });
    m_watchClient.abandonCall();
}

void ProxyNode::perform(const ApplyRoutes &action)
{
    m_confirmation.handleApplied(action.table->version());
    requestConfirmation();
    m_log.logStateChange("routes", [&](LogFields &fields) {
        fields.add("version", action.table->version());
        fields.add("source", action.source);
        fields.add("routes", std::uint64_t{action.table->routes().size()});
    });
    applyQuotas(*action.table);
    for (const Route &route : action.table->routes()) {
        if (route.reading == RouteReading::Whole)
            continue;
        m_metrics.count("routes_not_understood_total",
                        std::string("reading=\"") + routeReadingName(route.reading) + "\"");
        m_log.logStateChange("route_not_understood", [&](LogFields &fields) {
            fields.add("route", route.name);
            fields.add("reading", routeReadingName(route.reading));
            fields.add("version", action.table->version());
        });
    }
}

void ProxyNode::perform(const AnnounceVersion &action)
{
    if (action.toAllPeers)
        m_links.announceState();
    else
        m_links.announceState(action.peers);
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
        fields.add("call", storeCallKindName(action.call));
        fields.add("open_ms", action.openFor.ms);
        fields.add("version", m_replicator.version());
    });
    // The store may refuse this daemon only; another daemon has to start watching it immediately.
    m_links.announceState();
}

void ProxyNode::perform(const DiscoveryActions &actions)
{
    for (const DiscoveryAction &action : actions)
        std::visit([this](const auto &one) { perform(one); }, action);
}

void ProxyNode::perform(const AnnounceSelf &action)
{
    m_storeClient.call(m_adapter.announceRequest(m_settings.self, action.revision), STORE_TIMEOUT,
                       [this](const Result<HttpResponse> &response) {
                           const Result<AnnounceAnswer> read
                               = parseStoreAnswer(response, StoreCallGroup::FleetCalls,
                                                  &PlatformAdapter::parseAnnounceResponse);
                           if (const auto departures = read ? m_adapter.parseAnnouncedDepartures(
                                                           response.value(), m_settings.self.name)
                                                            : std::nullopt)
                               m_departures.handleAnnounced(*departures);
                           perform(m_discovery.handleAnnounceAnswer(read, m_loop.now()));
                       });
}

void ProxyNode::perform(const ListDaemons &action)
{
    m_storeClient.call(m_adapter.listDaemonsRequest(action.after), STORE_TIMEOUT,
                       [this](const Result<HttpResponse> &response) {
                           const Result<DaemonPage> read
                               = parseStoreAnswer(response, StoreCallGroup::FleetCalls,
                                                  &PlatformAdapter::parseDaemonList);
                           if (read)
                               logFaults(read.value().faults, "daemons");
                           m_quotas.fleetListed
                               = m_quotas.fleetListed || (read && !read.value().more);
                           perform(m_discovery.handleListAnswer(read, m_loop.now()));
                           m_links.tick();
                       });
}

} // namespace cornelwell
