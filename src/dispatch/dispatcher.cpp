/** @file dispatcher.cpp One request: offers until a server takes it, repeats where they do no harm.
 */
#include "dispatch/dispatcher.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr int BAD_GATEWAY = 502;
constexpr int UNAVAILABLE = 503;
constexpr int GATEWAY_TIMEOUT = 504;
constexpr int SERVER_ERROR = 500;
constexpr unsigned RANKS_PER_PRIORITY
    = 4; ///< Calls of servers and returning requests go between priorities.
constexpr unsigned RANK_CALL = 2;      ///< A call of a running request goes before new requests.
constexpr unsigned RANK_RETURNING = 1; ///< A request that came back goes before new ones.
constexpr double BYTES_PER_KB = 1024;
constexpr double HEADERS_KB = 0.5; ///< Header fields and framing, both ways.
constexpr double SMOOTHING = 0.1;
constexpr double DEEP_REPEAT_COST = 2; ///< A repeat of what failed deeper repeats all below it.
constexpr std::size_t ROUTES_MAX = 1024;
constexpr std::int64_t LEAST_TIME_MS = 20; ///< With less time left no further offer is made.

unsigned rankOf(const RequestAttributes &attributes)
{
    unsigned rank = attributes.route->priority * RANKS_PER_PRIORITY + RANK_CALL + RANK_RETURNING;
    if (attributes.fromLocalServer)
        rank -= RANK_CALL;
    return rank;
}

HostOutcome lostOutcome()
{
    HostOutcome outcome;
    outcome.state = RunState::Unknown;
    outcome.reason = HostReason::LinkLost;
    outcome.sentToServer = true;
    return outcome;
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
    place(id, pending, now, actions);
    return actions;
}

ChoiceRequest Dispatcher::choiceFor(const PendingRequest &pending, TimePoint now) const
{
    ChoiceRequest request;
    request.service = pending.attributes.service;
    request.excluded = pending.refused;
    request.transferKb
        = static_cast<double>(pending.attributes.bodyBytes) / BYTES_PER_KB + HEADERS_KB;
    request.softDeadlineMs = static_cast<double>((pending.attributes.softDeadline - now).ms);
    request.deadlineMs = static_cast<double>((pending.attributes.deadline - now).ms);
    const auto usual = m_usual.find(pending.attributes.route->name);
    if (usual != m_usual.end()) {
        request.transferKb += usual->second.kilobytes;
        request.meanWorkMs = usual->second.workMs;
    }
    return request;
}

void Dispatcher::place(PendingRequestId id, PendingRequest &pending, TimePoint now,
                       DispatchActions &actions)
{
    const bool possible = pending.attributes.deadline - now >= Duration{LEAST_TIME_MS}
                          && pending.offers < m_options.offersPerAttemptMax;
    const auto chosen = possible ? chooseServer(m_table, m_localLoad(), choiceFor(pending, now),
                                                m_options.choice, now, m_random)
                                 : std::nullopt;
    if (!chosen) {
        refuse(id, pending, now, actions);
        return;
    }
    pending.offers++;
    // The last offer takes any wait: by then the beliefs are fresh.
    const bool anyWait = chosen->waitMaxMs < 0 || pending.offers >= m_options.offersPerAttemptMax;
    send(id, pending, *chosen, {anyWait ? -1 : static_cast<std::int64_t>(chosen->waitMaxMs)},
         actions);
}

void Dispatcher::send(PendingRequestId id, PendingRequest &pending, const Candidate &chosen,
                      Duration waitMax, DispatchActions &actions)
{
    const OfferId offer = ++m_lastOffer;
    pending.open.push_back({offer, chosen.daemon, false, !pending.open.empty()});
    m_offers[offer] = id;
    if (Peer *peer = m_table.find(chosen.daemon))
        peer->callsInFlight++;
    actions.push_back(
        SendOffer{id, offer, chosen.daemon, chosen.instance, rankOf(pending.attributes), waitMax});
}

Duration Dispatcher::hedgeDelay(PendingRequestId id, TimePoint now) const
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end() || !found->second.attributes.route->idempotent
        || found->second.attributes.route->attemptsMax < 2)
        return {0};
    const RequestAttributes &attributes = found->second.attributes;
    const auto usual = m_usual.find(attributes.route->name);
    const double work = usual == m_usual.end() ? 0 : usual->second.workMs;
    const auto whole = static_cast<double>((attributes.deadline - now).ms);
    return {static_cast<std::int64_t>(
        std::max(work * m_options.hedgeDelayWorkFactor, whole * m_options.hedgeDelayTimeShare))};
}

