/** @file proxy_node_quota.cpp Quotas of tenants: tokens before dispatch, messages, logs, metrics.
 */
#include "node/proxy_node.h"

#include <algorithm>
#include <ctime>
#include <set>

namespace cornelwell {

namespace {

constexpr int TOO_MANY_REQUESTS = 429;
constexpr int SERVICE_UNAVAILABLE = 503;
constexpr Duration CLIENT_INTERVAL{10};       ///< While requests wait for tokens.
constexpr Duration COORDINATOR_INTERVAL{100}; ///< Between demands on other data centres.
/** Less than this is taken for an inexact reading of two clocks. */
constexpr Duration SUSPENSION_MIN{200};
/** Retry-After at shutdown; short, because other daemons serve. */
constexpr Duration SHUTDOWN_RETRY_AFTER{20};

/** @return time for which the VM was suspended since its start. */
Duration suspendedTime()
{
    constexpr std::int64_t MS_PER_SECOND = 1000;
    constexpr std::int64_t NS_PER_MS = 1000000;
    timespec boot{};
    timespec monotonic{};
    ::clock_gettime(CLOCK_BOOTTIME, &boot);
    ::clock_gettime(CLOCK_MONOTONIC, &monotonic);
    return {(boot.tv_sec - monotonic.tv_sec) * MS_PER_SECOND
            + (boot.tv_nsec - monotonic.tv_nsec) / NS_PER_MS};
}

} // namespace

void ProxyNode::applyQuotas(const RouteTable &table)
{
    std::vector<TenantQuota> quotas;
    for (const Tenant &tenant : table.tenants()) {
        if (tenant.perSecond > 0)
            quotas.push_back({tenant.name, static_cast<double>(tenant.perSecond),
                              static_cast<double>(tenant.burst)});
    }
    if (quotas.empty() && !m_quotas.active)
        return;
    const TimePoint now = m_loop.now();
    m_quotas.active = !quotas.empty();
    updateQuotaFleet();
    m_quotas.coordinator.setQuotas(quotas, now);
    perform(m_quotas.client.setQuotas(quotas, now));
    if (m_quotas.active && !m_quotas.coordinatorTimer)
        quotaTick();
}

/** Tells the quota classes which daemons there are. */
void ProxyNode::updateQuotaFleet()
{
    if (!m_quotas.active)
        return;
    const TimePoint now = m_loop.now();
    QuotaMembers members;
    members.responsive.push_back(m_settings.self.name);
    std::size_t told = 0;
    std::set<DataCentreId> remote;
    for (const auto &[name, peer] : m_peers.peers()) {
        const bool sameDataCentre = peer.record.dataCentre == m_settings.self.dataCentre;
        if (!sameDataCentre)
            remote.insert(peer.record.dataCentre);
        if (!m_peers.isResponsive(peer, now) || peer.quotaFleetSize == 0)
            continue;
        told = std::max<std::size_t>(told, peer.quotaFleetSize);
        if (sameDataCentre && !peer.shuttingDown)
            members.responsive.push_back(name);
    }
    // A restarted daemon knows few others at first; it must not take their parts.
    members.knownDaemons = std::max(told, m_peers.peers().size() + 1);
    members.complete = m_quotas.fleetListed || told > 0;
    if (!m_quotas.fleet.setMembers(std::move(members)))
        return;
    m_quotas.fleetChangedAt = now;
    m_quotas.coordinator.setRemoteDataCentres({remote.begin(), remote.end()});
    m_quotas.coordinator.fleetChanged(now);
    m_log.logStateChange("quota_fleet", [&](LogFields &fields) {
        const QuotaMembers &all = m_quotas.fleet.members();
        fields.add("responsive", std::uint64_t{all.responsive.size()});
        fields.add("known", std::uint64_t{all.knownDaemons});
        fields.add("complete", std::int64_t{all.complete ? 1 : 0});
        fields.add("share", m_quotas.fleet.coordinatorShare());
    });
}

/** Empties the buckets after a suspension, which the monotonic clock does not count. */
void ProxyNode::checkSuspension()
{
    const Duration suspended = suspendedTime();
    const Duration added = m_quotas.suspended ? suspended - *m_quotas.suspended : Duration{0};
    m_quotas.suspended = suspended;
    if (added < SUSPENSION_MIN)
        return;
    m_quotas.coordinator.handlePause(m_loop.now());
    m_log.logStateChange("quota_pause",
                         [&](LogFields &fields) { fields.add("suspended_ms", added.ms); });
}

void ProxyNode::quotaTick()
{
    m_quotas.coordinatorTimer = m_quotas.active;
    if (!m_quotas.active)
        return;
    checkSuspension();
    perform(m_quotas.coordinator.tick(m_loop.now()));
    m_loop.after(COORDINATOR_INTERVAL, [this] { quotaTick(); });
}

/** Lets waits end in time, while there are any. */
void ProxyNode::armQuotaTimer()
{
    if (m_quotas.clientTimer != 0 || !m_quotas.client.isWaiting())
        return;
    m_quotas.clientTimer = m_loop.after(CLIENT_INTERVAL, [this] {
        m_quotas.clientTimer = 0;
        perform(m_quotas.client.tick(m_loop.now()));
        armQuotaTimer();
    });
}

bool ProxyNode::needsToken(const RequestAttributes &attributes) const
{
    return m_quotas.active && !attributes.fromLocalServer && !attributes.tenant.empty()
           && m_quotas.client.isLimited(attributes.tenant);
}

void ProxyNode::waitForToken(PendingRequestId id, RequestAttributes attributes)
{
    const std::string tenant = attributes.tenant;
    m_quotas.waiting.emplace(id, std::move(attributes));
    perform(m_quotas.client.acquire(tenant, id, m_loop.now()));
    armQuotaTimer();
}

/** @return true when the request waited for a token; it does not any more. */
bool ProxyNode::stopWaitingForToken(PendingRequestId id)
{
    const auto waiting = m_quotas.waiting.find(id);
    if (waiting == m_quotas.waiting.end())
        return false;
    m_quotas.client.cancel(waiting->second.tenant, id);
    m_quotas.waiting.erase(waiting);
    return true;
}

/** Refuses all requests that wait for a token, at the end of a shutdown. */
void ProxyNode::endTokenWaits()
{
    while (!m_quotas.waiting.empty()) {
        const PendingRequestId id = m_quotas.waiting.begin()->first;
        stopWaitingForToken(id);
        sendLocalReply({id, SERVICE_UNAVAILABLE, HostReason::DaemonLeaving, SHUTDOWN_RETRY_AFTER});
    }
}

void ProxyNode::giveTokenBack(PendingRequest &pending)
{
    if (pending.quotaTenant.empty())
        return;
    m_quotas.client.giveBack(pending.quotaTenant, m_loop.now());
    pending.quotaTenant.clear();
}

void ProxyNode::perform(const QuotaActions &actions)
{
    for (const QuotaAction &action : actions)
        std::visit([this](const auto &one) { perform(one); }, action);
}

void ProxyNode::perform(const AdmitRequest &action)
{
    const auto waiting = m_quotas.waiting.find(action.request);
    const auto pending = m_pendingRequests.find(action.request);
    if (waiting == m_quotas.waiting.end() || pending == m_pendingRequests.end())
        return;
    RequestAttributes attributes = std::move(waiting->second);
    m_quotas.waiting.erase(waiting);
    pending->second.quotaTenant = attributes.tenant;
    beginDispatch(action.request, std::move(attributes));
}

void ProxyNode::perform(const RefuseRequest &action)
{
    m_quotas.waiting.erase(action.request);
    const auto found = m_pendingRequests.find(action.request);
    if (found == m_pendingRequests.end())
        return;
    const TimePoint now = m_loop.now();
    const double share = m_quotas.fleet.daemonShare();
    m_log.logRequest("quota_refused", true, [&](LogFields &fields) {
        const QuotaState state = m_quotas.coordinator.state(action.tenant, now);
        fields.add("request", found->second.requestId);
        fields.add("tenant", action.tenant);
        fields.add("reason",
                   action.reason == QuotaRefusal::Exhausted ? "exhausted" : "no_coordinator");
        fields.add("limit_per_s", state.quota.perSecond);
        fields.add("burst", state.quota.burst);
        fields.add("demand_here_per_s", m_quotas.client.demand(action.tenant, now));
        fields.add("coordinator", m_quotas.fleet.coordinatorOf(action.tenant).text());
        fields.add("share_here", share);
        fields.add("share_data_centre", m_quotas.fleet.coordinatorShare());
        fields.add("coordinator_heard_ms_ago", m_quotas.client.answerAge(action.tenant, now).ms);
        fields.add("fleet_changed_ms_ago", (now - m_quotas.fleetChangedAt).ms);
        fields.add("retry_after_ms", action.retryAfter.ms);
    });
    // Without a share the quota is not used up: the daemon does not know how many others there are.
    if (share <= 0)
        sendLocalReply(
            {action.request, SERVICE_UNAVAILABLE, HostReason::NoServer, action.retryAfter});
    else
        sendLocalReply({action.request, TOO_MANY_REQUESTS, HostReason::None, action.retryAfter});
}

void ProxyNode::perform(const SendQuotaRequest &action)
{
    const TimePoint now = m_loop.now();
    if (action.coordinator == m_settings.self.name) {
        const QuotaGrant grant
            = m_quotas.coordinator.handleRequest(m_settings.self.name, action.request, now);
        perform(m_quotas.client.handleGrant(grant, now));
        if (m_quotas.coordinator.isShort())
            perform(m_quotas.coordinator.tick(now));
        return;
    }
    if (m_links.sendRequest(action.coordinator, LinkQuotaRequest{action.request})) {
        m_quotas.messagesSent++;
        return;
    }
    // The link has just gone down: decide without the coordinator.
    QuotaGrant none;
    none.id = action.request.id;
    none.tenant = action.request.tenant;
    none.coordinating = false;
    perform(m_quotas.client.handleGrant(none, now));
}

/** Sends exchanges on outbound links: to the daemon that they name, or to any linked one of the
 * data centre, which passes them on. */
void ProxyNode::perform(const QuotaExchanges &exchanges)
{
    const TimePoint now = m_loop.now();
    const auto usable = [&](const Peer &peer) {
        return peer.quotaFleetSize > 0 && !peer.shuttingDown && m_peers.isResponsive(peer, now);
    };
    for (const SendQuotaExchange &send : exchanges) {
        const Peer *receiver
            = m_peers.find(send.daemon.empty() ? send.exchange.recipient : send.daemon);
        if (receiver != nullptr && !usable(*receiver))
            receiver = nullptr;
        if (receiver == nullptr && send.daemon.empty()) {
            for (const auto &[name, peer] : m_peers.peers()) {
                if (peer.record.dataCentre == send.exchange.dataCentre && usable(peer)) {
                    receiver = &peer;
                    break;
                }
            }
        }
        if (receiver != nullptr
            && m_links.sendRequest(receiver->record.name, LinkQuotaDemand{send.exchange}))
            m_quotas.messagesSent++;
    }
}

/**
 * Handles a message of quotas.
 * @param peer Sender.
 * @param incarnation Of the sender, when the message came on its inbound link.
 * @param message The message.
 * @return false when it is another message.
 */
bool ProxyNode::handleQuotaMessage(const ServerId &peer, std::uint64_t incarnation,
                                   const LinkMessage &message)
{
    const TimePoint now = m_loop.now();
    if (const auto *request = std::get_if<LinkQuotaRequest>(&message)) {
        const QuotaGrant grant = m_quotas.coordinator.handleRequest(peer, request->request, now);
        if (m_links.sendAnswer(peer, incarnation, LinkQuotaGrant{grant}))
            m_quotas.messagesSent++;
        if (m_quotas.coordinator.isShort())
            perform(m_quotas.coordinator.tick(now));
    } else if (const auto *grant = std::get_if<LinkQuotaGrant>(&message)) {
        perform(m_quotas.client.handleGrant(grant->grant, now));
        armQuotaTimer();
    } else if (const auto *demand = std::get_if<LinkQuotaDemand>(&message)) {
        perform(m_quotas.coordinator.handleExchange(demand->exchange, now));
    } else {
        return false;
    }
    m_quotas.messagesReceived++;
    return true;
}

void ProxyNode::updateQuotaMetrics()
{
    if (!m_quotas.active)
        return;
    const QuotaClientCounts &client = m_quotas.client.counts();
    const QuotaCoordinatorCounts &coordinator = m_quotas.coordinator.counts();
    const auto set = [this](const char *name, const char *labels, std::uint64_t value) {
        m_metrics.set(name, labels, static_cast<double>(value));
    };
    set("quota_requests", "result=\"admitted\"", client.admitted);
    set("quota_requests", "result=\"refused\"", client.refused);
    set("quota_requests", "result=\"fallback\"", client.fallback);
    set("quota_requests", "result=\"waiting\"", m_quotas.waiting.size());
    set("quota_tokens", "fate=\"lapsed\"", client.lapsed);
    set("quota_tokens", "fate=\"granted\"", coordinator.granted);
    set("quota_tokens", "fate=\"denied\"", coordinator.denied);
    set("quota_tokens", "fate=\"lent\"", coordinator.given);
    set("quota_tokens", "fate=\"borrowed\"", coordinator.received);
    set("quota_tokens", "fate=\"late\"", coordinator.late);
    set("quota_repeats", "", client.repeats);
    set("quota_timeouts", "", client.timeouts);
    set("quota_buckets_emptied", "", coordinator.emptied);
    set("quota_messages", "direction=\"sent\"", m_quotas.messagesSent);
    set("quota_messages", "direction=\"received\"", m_quotas.messagesReceived);
}

} // namespace cornelwell
