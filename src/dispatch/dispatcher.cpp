/** @file dispatcher.cpp Handling of the events of a pending request. */
#include "dispatch/dispatcher.h"

#include "bandwidth/output_scheduler.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr int BAD_GATEWAY = 502;
constexpr int UNAVAILABLE = 503;
constexpr int GATEWAY_TIMEOUT = 504;
constexpr int SERVER_ERROR = 500;
constexpr double BYTES_PER_KB = 1024;
constexpr double HEADERS_KB = 0.5; ///< Header fields and framing of request and response together.
constexpr double SMOOTHING = 0.1;  ///< Weight of the newest value in the route statistics.
/** Budget that a retry takes after a nested failure: it makes all nested calls again. */
constexpr double NESTED_FAILURE_RETRY_COST = 2;
constexpr std::size_t ROUTE_STATISTICS_MAX = 1024; ///< The statistics are cleared at this size.
constexpr unsigned WHOLE_SHARE = 1000;             ///< All requests, in thousandths.
constexpr std::int64_t OFFER_TIME_MIN_MS = 20; ///< No offer is made with less time to the deadline.

/** @return size of the request's body when it is large, else 0. */
std::uint64_t largeBodyBytes(const RequestAttributes &attributes)
{
    return attributes.bodyBytes < BULK_BYTES_MIN ? 0 : attributes.bodyBytes;
}

} // namespace

Dispatcher::Dispatcher(PeerTable &table, ServiceRetryBudget &budget,
                       std::function<HostLoad()> localLoad, DispatchOptions options,
                       std::uint64_t seed)
    : m_table(table)
    , m_budget(budget)
    , m_localLoad(std::move(localLoad))
    , m_options(options)
    , m_random(seed)
{}

const RequestAttributes *Dispatcher::attributes(PendingRequestId id) const
{
    const auto found = m_pendingRequests.find(id);
    return found == m_pendingRequests.end() ? nullptr : &found->second.attributes;
}

DispatchActions Dispatcher::begin(PendingRequestId id, RequestAttributes attributes, TimePoint now)
{
    DispatchActions actions;
    m_budget.recordRequest(attributes.service, now);
    PendingRequest &pending = m_pendingRequests[id];
    pending.attributes = std::move(attributes);
    if (m_rollouts != nullptr)
        pending.wantsTarget = m_rollouts->takeTargetShare(pending.attributes.service, now);
    offerToBestServer(id, pending, now, actions);
    return actions;
}

ChoiceRequest Dispatcher::choiceRequestOf(const PendingRequest &pending, TimePoint now) const
{
    ChoiceRequest request;
    request.service = pending.attributes.service;
    request.excluded = pending.excluded;
    request.transferKb
        = static_cast<double>(pending.attributes.bodyBytes) / BYTES_PER_KB + HEADERS_KB;
    request.softDeadlineMs = static_cast<double>((pending.attributes.softDeadline - now).ms);
    request.deadlineMs = static_cast<double>((pending.attributes.deadline - now).ms);
    const auto statistics = m_routeStatistics.find(pending.attributes.route->name);
    if (statistics != m_routeStatistics.end()) {
        request.transferKb += statistics->second.responseKb;
        request.meanWorkMs = statistics->second.workMs;
    }
    request.bulkBytes = expectedBulkBytes(pending);
    request.uploadBytes = largeBodyBytes(pending.attributes);
    if (m_rollouts != nullptr)
        request.rule = &m_rollouts->ruleFor(pending.attributes.service, now);
    request.wantsTarget = pending.wantsTarget;
    return request;
}

/**
 * @return true when a further offer may go to the target version as well: only in the last stage,
 * as a retry and a hedge would add to the share of a version that may be bad.
 */
bool Dispatcher::keepsTarget(const PendingRequest &pending, TimePoint now) const
{
    return pending.wantsTarget
           && m_rollouts->ruleFor(pending.attributes.service, now).sharePerMille >= WHOLE_SHARE;
}

/** @return expected size of the answer when it is large, else 0. */
std::uint64_t Dispatcher::expectedBulkBytes(const PendingRequest &pending) const
{
    const auto statistics = m_routeStatistics.find(pending.attributes.route->name);
    if (statistics == m_routeStatistics.end())
        return 0;
    const double bytes = statistics->second.responseKb * BYTES_PER_KB;
    return bytes < BULK_BYTES_MIN ? 0 : static_cast<std::uint64_t>(bytes);
}

/** @return mean time of the route's requests at a server; 0 when none was measured. */
Duration Dispatcher::expectedWork(const Route &route) const
{
    const auto found = m_routeStatistics.find(route.name);
    return {found == m_routeStatistics.end() ? 0 : static_cast<std::int64_t>(found->second.workMs)};
}

