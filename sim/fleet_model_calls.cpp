/** @file fleet_model_calls.cpp Callers, and the way of their requests through real decisions. */
#include "fleet_model.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr Duration ANSWER_SLACK{
    30}; ///< A request is answered this long after its deadline at the latest.
constexpr double MEAN_WORK_MS = 180; ///< Of a request at a server of speed 1.
constexpr double SPREAD = 0.5;       ///< Of the logarithm of a request's work.
constexpr unsigned TRIES_MAX = 2;    ///< Tries of a caller.
constexpr double CALLS_LOST = 0.1;   ///< Share of answers that are lost in that disturbance.

} // namespace

void FleetModel::arrival(std::size_t centre)
{
    (void)centre;
    static const Kind KINDS[]
        = {{"lookup", true, 160, 500, 1200, 2}, {"commit", false, 210, 600, 1500, 1}};
    const Kind &kind = KINDS[m_random.chance(300) ? 1 : 0];
    Wish wish;
    wish.kind = &kind;
    wish.asked = m_now;
    // A normal draw by the sum of uniform ones, the same on every machine.
    double sum = -6;
    for (int i = 0; i < 12; i++)
        sum += static_cast<double>(m_random.below(1000)) / 1000;
    wish.work = kind.workMs * std::exp(SPREAD * sum - SPREAD * SPREAD / 2);
    m_wishes.push_back(wish);
    m_report.asked++;
    begin(m_wishes.size() - 1);
}

void FleetModel::begin(std::size_t wishIndex)
{
    Wish &wish = m_wishes[wishIndex];
    wish.tries++;
    std::vector<std::size_t> near;
    const std::size_t centre = wishIndex % m_options.centres;
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (m_nodes[i].up && m_nodes[i].centre == centre && m_nodes[i].replicator->version() != 0)
            near.push_back(i);
    }
    if (near.empty()) {
        wish.ended = true;
        m_report.failed++;
        return;
    }
    const std::size_t index = near[m_random.below(near.size())];
    Node &node = m_nodes[index];
    const PendingRequestId requestId = ++m_lastRequestId;
    m_tries.push_back({wishIndex, index, 0, false, wish.asked + Duration{wish.kind->deadlineMs}});
    node.tries[requestId] = m_tries.size() - 1;
    auto route = std::make_shared<Route>(m_document.routes[0]);
    route->name = wish.kind->name;
    route->idempotent = wish.kind->idempotent;
    route->priority = wish.kind->priority;
    route->attemptsMax = 2;
    RequestAttributes attributes;
    attributes.route = route;
    attributes.service = ServiceName("desk");
    attributes.fingerprint = wishIndex;
    attributes.deadline = attributes.callerDeadline = m_tries.back().deadline;
    attributes.softDeadline = wish.asked + Duration{wish.kind->goalMs};
    attributes.isRetry = wish.tries > 1;
    atNode(index, attributes.deadline - m_now, [this, index, requestId] {
        if (m_nodes[index].tries.count(requestId) != 0)
            perform(index, m_nodes[index].dispatcher->timedOut(requestId));
    });
    perform(index, node.dispatcher->begin(requestId, attributes, m_now));
    const Duration hedge = node.dispatcher->hedgeDelay(requestId, m_now);
    if (hedge.ms > 0)
        atNode(index, hedge, [this, index, requestId] {
            if (m_nodes[index].tries.count(requestId) != 0)
                perform(index, m_nodes[index].dispatcher->hedge(requestId, m_now));
        });
}

