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
    outcome.handed = true;
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

ChoiceRequest Dispatcher::choiceFor(const Flight &flight, TimePoint now) const
{
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
    return request;
}

void Dispatcher::place(FlightId id, Flight &flight, TimePoint now, DispatchActions &actions)
{
    const bool possible = flight.plan.deadline - now >= Duration{LEAST_TIME_MS}
                          && flight.offers < m_options.offersMax;
    const auto chosen = possible ? chooseServer(m_table, m_localLoad(), choiceFor(flight, now),
                                                m_options.choice, now, m_random)
                                 : std::nullopt;
    if (!chosen) {
        refuse(id, flight, now, actions);
        return;
    }
    flight.offers++;
    // The last offer takes any wait: by then the beliefs are fresh.
    const bool anyWait = chosen->waitMaxMs < 0 || flight.offers >= m_options.offersMax;
    send(id, flight, *chosen, {anyWait ? -1 : static_cast<std::int64_t>(chosen->waitMaxMs)},
         actions);
}

void Dispatcher::send(FlightId id, Flight &flight, const Candidate &chosen, Duration waitMax,
                      DispatchActions &actions)
{
    const OfferId offer = ++m_lastOffer;
    flight.open.push_back({offer, chosen.name, false, !flight.open.empty()});
    m_offers[offer] = id;
    if (Peer *peer = m_table.find(chosen.name))
        peer->callsInFlight++;
    actions.push_back(
        SendOffer{id, offer, chosen.name, chosen.instance, rankOf(flight.plan), waitMax});
}

Duration Dispatcher::hedgeDelay(FlightId id, TimePoint now) const
{
    const auto found = m_flights.find(id);
    if (found == m_flights.end() || !found->second.plan.route->idempotent
        || found->second.plan.route->attemptsMax < 2)
        return {0};
    const FlightPlan &plan = found->second.plan;
    const auto usual = m_usual.find(plan.route->name);
    const double work = usual == m_usual.end() ? 0 : usual->second.workMs;
    const auto whole = static_cast<double>((plan.deadline - now).ms);
    return {static_cast<std::int64_t>(
        std::max(work * m_options.hedgeWork, whole * m_options.hedgeShare))};
}

DispatchActions Dispatcher::hedge(FlightId id, TimePoint now)
{
    DispatchActions actions;
    const auto found = m_flights.find(id);
    if (found == m_flights.end() || found->second.open.size() != 1)
        return actions;
    Flight &flight = found->second;
    if (flight.handed + 1 >= flight.plan.route->attemptsMax)
        return actions;
    ChoiceRequest request = choiceFor(flight, now);
    const ServerId &first = flight.open.front().daemon;
    request.except.insert(first);
    const auto chosen
        = chooseServer(m_table, m_localLoad(), request, m_options.choice, now, m_random);
    if (!chosen || chosen->waitMs > 0)
        return actions;
    const Peer *peer = m_table.find(first);
    const bool silent = peer != nullptr && m_table.isStale(*peer, now);
    const double firstMs = peer != nullptr ? peer->load.workMs : m_localLoad().workMs;
    const Peer *other = m_table.find(chosen->name);
    const double otherMs = other != nullptr ? other->load.workMs : m_localLoad().workMs;
    if (!silent && (otherMs <= 0 || otherMs > firstMs * m_options.hedgeGain))
        return actions;
    if (m_budget.take(flight.plan.service, now))
        send(id, flight, *chosen, {0}, actions);
    return actions;
}

Dispatcher::OpenOffer Dispatcher::closeOffer(Flight &flight, OfferId offer)
{
    m_offers.erase(offer);
    const auto found = std::find_if(flight.open.begin(), flight.open.end(),
                                    [&](const OpenOffer &one) { return one.id == offer; });
    if (found == flight.open.end())
        return {};
    const OpenOffer closed = *found;
    flight.open.erase(found);
    Peer *peer = m_table.find(closed.daemon);
    if (peer != nullptr && peer->callsInFlight > 0)
        peer->callsInFlight--;
    return closed;
}