void Dispatcher::offerToBestServer(PendingRequestId id, PendingRequest &pending, TimePoint now,
                                   DispatchActions &actions)
{
    const bool mayOffer = pending.attributes.deadline - now >= Duration{OFFER_TIME_MIN_MS}
                          && pending.offers < m_options.offersPerAttemptMax;
    const auto chosen = mayOffer
                            ? chooseServer(m_table, m_localLoad(), choiceRequestOf(pending, now),
                                           m_options.choice, now, m_random)
                            : std::nullopt;
    if (!chosen) {
        answerWithoutServer(id, pending, now, actions);
        return;
    }
    pending.offers++;
    // The last offer accepts any wait: the refusals have brought fresh loads by then.
    const bool acceptsAnyWait = !m_options.boundsWaits || chosen->waitMaxMs < 0
                                || pending.offers >= m_options.offersPerAttemptMax;
    sendOffer(id, pending, *chosen,
              {acceptsAnyWait ? -1 : static_cast<std::int64_t>(chosen->waitMaxMs)}, now, actions);
}

void Dispatcher::sendOffer(PendingRequestId id, PendingRequest &pending, const Candidate &chosen,
                           Duration queueWaitMax, TimePoint now, DispatchActions &actions)
{
    const OfferId offer = ++m_lastOffer;
    const std::uint64_t bulkBytes = expectedBulkBytes(pending);
    const std::uint64_t uploadBytes = largeBodyBytes(pending.attributes);
    pending.openOffers.push_back(
        {offer, chosen.daemon, false, bulkBytes, uploadBytes, !pending.openOffers.empty()});
    m_offers[offer] = id;
    const Duration work{static_cast<std::int64_t>(chosen.workMs)};
    const unsigned rank = callRank(pending.attributes, work, m_options.rank, now);
    if (Peer *peer = m_table.find(chosen.daemon)) {
        peer->callsInFlight++;
        peer->bulkBytesInFlight += bulkBytes;
        peer->uploadBytesInFlight += uploadBytes;
    }
    actions.push_back(SendOffer{id, offer, chosen.daemon, chosen.instance, rank, queueWaitMax});
}

Duration Dispatcher::hedgeDelay(PendingRequestId id, TimePoint now) const
{
    const auto found = m_pendingRequests.find(id);
    if (!m_options.hedges || found == m_pendingRequests.end()
        || !found->second.attributes.route->idempotent
        || found->second.attributes.route->attemptsMax < 2)
        return {0};
    const RequestAttributes &attributes = found->second.attributes;
    const auto statistics = m_routeStatistics.find(attributes.route->name);
    const double workMs = statistics == m_routeStatistics.end() ? 0 : statistics->second.workMs;
    const auto timeLeftMs = static_cast<double>((attributes.deadline - now).ms);
    return {static_cast<std::int64_t>(std::max(workMs * m_options.hedgeDelayWorkFactor,
                                               timeLeftMs * m_options.hedgeDelayTimeShare))};
}

DispatchActions Dispatcher::hedge(PendingRequestId id, TimePoint now)
{
    DispatchActions actions;
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end() || found->second.openOffers.size() != 1)
        return actions;
    PendingRequest &pending = found->second;
    if (pending.attempts + 1 >= pending.attributes.route->attemptsMax)
        return actions;
    ChoiceRequest request = choiceRequestOf(pending, now);
    const ServerId &first = pending.openOffers.front().daemon;
    request.excluded.insert(first);
    request.wantsTarget = keepsTarget(pending, now);
    const auto chosen
        = chooseServer(m_table, m_localLoad(), request, m_options.choice, now, m_random);
    if (!chosen || chosen->waitMs > 0)
        return actions;
    const Peer *firstPeer = m_table.find(first);
    const bool stale = firstPeer != nullptr && m_table.isStale(*firstPeer, now);
    const double firstWorkMs = firstPeer != nullptr ? firstPeer->load.workMs : m_localLoad().workMs;
    const Peer *secondPeer = m_table.find(chosen->daemon);
    const double secondWorkMs
        = secondPeer != nullptr ? secondPeer->load.workMs : m_localLoad().workMs;
    if (!stale && (secondWorkMs <= 0 || secondWorkMs > firstWorkMs * m_options.hedgeWorkRatioMax))
        return actions;
    if (m_budget.tryAcquire(pending.attributes.service, now))
        sendOffer(id, pending, *chosen, {0}, now, actions);
    return actions;
}

const Dispatcher::OpenOffer *Dispatcher::findOffer(OfferId offer) const
{
    const auto found = m_offers.find(offer);
    if (found == m_offers.end())
        return nullptr;
    for (const OpenOffer &open : m_pendingRequests.at(found->second).openOffers) {
        if (open.id == offer)
            return &open;
    }
    return nullptr;
}

