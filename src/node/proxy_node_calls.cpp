/** @file proxy_node_calls.cpp The path of a request: match, dispatch, hedge, respond. */
#include "base/hash_func.h"
#include "base/result_code_func.h"
#include "exchange/message_func.h"
#include "node/proxy_node.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace cornelwell {

namespace {

constexpr int NOT_FOUND = 404;
constexpr int UNAUTHORIZED = 401;
constexpr int SERVICE_UNAVAILABLE = 503;
constexpr int TOO_MANY_REQUESTS = 429;
constexpr int SERVER_ERROR = 500;
constexpr double MS_PER_SECOND = 1000;
/** Retry-After of local replies while the daemon has no routes. */
constexpr Duration NO_ROUTES_RETRY_AFTER{300};
/** Retry-After for a route that is not understood; only a new version can change that. */
constexpr Duration UNUSABLE_ROUTE_RETRY_AFTER{1000};
/** Retry-After during shutdown; short, because other daemons serve. */
constexpr Duration SHUTDOWN_RETRY_AFTER{20};
/** Time until the next attempt to hedge, when no second server had room. */
constexpr Duration HEDGE_RETRY_INTERVAL{120};
constexpr unsigned MAX_HEDGE_ATTEMPTS = 4; ///< Per request.
/** Retries of a request that was refused or failed are recognized for this long. */
constexpr Duration FAILURE_LIFETIME{3000};

/** Longest time left that is believed; sums with time points stay within their type. */
constexpr Duration TIME_LEFT_MAX = seconds(86400);

/** @return the time left in a header field in milliseconds; @p fallback when it is not a number or
 * negative. */
Duration parseTimeLeft(std::string_view value, Duration fallback)
{
    const std::string text(value);
    char *end = nullptr;
    const long long ms = std::strtoll(text.c_str(), &end, 10);
    return end == text.c_str() || ms < 0 ? fallback
                                         : Duration{std::min<std::int64_t>(ms, TIME_LEFT_MAX.ms)};
}

std::string formatSeconds(Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(duration.ms) / MS_PER_SECOND);
    return text;
}

ResultCode resultCodeOf(HostReason reason, int status)
{
    if (status == TOO_MANY_REQUESTS)
        return ResultCode::CallQuotaExceeded;
    switch (reason) {
    case HostReason::Full:
    case HostReason::Busier:
    case HostReason::ServerShed:
        return ResultCode::CallOverloaded;
    case HostReason::TooLate:
        return ResultCode::CallDeadline;
    case HostReason::ServerDraining:
    case HostReason::DaemonLeaving:
        return ResultCode::CallDraining;
    case HostReason::Quarantined:
        return ResultCode::CallQuarantined;
    case HostReason::UnknownKey:
        // After an attempt that may have run, the outcome matters more than the revoked key.
        return status == SERVICE_UNAVAILABLE || status == UNAUTHORIZED
                   ? ResultCode::CallCredentialUnknown
                   : ResultCode::CallOutcomeUnknown;
    case HostReason::Undecided:
    case HostReason::Unconfirmed:
        return status == SERVICE_UNAVAILABLE ? ResultCode::CallUnconfirmed
                                             : ResultCode::CallOutcomeUnknown;
    default:
        return status == SERVICE_UNAVAILABLE ? ResultCode::CallNoServer
                                             : ResultCode::CallOutcomeUnknown;
    }
}

} // namespace

TrafficLimits ProxyNode::limits() const
{
    return m_replicator.currentTable() ? m_replicator.currentTable()->limits() : TrafficLimits();
}

bool ProxyNode::mayRunConcurrently(const HttpRequest &request) const
{
    const RouteTablePtr table = m_replicator.currentTable();
    const Route *route = table ? table->match(request.headers.get("Host"), request.path) : nullptr;
    return route == nullptr || route->idempotent;
}

void ProxyNode::accept(TcpConnectionPtr connection)
{
    const bool fromLocalServer = connection->remoteIp() == m_settings.server.ip;
    CallerSessionOwner &owner = *this;
    const auto session
        = std::make_shared<CallerSession>(m_loop, owner, std::move(connection), fromLocalServer);
    m_sessions.insert(session);
    session->start();
}

void ProxyNode::sessionClosed(CallerSession &session)
{
    m_sessions.erase(session.shared_from_this());
}

void ProxyNode::connectionClosed(const ConnectionClose &close)
{
    m_metrics.count("connections_closed_total",
                    std::string("cause=\"") + closeCauseName(close.cause) + "\"");
    if (close.cause == CloseCause::PeerClosed)
        return;
    const bool isLossPossible = close.unacknowledgedBytes > 0;
    m_log.logRequest("connection_closed", isLossPossible, [&](LogFields &fields) {
        fields.add("cause", closeCauseName(close.cause));
        fields.add("unread", std::uint64_t{close.unreadBytes});
        fields.add("unacknowledged", std::uint64_t{close.unacknowledgedBytes});
        fields.add("discarded", std::uint64_t{close.discardedBytes});
        fields.add("lasted_ms", close.lasted.ms);
    });
}

