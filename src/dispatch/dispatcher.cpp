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
constexpr std::size_t ROUTES_MAX = 1024;
constexpr std::int64_t LEAST_TIME_MS = 20; ///< With less time left no further offer is made.

unsigned rankOf(const FlightPlan &plan)
{
    unsigned rank = plan.route->priority * RANKS_PER_PRIORITY + RANK_CALL + RANK_RETURNING;
    if (plan.fromServer)
        rank -= RANK_CALL;
    return rank;
}

HostOutcome lostOutcome()
{
    HostOutcome outcome;
    outcome.state = RunState::Unknown;
    outcome.reason = HostReason::LinkLost;
    return outcome;
}

} // namespace

Dispatcher::Dispatcher(PeerTable &table, ServiceBudget &budget, std::function<HostLoad()> localLoad,
                       DispatchOptions options, std::uint64_t seed)
    : m_table(table)
    , m_budget(budget)
    , m_localLoad(std::move(localLoad))
    , m_options(options)
    , m_random(seed)
{}

const FlightPlan *Dispatcher::plan(FlightId flight) const
{
    const auto found = m_flights.find(flight);
    return found == m_flights.end() ? nullptr : &found->second.plan;
}

DispatchActions Dispatcher::begin(FlightId id, FlightPlan plan, TimePoint now)
{
    DispatchActions actions;
    m_budget.requestBegan(plan.service, now);
    Flight &flight = m_flights[id];
    flight.plan = std::move(plan);
    place(id, flight, now, actions);
    return actions;
}

void Dispatcher::place(FlightId id, Flight &flight, TimePoint now, DispatchActions &actions)
{
    if (flight.plan.deadline - now < Duration{LEAST_TIME_MS}) {
        refuse(id, flight, now, actions);
        return;
    }
    ChoiceRequest request;
    request.service = flight.plan.service;
    request.except = flight.refused;
    request.kilobytes = static_cast<double>(flight.plan.bytes) / BYTES_PER_KB + HEADERS_KB;
    request.goalMs = static_cast<double>((flight.plan.goal - now).ms);
    request.deadlineMs = static_cast<double>((flight.plan.deadline - now).ms);
    const auto usual = m_usual.find(flight.plan.route->name);
    if (usual != m_usual.end()) {
        request.kilobytes += usual->second.kilobytes;
        request.workMs = usual->second.workMs;
    }
    const auto chosen
        = flight.offers < m_options.offersMax
              ? chooseServer(m_table, m_localLoad(), request, m_options.choice, now, m_random)
              : std::nullopt;
    if (!chosen) {
        refuse(id, flight, now, actions);
        return;
    }
    flight.offer = ++m_lastOffer;
    flight.daemon = chosen->name;
    flight.lost = false;
    flight.offers++;
    // The last offer takes any wait: by then the beliefs are fresh.
    flight.anyWait = chosen->waitMaxMs < 0 || flight.offers >= m_options.offersMax;
    const Duration waitMax{flight.anyWait ? -1 : static_cast<std::int64_t>(chosen->waitMaxMs)};
    m_offers[flight.offer] = id;
    if (Peer *peer = m_table.find(chosen->name))
        peer->sent++;
    actions.push_back(
        SendOffer{id, flight.offer, chosen->name, chosen->instance, rankOf(flight.plan), waitMax});
}

void Dispatcher::closeOffer(Flight &flight)
{
    if (flight.offer == 0)
        return;
    m_offers.erase(flight.offer);
    Peer *peer = m_table.find(flight.daemon);
    if (peer != nullptr && peer->sent > 0)
        peer->sent--;
    flight.offer = 0;
    flight.lost = false;
}

void Dispatcher::learn(const Flight &flight, const HostOutcome &outcome)
{
    if (m_usual.size() >= ROUTES_MAX)
        m_usual.clear();
    const auto [position, added] = m_usual.try_emplace(flight.plan.route->name);
    Usual &usual = position->second;
    const double size = static_cast<double>(outcome.response.body.size()) / BYTES_PER_KB;
    const auto work = static_cast<double>(outcome.work.ms);
    usual.kilobytes += (added ? 1 : SMOOTHING) * (size - usual.kilobytes);
    usual.workMs += (added ? 1 : SMOOTHING) * (work - usual.workMs);
}

DispatchActions Dispatcher::ended(OfferId offer, const HostOutcome &outcome, TimePoint now)
{
    DispatchActions actions;
    const auto known = m_offers.find(offer);
    if (known == m_offers.end())
        return actions;
    const FlightId id = known->second;
    Flight &flight = m_flights[id];
    const ServerId daemon = flight.daemon;
    closeOffer(flight);
    flight.reason = outcome.reason;
    if (outcome.handed)
        flight.handed++;
    switch (outcome.state) {
    case RunState::Answered:
        if (outcome.response.status >= SERVER_ERROR) {
            flight.refused.insert(daemon);
            failed(id, flight, outcome, now, actions);
            break;
        }
        learn(flight, outcome);
        actions.push_back(PassAnswer{id, outcome.response});
        m_flights.erase(id);
        break;
    case RunState::NotRun:
        if (outcome.reason != HostReason::Busier)
            flight.refused.insert(daemon);
        notRun(id, flight, outcome, now, actions);
        break;
    case RunState::Unknown:
    case RunState::Count:
        flight.refused.insert(daemon);
        failed(id, flight, outcome, now, actions);
        break;
    }
    return actions;
}

bool Dispatcher::mayRepeat(const Flight &flight, TimePoint now) const
{
    return flight.handed < flight.plan.route->attemptsMax
           && flight.plan.deadline - now >= Duration{LEAST_TIME_MS};
}