/** Ends a flight; a second server that has begun it is left to end by itself. */
void Dispatcher::erase(FlightId id, DispatchActions &actions)
{
    const auto found = m_flights.find(id);
    if (found == m_flights.end())
        return;
    while (!found->second.open.empty()) {
        const OpenOffer left = closeOffer(found->second, found->second.open.front().id);
        if (!left.lost)
            actions.push_back(CancelOffer{left.id, left.daemon, true});
    }
    m_flights.erase(found);
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
    const OpenOffer closed = closeOffer(flight, offer);
    if (closed.hedge && !outcome.handed)
        m_budget.giveBack(flight.plan.service);
    flight.reason = outcome.reason;
    if (outcome.handed)
        flight.handed++;
    if (outcome.state == RunState::Answered && outcome.response.status < SERVER_ERROR) {
        learn(flight, outcome);
        actions.push_back(PassAnswer{id, outcome.response});
        erase(id, actions);
        return actions;
    }
    if (outcome.reason != HostReason::Busier)
        flight.refused.insert(closed.daemon);
    if (!flight.open.empty()) {
        // The other server may still answer.
        flight.unknown = flight.unknown || outcome.state != RunState::NotRun;
        if (outcome.state == RunState::Answered)
            flight.failure = outcome.response;
        return actions;
    }
    if (outcome.state == RunState::NotRun)
        notRun(id, flight, outcome, now, actions);
    else
        failed(id, flight, outcome, now, actions);
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

/** What failed deeper was repeated there: repeats at each depth would multiply. A caller's request
 * is repeated still, at a higher price, since all its calls are made again. */
bool Dispatcher::mayRepeatFailure(const Flight &flight, const HostOutcome &outcome, TimePoint now)
{
    if (outcome.deep && flight.plan.fromServer)
        return false;
    return m_budget.take(flight.plan.service, now, outcome.deep ? DEEP_REPEAT_COST : 1);
}

void Dispatcher::failed(FlightId id, Flight &flight, const HostOutcome &outcome, TimePoint now,
                        DispatchActions &actions)
{
    const bool answered = outcome.state == RunState::Answered;
    if (!answered)
        flight.unknown = true;
    if (flight.plan.route->idempotent && mayRepeat(flight, now)
        && mayRepeatFailure(flight, outcome, now)) {
        flight.offers = 0;
        flight.unknown = true;
        if (answered)
            flight.failure = outcome.response;
        place(id, flight, now, actions);
        return;
    }
    if (answered) {
        actions.push_back(PassAnswer{id, outcome.response});
        erase(id, actions);
        return;
    }
    if (flight.failure) {
        actions.push_back(PassAnswer{id, *flight.failure});
        erase(id, actions);
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
        erase(id, actions);
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
    erase(id, actions);
}

void Dispatcher::cancelOpen(Flight &flight, DispatchActions &actions)
{
    while (!flight.open.empty()) {
        const OpenOffer closed = closeOffer(flight, flight.open.front().id);
        if (!closed.lost)
            actions.push_back(CancelOffer{closed.id, closed.daemon, false});
    }
}

std::vector<std::pair<FlightId, OfferId>> Dispatcher::offersAt(const ServerId &daemon,
                                                               bool lost) const
{
    std::vector<std::pair<FlightId, OfferId>> found;
    for (const auto &[id, flight] : m_flights) {
        for (const OpenOffer &offer : flight.open) {
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
        Flight &flight = m_flights[id];
        if (!flight.plan.route->idempotent) {
            flight.open.front().lost = true;
            continue;
        }
        DispatchActions more = ended(offer, lostOutcome(), now);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
}

DispatchActions Dispatcher::linkOpened(const ServerId &daemon, bool restarted, TimePoint now)
{
    DispatchActions actions;
    for (const auto &[id, offer] : offersAt(daemon, true)) {
        if (!restarted) {
            m_flights[id].open.front().lost = false;
            actions.push_back(AskOutcome{offer, daemon});
            continue;
        }
        DispatchActions more = ended(offer, lostOutcome(), now);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
}

/** Gives up what is open. @return the flight, or null when it has ended. */
const Dispatcher::Flight *Dispatcher::giveUp(FlightId id, DispatchActions &actions)
{
    const auto found = m_flights.find(id);
    if (found == m_flights.end())
        return nullptr;
    cancelOpen(found->second, actions);
    return &found->second;
}

DispatchActions Dispatcher::callerLeft(FlightId id)
{
    DispatchActions actions;
    if (giveUp(id, actions) != nullptr)
        m_flights.erase(id);
    return actions;
}

DispatchActions Dispatcher::timedOut(FlightId id)
{
    DispatchActions actions;
    if (const Flight *flight = giveUp(id, actions))
        answerOwn(id, GATEWAY_TIMEOUT, flight->reason, {0}, actions);
    return actions;
}

DispatchActions Dispatcher::endAll()
{
    DispatchActions actions;
    std::vector<FlightId> all;
    for (const auto &[id, flight] : m_flights)
        all.push_back(id);
    for (const FlightId id : all) {
        DispatchActions more = timedOut(id);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
}

} // namespace cornelwell