RequestAttributes ProxyNode::attributesOf(const CallerSession &session, const HttpRequest &request,
                                          const Route &route)
{
    const TimePoint now = m_loop.now();
    const Duration left
        = parseTimeLeft(request.headers.get(m_adapter.callFields().deadline), route.timeout);
    RequestAttributes attributes;
    attributes.route = std::shared_ptr<const Route>(m_replicator.currentTable(), &route);
    attributes.service = m_serviceSelector.next(route);
    attributes.fingerprint = hash64(request.method + ' ' + request.path + '\n' + request.body,
                                    hash64(m_settings.self.service.text()));
    attributes.callerDeadline = now + left;
    attributes.deadline = now + (left < route.timeout ? left : route.timeout);
    attributes.softDeadline
        = now + (route.latencyTarget.ms > 0 ? route.latencyTarget : route.timeout);
    attributes.fromLocalServer = session.isFromLocalServer();
    attributes.bodyBytes = request.body.size();
    const auto softDeadline = m_recentFailures.take(attributes.fingerprint, now);
    if (softDeadline && m_settings.decisions.lateRetries) {
        attributes.isRetry = true;
        attributes.softDeadline = *softDeadline;
    }
    return attributes;
}

void ProxyNode::handleRequest(CallerSession &session, PendingRequestId id, IncomingRequest incoming)
{
    const TimePoint now = m_loop.now();
    m_lastRequestAt = now;
    const RouteTablePtr table = m_replicator.currentTable();
    const HttpRequest &request = incoming.request;
    PendingRequest &pending = m_pendingRequests[id];
    pending.session = session.shared_from_this();
    pending.fromServerAddress = session.isFromLocalServer();
    pending.fromLocalServer = pending.fromServerAddress;
    pending.requestId = std::string(request.headers.get(m_adapter.callFields().requestId));
    pending.startedAt = now;
    if (!table) {
        sendLocalReply({id, SERVICE_UNAVAILABLE, HostReason::NoServer, NO_ROUTES_RETRY_AFTER});
        return;
    }
    const Route *route = table->match(request.headers.get("Host"), request.path);
    if (route == nullptr) {
        sendLocalReply({id, NOT_FOUND, HostReason::None, {0}});
        return;
    }
    pending.route = route->name;
    if (route->reading == RouteReading::Unusable) {
        sendLocalReply(
            {id, SERVICE_UNAVAILABLE, HostReason::RouteUnusable, UNUSABLE_ROUTE_RETRY_AFTER});
        return;
    }
    if (!admitCredential(id, pending, *table, *route, request))
        return;
    // Without tenants nothing in a request tells whether the server or a caller on its VM sent it.
    if (!table->hasTenants() && !m_nestedRoutes.isNested(route->name))
        pending.fromLocalServer = false;
    RequestAttributes attributes = attributesOf(session, request, *route);
    attributes.fromLocalServer = pending.fromLocalServer;
    attributes.callerRank = m_nestedRoutes.callerRank(route->name);
    attributes.tenant = pending.tenant;
    attributes.tenantPriority = pending.tenantPriority;
    pending.fingerprint = attributes.fingerprint;
    pending.softDeadline = attributes.softDeadline;
    pending.idempotent = route->idempotent;
    if (m_quarantined.count(attributes.fingerprint) != 0) {
        sendLocalReply({id, SERVICE_UNAVAILABLE, HostReason::Quarantined, seconds(1)});
        return;
    }
    if (!m_shutdown.accepts(attributes.deadline, m_settings.grace, now)) {
        sendLocalReply({id, SERVICE_UNAVAILABLE, HostReason::DaemonLeaving, SHUTDOWN_RETRY_AFTER});
        return;
    }
    pending.request = std::move(incoming.request);
    if (pending.request.body.size() >= BULK_BYTES_MIN)
        pending.largeBody = std::make_shared<const std::string>(std::move(pending.request.body));
    pending.timer = m_loop.after(attributes.deadline - now, [this, id] { requestTimedOut(id); });
    if (needsToken(attributes))
        waitForToken(id, std::move(attributes));
    else
        beginDispatch(id, std::move(attributes));
}

void ProxyNode::beginDispatch(PendingRequestId id, RequestAttributes attributes)
{
    perform(m_dispatcher.begin(id, std::move(attributes), m_loop.now()));
    startHedgeTimer(id);
}