void FleetModel::perform(std::size_t index, const DispatchActions &actions)
{
    for (const DispatchAction &action : actions) {
        if (const auto *sent = std::get_if<SendOffer>(&action)) {
            const auto to = indexOf(sent->daemon);
            if (*to == index)
                offer(index, index, *sent);
            else
                send(index, *to, [this, index, to = *to, copy = *sent] { offer(index, to, copy); });
        } else if (const auto *cancel = std::get_if<CancelOffer>(&action)) {
            const auto to = indexOf(cancel->daemon);
            at({1}, [this, index, to = *to, offerId = cancel->offer] {
                Node &host = m_nodes[to];
                const auto known = host.hosted.find({index, offerId});
                if (known != host.hosted.end() && host.running.count(known->second) == 0
                    && host.gate->cancelQueued(known->second)) {
                    host.calls.erase(known->second);
                    host.hosted.erase(known);
                }
            });
        } else if (const auto *ask = std::get_if<AskOutcome>(&action)) {
            const auto to = indexOf(ask->daemon);
            send(index, *to, [this, index, to = *to, offerId = ask->offer] {
                Node &host = m_nodes[to];
                if (host.hosted.count({index, offerId}) != 0)
                    return;
                HostOutcome outcome;
                outcome.reason = HostReason::Forgotten;
                const auto kept = host.kept.find({index, offerId});
                if (kept != host.kept.end())
                    outcome = kept->second;
                send(to, index, [this, index, offerId, outcome] {
                    perform(index, m_nodes[index].dispatcher->offerEnded(offerId, outcome, m_now));
                });
            });
        } else if (const auto *pass = std::get_if<ForwardResponse>(&action)) {
            answered(index, pass->request, pass->response.status, {0});
        } else if (const auto *own = std::get_if<SendLocalReply>(&action)) {
            answered(index, own->request, own->status, own->retryAfter);
        }
    }
}

void FleetModel::offer(std::size_t from, std::size_t to, const SendOffer &action)
{
    Node &sender = m_nodes[from];
    Node &host = m_nodes[to];
    const auto found = sender.tries.find(action.request);
    const RequestAttributes *attributes = sender.dispatcher->attributes(action.request);
    if (found == sender.tries.end() || attributes == nullptr)
        return;
    const HostCallId id = ++host.lastCall;
    LinkCall call;
    call.offer = action.offer;
    call.route = attributes->route->name;
    call.idempotent = attributes->route->idempotent;
    call.fingerprint = found->second;
    HostCall hosted;
    hosted.id = id;
    hosted.route = call.route;
    hosted.rank = action.rank;
    hosted.deadline = attributes->deadline;
    hosted.softDeadline = attributes->softDeadline;
    hosted.instance = action.instance;
    hosted.isRetry = attributes->isRetry;
    hosted.queueWaitMax = action.queueWaitMax;
    host.hosted[{from, action.offer}] = id;
    host.calls[id] = {from, call};
    host.senders[id] = sender.record.incarnation;
    carryOut(to, host.gate->submit(hosted, m_now));
}

void FleetModel::carryOut(std::size_t index, const HostDecisions &decisions)
{
    for (const HostDecision &decision : decisions) {
        if (decision.verdict == HostVerdict::Start) {
            startRun(index, decision.id);
            continue;
        }
        HostOutcome outcome;
        outcome.reason = decision.reason;
        outcome.retryAfter = decision.retryAfter;
        finish(index, decision.id, outcome);
    }
}

void FleetModel::startRun(std::size_t index, HostCallId id)
{
    Node &host = m_nodes[index];
    const auto found = host.calls.find(id);
    if (found == host.calls.end())
        return;
    const Server &server = host.server;
    if (!server.up) {
        HostOutcome outcome;
        outcome.reason = HostReason::ConnectFailed;
        const HostDecisions more = host.gate->complete(id, HostFinish::Broken, {0}, m_now);
        finish(index, id, outcome);
        carryOut(index, host.gate->handleServerDown(m_now));
        carryOut(index, more);
        return;
    }
    if (m_now - server.leftAt > DRAIN)
        broken("a request reached a server that had left");
    Try &one = m_tries[found->second.second.fingerprint];
    const Wish &wish = m_wishes[one.wish];
    one.runs++;
    m_report.runs++;
    if (one.runs > 1)
        m_report.repeats++;
    if (!wish.kind->idempotent && one.runs > 1)
        broken("a commitment was run twice");
    if (!wish.kind->idempotent && one.promisedNotRun)
        broken("a commitment ran after the promise that it does not");
    host.running.insert(id);
    const Duration work{static_cast<std::int64_t>(wish.work / server.speed * server.slow)};
    const unsigned starts = server.starts;
    const std::uint64_t life = host.record.incarnation;
    const bool lost
        = m_loseAnswers && m_random.chance(static_cast<std::uint64_t>(CALLS_LOST * 1000));
    atNode(index, work, [this, index, id, starts, life, lost] {
        Node &node = m_nodes[index];
        if (!node.up || node.record.incarnation != life || node.server.starts != starts)
            return;
        endRun(index, id, lost ? RunState::Unknown : RunState::Answered, 200);
    });
}