DispatchActions Dispatcher::hedge(PendingRequestId id, TimePoint now)
{
    DispatchActions actions;
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end() || found->second.open.size() != 1)
        return actions;
    PendingRequest &pending = found->second;
    if (pending.handed + 1 >= pending.attributes.route->attemptsMax)
        return actions;
    ChoiceRequest request = choiceFor(pending, now);
    const ServerId &first = pending.open.front().daemon;
    request.excluded.insert(first);
    const auto chosen
        = chooseServer(m_table, m_localLoad(), request, m_options.choice, now, m_random);
    if (!chosen || chosen->waitMs > 0)
        return actions;
    const Peer *peer = m_table.find(first);
    const bool silent = peer != nullptr && m_table.isStale(*peer, now);
    const double firstMs = peer != nullptr ? peer->load.workMs : m_localLoad().workMs;
    const Peer *other = m_table.find(chosen->daemon);
    const double otherMs = other != nullptr ? other->load.workMs : m_localLoad().workMs;
    if (!silent && (otherMs <= 0 || otherMs > firstMs * m_options.hedgeWorkRatioMax))
        return actions;
    if (m_budget.tryAcquire(pending.attributes.service, now))
        send(id, pending, *chosen, {0}, actions);
    return actions;
}

Dispatcher::OpenOffer Dispatcher::closeOffer(PendingRequest &pending, OfferId offer)
{
    m_offers.erase(offer);
    const auto found = std::find_if(pending.open.begin(), pending.open.end(),
                                    [&](const OpenOffer &one) { return one.id == offer; });
    if (found == pending.open.end())
        return {};
    const OpenOffer closed = *found;
    pending.open.erase(found);
    Peer *peer = m_table.find(closed.daemon);
    if (peer != nullptr && peer->callsInFlight > 0)
        peer->callsInFlight--;
    return closed;
}

/** Ends a request; a second server that has begun it is left to end by itself. */
void Dispatcher::erase(PendingRequestId id, DispatchActions &actions)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return;
    while (!found->second.open.empty()) {
        const OpenOffer left = closeOffer(found->second, found->second.open.front().id);
        if (!left.lost)
            actions.push_back(CancelOffer{left.id, left.daemon, true});
    }
    m_pendingRequests.erase(found);
}

void Dispatcher::learn(const PendingRequest &pending, const HostOutcome &outcome)
{
    if (m_usual.size() >= ROUTES_MAX)
        m_usual.clear();
    const auto [position, added] = m_usual.try_emplace(pending.attributes.route->name);
    Usual &usual = position->second;
    const double size = static_cast<double>(outcome.response.body.size()) / BYTES_PER_KB;
    const auto work = static_cast<double>(outcome.processingTime.ms);
    usual.kilobytes += (added ? 1 : SMOOTHING) * (size - usual.kilobytes);
    usual.workMs += (added ? 1 : SMOOTHING) * (work - usual.workMs);
}

DispatchActions Dispatcher::offerEnded(OfferId offer, const HostOutcome &outcome, TimePoint now)
{
    DispatchActions actions;
    const auto known = m_offers.find(offer);
    if (known == m_offers.end())
        return actions;
    const PendingRequestId id = known->second;
    PendingRequest &pending = m_pendingRequests[id];
    const OpenOffer closed = closeOffer(pending, offer);
    if (closed.hedge && !outcome.sentToServer)
        m_budget.refund(pending.attributes.service);
    pending.reason = outcome.reason;
    if (outcome.sentToServer)
        pending.handed++;
    if (outcome.state == RunState::Answered && outcome.response.status < SERVER_ERROR) {
        learn(pending, outcome);
        actions.push_back(ForwardResponse{id, outcome.response});
        erase(id, actions);
        return actions;
    }
    if (outcome.reason != HostReason::Busier)
        pending.refused.insert(closed.daemon);
    if (!pending.open.empty()) {
        // The other server may still answer.
        pending.unknown = pending.unknown || outcome.state != RunState::NotRun;
        if (outcome.state == RunState::Answered)
            pending.failure = outcome.response;
        return actions;
    }
    if (outcome.state == RunState::NotRun)
        notRun(id, pending, outcome, now, actions);
    else
        failed(id, pending, outcome, now, actions);
    return actions;
}

bool Dispatcher::mayRepeat(const PendingRequest &pending, TimePoint now) const
{
    return pending.handed < pending.attributes.route->attemptsMax
           && pending.attributes.deadline - now >= Duration{LEAST_TIME_MS};
}

void Dispatcher::notRun(PendingRequestId id, PendingRequest &pending, const HostOutcome &outcome,
                        TimePoint now, DispatchActions &actions)
{
    if (outcome.retryAfter.ms > 0
        && (pending.retryAfter.ms == 0 || outcome.retryAfter < pending.retryAfter))
        pending.retryAfter = outcome.retryAfter;
    if (outcome.sentToServer) {
        pending.offers = 0;
        // The server may be asked again when no other is left.
        if (!mayRepeat(pending, now) || !m_budget.tryAcquire(pending.attributes.service, now)) {
            refuse(id, pending, now, actions);
            return;
        }
    }
    place(id, pending, now, actions);
}