void ProxyNode::requestTimedOut(PendingRequestId id)
{
    const auto found = m_pendingRequests.find(id);
    if (found != m_pendingRequests.end())
        found->second.timer = 0;
    if (stopWaitingForToken(id))
        sendLocalReply({id, SERVICE_UNAVAILABLE, HostReason::TooLate, {0}});
    else
        perform(m_dispatcher.timedOut(id));
}

/** Sends the request to a second server when the first one is unusually slow. */
void ProxyNode::startHedgeTimer(PendingRequestId id)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return;
    const bool firstAttempt = found->second.hedgeAttempts++ == 0;
    const Duration delay
        = firstAttempt ? m_dispatcher.hedgeDelay(id, m_loop.now()) : HEDGE_RETRY_INTERVAL;
    if (delay.ms <= 0)
        return;
    found->second.hedgeTimer = m_loop.after(delay, [this, id] {
        const auto pending = m_pendingRequests.find(id);
        if (pending == m_pendingRequests.end())
            return;
        pending->second.hedgeTimer = 0;
        const DispatchActions actions = m_dispatcher.hedge(id, m_loop.now());
        if (actions.empty() && pending->second.hedgeAttempts < MAX_HEDGE_ATTEMPTS)
            startHedgeTimer(id);
        perform(actions);
    });
}

void ProxyNode::callerDisconnected(PendingRequestId id)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return;
    m_log.logRequest("caller_left", true, [&](LogFields &fields) {
        fields.add("request", found->second.requestId);
        fields.add("route", found->second.route);
        fields.add("after_ms", (m_loop.now() - found->second.startedAt).ms);
        fields.add("daemon", found->second.lastDaemon.text());
        fields.add("offers", std::uint64_t{found->second.offers});
    });
    m_loop.cancel(found->second.timer);
    m_loop.cancel(found->second.hedgeTimer);
    m_pendingRequests.erase(found);
    if (!stopWaitingForToken(id))
        perform(m_dispatcher.callerDisconnected(id));
}

void ProxyNode::perform(const DispatchActions &actions)
{
    for (const DispatchAction &action : actions)
        std::visit([this](const auto &one) { perform(one); }, action);
}

/** @return true when a large body for this daemon follows its call on grants. */
bool ProxyNode::transfersBody(const ServerId &daemon) const
{
    const Peer *peer = m_peers.find(daemon);
    return peer != nullptr && peer->acceptsBodyTransfers;
}

LinkCall ProxyNode::makeLinkCall(const SendOffer &action, const PendingRequest &pending) const
{
    const CallFields &names = m_adapter.callFields();
    const RequestAttributes &attributes = *m_dispatcher.attributes(action.request);
    const TimePoint now = m_loop.now();
    LinkCall call;
    call.offer = action.offer;
    call.request.method = pending.request.method;
    call.request.path = pending.request.path;
    call.request.headers
        = withoutHeaders(endToEndHeaders(pending.request.headers), ownFields(pending));
    call.request.headers.add(names.caller, m_settings.self.service.text());
    if (!attributes.tenant.empty())
        call.request.headers.add(names.tenant, attributes.tenant);
    if (!pending.largeBody)
        call.request.body = pending.request.body;
    else if (transfersBody(action.daemon))
        call.bodyBytesToFollow = pending.largeBody->size();
    else
        call.request.body = *pending.largeBody;
    call.requestId = pending.requestId;
    call.route = attributes.route->name;
    call.instance = action.instance;
    call.rank = action.rank;
    call.deadlineLeft = attributes.deadline - now;
    call.softDeadlineLeft = attributes.softDeadline - now;
    call.idempotent = attributes.route->idempotent;
    call.isRetry = attributes.isRetry;
    call.fingerprint = attributes.fingerprint;
    call.queueWaitMax = action.queueWaitMax;
    call.tenant = attributes.tenant;
    return call;
}

void ProxyNode::perform(const SendOffer &action)
{
    const auto found = m_pendingRequests.find(action.request);
    if (found == m_pendingRequests.end() || m_dispatcher.attributes(action.request) == nullptr)
        return;
    if (found->second.offers > 0) {
        HostOutcome refused;
        refused.state = RunState::NotRun;
        refused.reason = recheckCredential(found->second);
        if (refused.reason != HostReason::None) {
            perform(m_dispatcher.offerEnded(action.offer, refused, m_loop.now()));
            return;
        }
    }
    found->second.offers++;
    found->second.lastDaemon = action.daemon;
    countRolloutRequest(action);
    LinkCall call = makeLinkCall(action, found->second);
    if (action.daemon == m_settings.self.name) {
        call.overLink = false;
        m_hostCalls.offer({action.daemon, m_settings.self.incarnation, action.offer},
                          std::move(call));
        return;
    }
    if (call.bodyBytesToFollow > 0)
        m_bodySender.add(action.offer, action.daemon, found->second.largeBody);
    if (m_links.sendRequest(action.daemon, call))
        return;
    m_bodySender.drop(action.offer);
    HostOutcome outcome;
    outcome.state = RunState::NotRun;
    outcome.reason = HostReason::LinkLost;
    perform(m_dispatcher.offerEnded(action.offer, outcome, m_loop.now()));
}