void Dispatcher::notRun(FlightId id, Flight &flight, const HostOutcome &outcome, TimePoint now,
                        DispatchActions &actions)
{
    if (outcome.retryAfter.ms > 0
        && (flight.retryAfter.ms == 0 || outcome.retryAfter < flight.retryAfter))
        flight.retryAfter = outcome.retryAfter;
    if (outcome.handed) {
        flight.offers = 0;
        // The server may be asked again when no other is left.
        if (!mayRepeat(flight, now) || !m_budget.take(flight.plan.service, now)) {
            refuse(id, flight, now, actions);
            return;
        }
    }
    place(id, flight, now, actions);
}

void Dispatcher::failed(FlightId id, Flight &flight, const HostOutcome &outcome, TimePoint now,
                        DispatchActions &actions)
{
    const bool answered = outcome.state == RunState::Answered;
    if (!answered)
        flight.unknown = true;
    const bool quarantined = outcome.reason == HostReason::Crashed && flight.handed > 1;
    if (flight.plan.route->idempotent && !quarantined && mayRepeat(flight, now)
        && m_budget.take(flight.plan.service, now)) {
        flight.offers = 0;
        flight.unknown = true;
        if (answered)
            flight.failure = outcome.response;
        place(id, flight, now, actions);
        return;
    }
    if (answered) {
        actions.push_back(PassAnswer{id, outcome.response});
        m_flights.erase(id);
        return;
    }
    if (flight.failure) {
        actions.push_back(PassAnswer{id, *flight.failure});
        m_flights.erase(id);
        return;
    }
    answerOwn(id, BAD_GATEWAY, outcome.reason, {0}, actions);
}

void Dispatcher::refuse(FlightId id, const Flight &flight, TimePoint now, DispatchActions &actions)
{
    const Duration left = flight.plan.callerDeadline - now;
    Duration advice = flight.retryAfter.ms > 0 ? flight.retryAfter : m_options.retryAfter;
    if (left.ms > 0)
        advice = {std::min(advice.ms, left.ms / 3)};
    if (flight.failure) {
        actions.push_back(PassAnswer{id, *flight.failure});
        m_flights.erase(id);
        return;
    }
    if (flight.unknown) {
        const int status = left.ms <= LEAST_TIME_MS ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        answerOwn(id, status, flight.reason, {0}, actions);
        return;
    }
    answerOwn(id, UNAVAILABLE,
              flight.reason == HostReason::None ? HostReason::NoServer : flight.reason,
              m_random.jitter(advice), actions);
}

void Dispatcher::answerOwn(FlightId id, int status, HostReason reason, Duration retryAfter,
                           DispatchActions &actions)
{
    actions.push_back(OwnAnswer{id, status, reason, retryAfter});
    m_flights.erase(id);
}

void Dispatcher::cancelOpen(Flight &flight, DispatchActions &actions)
{
    if (flight.offer == 0)
        return;
    if (!flight.lost)
        actions.push_back(CancelOffer{flight.offer, flight.daemon});
    closeOffer(flight);
}

DispatchActions Dispatcher::linkLost(const ServerId &daemon, TimePoint now)
{
    DispatchActions actions;
    std::vector<FlightId> hit;
    for (const auto &[id, flight] : m_flights) {
        if (flight.offer != 0 && flight.daemon == daemon && !flight.lost)
            hit.push_back(id);
    }
    std::sort(hit.begin(), hit.end());
    for (const FlightId id : hit) {
        Flight &flight = m_flights[id];
        if (!flight.plan.route->idempotent) {
            flight.lost = true;
            continue;
        }
        closeOffer(flight);
        flight.refused.insert(daemon);
        flight.handed++;
        flight.reason = HostReason::LinkLost;
        failed(id, flight, lostOutcome(), now, actions);
    }
    return actions;
}

DispatchActions Dispatcher::linkOpened(const ServerId &daemon, bool restarted, TimePoint now)
{
    DispatchActions actions;
    std::vector<FlightId> hit;
    for (const auto &[id, flight] : m_flights) {
        if (flight.offer != 0 && flight.daemon == daemon && flight.lost)
            hit.push_back(id);
    }
    std::sort(hit.begin(), hit.end());
    for (const FlightId id : hit) {
        Flight &flight = m_flights[id];
        if (!restarted) {
            flight.lost = false;
            actions.push_back(AskOutcome{flight.offer, daemon});
            continue;
        }
        closeOffer(flight);
        flight.handed++;
        failed(id, flight, lostOutcome(), now, actions);
    }
    return actions;
}

DispatchActions Dispatcher::callerLeft(FlightId id, TimePoint now)
{
    (void)now;
    DispatchActions actions;
    const auto found = m_flights.find(id);
    if (found == m_flights.end())
        return actions;
    cancelOpen(found->second, actions);
    m_flights.erase(found);
    return actions;
}

DispatchActions Dispatcher::timedOut(FlightId id, TimePoint now)
{
    (void)now;
    DispatchActions actions;
    const auto found = m_flights.find(id);
    if (found == m_flights.end())
        return actions;
    cancelOpen(found->second, actions);
    answerOwn(id, GATEWAY_TIMEOUT, found->second.reason, {0}, actions);
    return actions;
}

DispatchActions Dispatcher::endAll(TimePoint now)
{
    DispatchActions actions;
    std::vector<FlightId> all;
    for (const auto &[id, flight] : m_flights)
        all.push_back(id);
    for (const FlightId id : all) {
        DispatchActions more = timedOut(id, now);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
}

} // namespace cornelwell