void FleetModel::endRun(std::size_t index, HostCallId id, RunState state, int status)
{
    Node &host = m_nodes[index];
    if (host.running.erase(id) == 0)
        return;
    HostOutcome outcome;
    outcome.state = state;
    outcome.sentToServer = true;
    outcome.response.status = status;
    outcome.reason = state == RunState::Answered ? HostReason::None : HostReason::Broken;
    outcome.processingTime = {150};
    const HostDecisions more = host.gate->complete(
        id, state == RunState::Answered ? HostFinish::Served : HostFinish::Broken, {150}, m_now);
    finish(index, id, outcome);
    carryOut(index, more);
}

void FleetModel::finish(std::size_t index, HostCallId id, const HostOutcome &outcome)
{
    Node &host = m_nodes[index];
    const auto found = host.calls.find(id);
    if (found == host.calls.end())
        return;
    const std::size_t from = found->second.first;
    const OfferId offerId = found->second.second.offer;
    host.calls.erase(found);
    host.hosted.erase({from, offerId});
    const std::uint64_t sender = host.senders[id];
    host.senders.erase(id);
    if (sender != m_nodes[from].record.incarnation)
        return;
    host.kept[{from, offerId}] = outcome;
    const auto deliver = [this, from, offerId, outcome] {
        perform(from, m_nodes[from].dispatcher->offerEnded(offerId, outcome, m_now));
    };
    if (from == index)
        at({0}, deliver);
    else
        send(index, from, deliver);
}

void FleetModel::answered(std::size_t index, PendingRequestId requestId, int status,
                          Duration retryAfter)
{
    Node &node = m_nodes[index];
    const auto found = node.tries.find(requestId);
    if (found == node.tries.end())
        return;
    Try &one = m_tries[found->second];
    Wish &wish = m_wishes[one.wish];
    if (status != 0)
        node.tries.erase(found);
    if (wish.ended)
        return;
    const auto thaw = m_thaw.find(index);
    const bool stoodStill = thaw != m_thaw.end() && thaw->second >= one.deadline;
    if (m_now > one.deadline + ANSWER_SLACK
        && !(stoodStill && m_now <= thaw->second + ANSWER_SLACK))
        broken("a request was answered after its deadline");
    if (status == 503) {
        one.promisedNotRun = true;
        if (!wish.kind->idempotent && one.runs > 0)
            broken("a commitment that ran was said not to have run");
    }
    if (status == 200) {
        wish.ended = true;
        const bool inGoal = m_now - wish.asked <= Duration{wish.kind->goalMs};
        (inGoal ? m_report.inGoal : m_report.late)++;
        return;
    }
    const bool again = wish.tries < TRIES_MAX && (wish.kind->idempotent || status == 503)
                       && one.deadline - m_now > Duration{50};
    if (!again) {
        wish.ended = true;
        m_report.failed++;
        return;
    }
    const std::size_t wishIndex = one.wish;
    at(retryAfter + Duration{16}, [this, wishIndex] { begin(wishIndex); });
}

/** Callers come at random: the pauses between them are exponential. */
void FleetModel::nextArrival()
{
    if (m_now >= m_end)
        return;
    arrival(m_random.below(m_options.centres));
    const double perMs
        = m_options.load * m_burst * m_options.daemons * m_options.slots / MEAN_WORK_MS;
    const double draw = (static_cast<double>(m_random.below(1000000)) + 0.5) / 1000000;
    m_arrivalRest += -std::log(draw) / perMs;
    const auto whole = static_cast<std::int64_t>(m_arrivalRest);
    m_arrivalRest -= static_cast<double>(whole);
    at({whole}, [this] { nextArrival(); });
}

} // namespace cornelwell