/** What failed deeper was repeated there: repeats at each depth would multiply. A caller's request
 * is repeated still, at a higher price, since all its calls are made again. */
bool Dispatcher::mayRepeatFailure(const PendingRequest &pending, const HostOutcome &outcome,
                                  TimePoint now)
{
    if (outcome.nestedFailure && pending.attributes.fromLocalServer)
        return false;
    return m_budget.tryAcquire(pending.attributes.service, now,
                               outcome.nestedFailure ? DEEP_REPEAT_COST : 1);
}

void Dispatcher::failed(PendingRequestId id, PendingRequest &pending, const HostOutcome &outcome,
                        TimePoint now, DispatchActions &actions)
{
    const bool answered = outcome.state == RunState::Answered;
    if (!answered)
        pending.unknown = true;
    if (pending.attributes.route->idempotent && mayRepeat(pending, now)
        && mayRepeatFailure(pending, outcome, now)) {
        pending.offers = 0;
        pending.unknown = true;
        if (answered)
            pending.failure = outcome.response;
        place(id, pending, now, actions);
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
    answerOwn(id, BAD_GATEWAY, outcome.reason, {0}, actions);
}

void Dispatcher::refuse(PendingRequestId id, const PendingRequest &pending, TimePoint now,
                        DispatchActions &actions)
{
    const Duration left = pending.attributes.callerDeadline - now;
    Duration advice = pending.retryAfter.ms > 0 ? pending.retryAfter : m_options.defaultRetryAfter;
    if (left.ms > 0)
        advice = {std::min(advice.ms, left.ms / 3)};
    if (pending.failure) {
        actions.push_back(ForwardResponse{id, *pending.failure});
        erase(id, actions);
        return;
    }
    if (pending.unknown) {
        const int status = left.ms <= LEAST_TIME_MS ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        answerOwn(id, status, pending.reason, {0}, actions);
        return;
    }
    answerOwn(id, UNAVAILABLE,
              pending.reason == HostReason::None ? HostReason::NoServer : pending.reason,
              m_random.jitter(advice), actions);
}

void Dispatcher::answerOwn(PendingRequestId id, int status, HostReason reason, Duration retryAfter,
                           DispatchActions &actions)
{
    actions.push_back(SendLocalReply{id, status, reason, retryAfter});
    erase(id, actions);
}

void Dispatcher::cancelOpen(PendingRequest &pending, DispatchActions &actions)
{
    while (!pending.open.empty()) {
        const OpenOffer closed = closeOffer(pending, pending.open.front().id);
        if (!closed.lost)
            actions.push_back(CancelOffer{closed.id, closed.daemon, false});
    }
}

std::vector<std::pair<PendingRequestId, OfferId>> Dispatcher::offersAt(const ServerId &daemon,
                                                                       bool lost) const
{
    std::vector<std::pair<PendingRequestId, OfferId>> found;
    for (const auto &[id, pending] : m_pendingRequests) {
        for (const OpenOffer &offer : pending.open) {
            if (offer.daemon == daemon && offer.lost == lost)
                found.emplace_back(id, offer.id);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

DispatchActions Dispatcher::linkLost(const ServerId &daemon, TimePoint now)
{
    DispatchActions actions;
    for (const auto &[id, offer] : offersAt(daemon, false)) {
        PendingRequest &pending = m_pendingRequests[id];
        if (!pending.attributes.route->idempotent) {
            pending.open.front().lost = true;
            continue;
        }
        DispatchActions more = offerEnded(offer, lostOutcome(), now);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
}

DispatchActions Dispatcher::linkOpened(const ServerId &daemon, bool restarted, TimePoint now)
{
    DispatchActions actions;
    for (const auto &[id, offer] : offersAt(daemon, true)) {
        if (!restarted) {
            m_pendingRequests[id].open.front().lost = false;
            actions.push_back(AskOutcome{offer, daemon});
            continue;
        }
        DispatchActions more = offerEnded(offer, lostOutcome(), now);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
}

/** Gives up what is open. @return the request, or null when it has ended. */
const Dispatcher::PendingRequest *Dispatcher::giveUp(PendingRequestId id, DispatchActions &actions)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return nullptr;
    cancelOpen(found->second, actions);
    return &found->second;
}

DispatchActions Dispatcher::callerLeft(PendingRequestId id)
{
    DispatchActions actions;
    if (giveUp(id, actions) != nullptr)
        m_pendingRequests.erase(id);
    return actions;
}

DispatchActions Dispatcher::timedOut(PendingRequestId id)
{
    DispatchActions actions;
    if (const PendingRequest *pending = giveUp(id, actions))
        answerOwn(id, GATEWAY_TIMEOUT, pending->reason, {0}, actions);
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