void ProxyNode::perform(const CancelOffer &action)
{
    m_bodySender.drop(action.offer);
    if (action.daemon == m_settings.self.name)
        m_hostCalls.cancel({action.daemon, m_settings.self.incarnation, action.offer},
                           action.onlyIfQueued);
    else
        m_links.sendRequest(action.daemon, LinkCancel{action.offer, action.onlyIfQueued});
}

void ProxyNode::perform(const AskOutcome &action)
{
    m_links.sendRequest(action.daemon, LinkOutcomeRequest{action.offer});
}

void ProxyNode::perform(const ForwardResponse &action)
{
    HttpResponse response = action.response;
    response.headers = endToEndHeaders(response.headers);
    sendResponse(action.request, response);
}

HttpResponse ProxyNode::makeLocalReply(int status, ResultCode code,
                                       const std::string &requestId) const
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    if (!requestId.empty())
        response.headers.add(m_adapter.callFields().requestId, requestId);
    response.body = "{\"code\":" + std::to_string(resultCodeNumber(code)) + ",\"name\":\""
                    + resultCodeInfo(code).name + "\"}";
    return response;
}

void ProxyNode::sendLocalReply(const SendLocalReply &reply)
{
    const auto found = m_pendingRequests.find(reply.request);
    if (found == m_pendingRequests.end())
        return;
    const ResultCode code = reply.status == NOT_FOUND ? ResultCode::CallUnknownKind
                                                      : resultCodeOf(reply.reason, reply.status);
    // A key that was revoked before a further offer; no server has run the request.
    const bool isRevoked
        = reply.status == SERVICE_UNAVAILABLE && reply.reason == HostReason::UnknownKey;
    HttpResponse response
        = makeLocalReply(isRevoked ? UNAUTHORIZED : reply.status, code, found->second.requestId);
    if (response.status == SERVICE_UNAVAILABLE || response.status == TOO_MANY_REQUESTS)
        response.headers.add(m_adapter.callFields().retryAfter, formatSeconds(reply.retryAfter));
    m_metrics.count("calls_refused_total", std::string("reason=\"") + hostReasonName(reply.reason)
                                               + "\",status=\"" + std::to_string(response.status)
                                               + "\"");
    m_log.logRequest("own_answer", true, [&](LogFields &fields) {
        fields.add("request", found->second.requestId);
        fields.add("reason", hostReasonName(reply.reason));
        fields.add("retry_after_ms", reply.retryAfter.ms);
    });
    if (response.status == SERVICE_UNAVAILABLE)
        giveTokenBack(found->second);
    found->second.quarantined = reply.reason == HostReason::Quarantined;
    sendResponse(reply.request, response);
}

void ProxyNode::sendResponse(PendingRequestId id, const HttpResponse &response)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return;
    m_loop.cancel(found->second.timer);
    m_loop.cancel(found->second.hedgeTimer);
    const PendingRequest pending = std::move(found->second);
    m_pendingRequests.erase(found);
    if (pending.fromServerAddress && !pending.route.empty())
        m_nestedRoutes.recordAnswer(pending.route, m_loop.now());
    if (pending.fromLocalServer && response.status >= SERVER_ERROR)
        m_hostCalls.recordNestedFailure();
    if (pending.fingerprint != 0 && !pending.quarantined
        && isRetryExpected(response.status,
                           pending.idempotent && m_settings.decisions.failedRetries))
        m_recentFailures.add(pending.fingerprint, pending.softDeadline,
                             m_loop.now() + FAILURE_LIFETIME);
    const std::int64_t elapsedMs = (m_loop.now() - pending.startedAt).ms;
    m_metrics.count("calls_total", "status=\"" + std::to_string(response.status) + "\"");
    m_metrics.sample("call_ms", "", static_cast<double>(elapsedMs));
    m_log.logRequest("answered", response.status >= 400, [&](LogFields &fields) {
        fields.add("request", pending.requestId);
        fields.add("route", pending.route);
        fields.add("status", std::int64_t{response.status});
        if (!pending.tenant.empty())
            fields.add("tenant", pending.tenant);
        fields.add("daemon", pending.lastDaemon.text());
        fields.add("offers", std::uint64_t{pending.offers});
        fields.add("nested", std::int64_t{pending.fromLocalServer ? 1 : 0});
        fields.add("took_ms", elapsedMs);
        fields.add("version", m_replicator.version());
    });
    if (const auto session = pending.session.lock())
        session->respond(id, response);
}

} // namespace cornelwell