std::uint64_t Dispatcher::bulkBytesOf(OfferId offer) const
{
    const OpenOffer *open = findOffer(offer);
    return open == nullptr ? 0 : open->bulkBytes;
}

std::uint64_t Dispatcher::uploadBytesOf(OfferId offer) const
{
    const OpenOffer *open = findOffer(offer);
    return open == nullptr ? 0 : open->uploadBytes;
}

Dispatcher::OpenOffer Dispatcher::closeOffer(PendingRequest &pending, OfferId offer)
{
    m_offers.erase(offer);
    const auto found = std::find_if(pending.openOffers.begin(), pending.openOffers.end(),
                                    [&](const OpenOffer &open) { return open.id == offer; });
    if (found == pending.openOffers.end())
        return {};
    const OpenOffer closed = *found;
    pending.openOffers.erase(found);
    Peer *peer = m_table.find(closed.daemon);
    if (peer != nullptr && peer->callsInFlight > 0) {
        peer->callsInFlight--;
        peer->bulkBytesInFlight -= std::min(peer->bulkBytesInFlight, closed.bulkBytes);
        peer->uploadBytesInFlight -= std::min(peer->uploadBytesInFlight, closed.uploadBytes);
    }
    return closed;
}

/**
 * Removes an answered request and withdraws its open offers. A server that has already received the
 * request is not interrupted.
 */
void Dispatcher::erase(PendingRequestId id, DispatchActions &actions)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return;
    while (!found->second.openOffers.empty()) {
        const OpenOffer closed = closeOffer(found->second, found->second.openOffers.front().id);
        if (!closed.linkBroken)
            actions.push_back(CancelOffer{closed.id, closed.daemon, true});
    }
    m_pendingRequests.erase(found);
}

void Dispatcher::updateStatistics(const PendingRequest &pending, const HostOutcome &outcome)
{
    if (m_routeStatistics.size() >= ROUTE_STATISTICS_MAX)
        m_routeStatistics.clear();
    const auto [position, added] = m_routeStatistics.try_emplace(pending.attributes.route->name);
    RouteStatistics &statistics = position->second;
    const double responseKb = static_cast<double>(outcome.response.body.size()) / BYTES_PER_KB;
    const auto workMs = static_cast<double>(outcome.processingTime.ms);
    statistics.responseKb += (added ? 1 : SMOOTHING) * (responseKb - statistics.responseKb);
    statistics.workMs += (added ? 1 : SMOOTHING) * (workMs - statistics.workMs);
}

DispatchActions Dispatcher::offerEnded(OfferId offer, const HostOutcome &outcome, TimePoint now)
{
    DispatchActions actions;
    const auto found = m_offers.find(offer);
    if (found == m_offers.end())
        return actions;
    const PendingRequestId id = found->second;
    PendingRequest &pending = m_pendingRequests[id];
    const OpenOffer closed = closeOffer(pending, offer);
    if (closed.isHedge && !outcome.sentToServer)
        m_budget.refund(pending.attributes.service);
    pending.reason = outcome.reason;
    if (outcome.sentToServer)
        pending.attempts++;
    if (outcome.state == RunState::Answered && outcome.response.status < SERVER_ERROR) {
        updateStatistics(pending, outcome);
        actions.push_back(ForwardResponse{id, outcome.response});
        erase(id, actions);
        return actions;
    }
    pending.wantsTarget = keepsTarget(pending, now);
    // A daemon that is busier than expected may get a later offer that accepts a longer wait.
    if (outcome.reason != HostReason::Busier)
        pending.excluded.insert(closed.daemon);
    if (!pending.openOffers.empty()) {
        // The other open offer may still get an answer.
        pending.mayHaveRun = pending.mayHaveRun || outcome.state != RunState::NotRun;
        if (outcome.state == RunState::Answered)
            pending.failure = outcome.response;
        return actions;
    }
    if (outcome.state == RunState::NotRun)
        handleNotRun(id, pending, outcome, now, actions);
    else
        handleFailure(id, pending, outcome, now, actions);
    return actions;
}

bool Dispatcher::mayRetry(const PendingRequest &pending, TimePoint now) const
{
    return pending.attempts < pending.attributes.route->attemptsMax
           && pending.attributes.deadline - now >= Duration{OFFER_TIME_MIN_MS};
}

void Dispatcher::handleNotRun(PendingRequestId id, PendingRequest &pending,
                              const HostOutcome &outcome, TimePoint now, DispatchActions &actions)
{
    if (outcome.retryAfter.ms > 0
        && (pending.retryAfter.ms == 0 || outcome.retryAfter < pending.retryAfter))
        pending.retryAfter = outcome.retryAfter;
    if (outcome.sentToServer) {
        pending.offers = 0;
        // The server received the request but did not run it: another attempt takes the budget.
        if (!mayRetry(pending, now) || !m_budget.tryAcquire(pending.attributes.service, now)) {
            answerWithoutServer(id, pending, now, actions);
            return;
        }
    }
    offerToBestServer(id, pending, now, actions);
}

/**
 * Takes a retry after a failure from the budget. The nested call that caused a nested failure has
 * already been retried, and retries at each depth would multiply. A caller's own request is still
 * retried, at a higher cost because the retry makes all its nested calls again.
 * @return true when the request may be retried.
 */
bool Dispatcher::takeFailureRetry(const PendingRequest &pending, const HostOutcome &outcome,
                                  TimePoint now)
{
    if (outcome.nestedFailure && pending.attributes.fromLocalServer)
        return false;
    return m_budget.tryAcquire(pending.attributes.service, now,
                               outcome.nestedFailure ? NESTED_FAILURE_RETRY_COST : 1);
}

void Dispatcher::handleFailure(PendingRequestId id, PendingRequest &pending,
                               const HostOutcome &outcome, TimePoint now, DispatchActions &actions)
{
    const bool answered = outcome.state == RunState::Answered;
    if (!answered)
        pending.mayHaveRun = true;
    if (pending.attributes.route->idempotent && mayRetry(pending, now)
        && takeFailureRetry(pending, outcome, now)) {
        pending.offers = 0;
        pending.mayHaveRun = true;
        pending.attributes.isRetry = pending.attributes.isRetry || m_options.failedRetries;
        if (answered)
            pending.failure = outcome.response;
        offerToBestServer(id, pending, now, actions);
        return;
    }
    if (answered) {
        actions.push_back(ForwardResponse{id, outcome.response});
        erase(id, actions);
        return;
    }
    if (pending.failure) {
        actions.push_back(ForwardResponse{id, *pending.failure});
        erase(id, actions);
        return;
    }
    sendLocalReply(id, BAD_GATEWAY, outcome.reason, {0}, actions);
}

/**
 * Answers a request that gets no further offer: with the last failure of a server, else with 502 or
 * 504 when a server may have run the request, else with 503.
 */
void Dispatcher::answerWithoutServer(PendingRequestId id, const PendingRequest &pending,
                                     TimePoint now, DispatchActions &actions)
{
    const Duration timeLeft = pending.attributes.callerDeadline - now;
    if (pending.failure) {
        actions.push_back(ForwardResponse{id, *pending.failure});
        erase(id, actions);
        return;
    }
    if (pending.mayHaveRun) {
        const int status = timeLeft.ms <= OFFER_TIME_MIN_MS ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        sendLocalReply(id, status, pending.reason, {0}, actions);
        return;
    }
    const RefusedRequest refused{pending.retryAfter, expectedWork(*pending.attributes.route),
                                 pending.attributes.softDeadline,
                                 pending.attributes.callerDeadline};
    sendLocalReply(id, UNAVAILABLE,
                   pending.reason == HostReason::None ? HostReason::NoServer : pending.reason,
                   m_random.jitter(retryAdvice(refused, m_options.retryAdvice, now)), actions);
}

void Dispatcher::sendLocalReply(PendingRequestId id, int status, HostReason reason,
                                Duration retryAfter, DispatchActions &actions)
{
    actions.push_back(SendLocalReply{id, status, reason, retryAfter});
    erase(id, actions);
}

void Dispatcher::cancelOpenOffers(PendingRequest &pending, DispatchActions &actions)
{
    while (!pending.openOffers.empty()) {
        const OpenOffer closed = closeOffer(pending, pending.openOffers.front().id);
        if (!closed.linkBroken)
            actions.push_back(CancelOffer{closed.id, closed.daemon, false});
    }
}

/** Cancels the open offers of a request. @return the request; null when it is not pending. */
const Dispatcher::PendingRequest *Dispatcher::cancelRequest(PendingRequestId id,
                                                            DispatchActions &actions)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return nullptr;
    cancelOpenOffers(found->second, actions);
    return &found->second;
}

DispatchActions Dispatcher::callerDisconnected(PendingRequestId id)
{
    DispatchActions actions;
    if (cancelRequest(id, actions) != nullptr)
        m_pendingRequests.erase(id);
    return actions;
}

DispatchActions Dispatcher::timedOut(PendingRequestId id)
{
    DispatchActions actions;
    if (const PendingRequest *pending = cancelRequest(id, actions))
        sendLocalReply(id, GATEWAY_TIMEOUT, pending->reason, {0}, actions);
    return actions;
}

DispatchActions Dispatcher::endAll()
{
    DispatchActions actions;
    std::vector<PendingRequestId> all;
    for (const auto &[id, pending] : m_pendingRequests)
        all.push_back(id);
    for (const PendingRequestId id : all) {
        DispatchActions more = timedOut(id);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
}

} // namespace cornelwell
