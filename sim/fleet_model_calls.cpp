/** @file fleet_model_calls.cpp Callers of the simulated fleet, and how daemons and servers process
 * their requests. */
#include "fleet_model.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr Duration RESPONSE_DELAY_MAX{30};  ///< Latest response to a request after its deadline.
constexpr double MEAN_WORK_MS = 180;        ///< Mean work of a request at a server of speed 1.
constexpr double WORK_LOG_DEVIATION = 0.5;  ///< Standard deviation of the logarithm of the work.
constexpr unsigned SUBMISSIONS_MAX = 2;     ///< A caller submits a request this often at most.
constexpr double RESPONSE_LOSS_SHARE = 0.1; ///< Share of responses that LoseResponses loses.

} // namespace

void FleetModel::createCallerRequest(std::size_t centre)
{
    (void)centre;
    static const RequestKind REQUEST_KINDS[]
        = {{"lookup", true, 160, 500, 1200, 2}, {"commit", false, 210, 600, 1500, 1}};
    const RequestKind &kind = REQUEST_KINDS[m_random.chance(300) ? 1 : 0];
    CallerRequest callerRequest;
    callerRequest.kind = &kind;
    callerRequest.arrivedAt = m_now;
    // The sum of uniform draws is close to normal and, unlike std::normal_distribution, the same on
    // every platform.
    double sum = -6;
    for (int i = 0; i < 12; i++)
        sum += static_cast<double>(m_random.below(1000)) / 1000;
    callerRequest.workMs
        = kind.meanWorkMs
          * std::exp(WORK_LOG_DEVIATION * sum - WORK_LOG_DEVIATION * WORK_LOG_DEVIATION / 2);
    m_callerRequests.push_back(callerRequest);
    m_report.requests++;
    submitRequest(m_callerRequests.size() - 1);
}

void FleetModel::submitRequest(std::size_t callerRequestIndex)
{
    CallerRequest &callerRequest = m_callerRequests[callerRequestIndex];
    callerRequest.submissions++;
    std::vector<std::size_t> candidates;
    const std::size_t centre = callerRequestIndex % m_options.centres;
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (m_nodes[i].up && m_nodes[i].centre == centre && m_nodes[i].replicator->version() != 0)
            candidates.push_back(i);
    }
    if (candidates.empty()) {
        callerRequest.finished = true;
        m_report.failed++;
        return;
    }
    const std::size_t index = candidates[m_random.below(candidates.size())];
    Node &node = m_nodes[index];
    const PendingRequestId requestId = ++m_lastRequestId;
    m_submissions.push_back({callerRequestIndex, index, 0, false,
                             callerRequest.arrivedAt + Duration{callerRequest.kind->deadlineMs},
                             m_now});
    node.submissions[requestId] = m_submissions.size() - 1;
    auto route = std::make_shared<Route>(m_document.routes[0]);
    route->name = callerRequest.kind->name;
    route->idempotent = callerRequest.kind->idempotent;
    route->priority = callerRequest.kind->priority;
    route->attemptsMax = 2;
    RequestAttributes attributes;
    attributes.route = route;
    attributes.service = ServiceName("desk");
    attributes.fingerprint = callerRequestIndex;
    attributes.deadline = attributes.callerDeadline = m_submissions.back().deadline;
    attributes.softDeadline
        = callerRequest.arrivedAt + Duration{callerRequest.kind->latencyTargetMs};
    attributes.isRetry = callerRequest.submissions > 1;
    scheduleOnNode(index, attributes.deadline - m_now, [this, index, requestId] {
        if (m_nodes[index].submissions.count(requestId) != 0)
            performActions(index, m_nodes[index].dispatcher->timedOut(requestId));
    });
    performActions(index, node.dispatcher->begin(requestId, attributes, m_now));
    const Duration hedge = node.dispatcher->hedgeDelay(requestId, m_now);
    if (hedge.ms > 0)
        scheduleOnNode(index, hedge, [this, index, requestId] {
            if (m_nodes[index].submissions.count(requestId) != 0)
                performActions(index, m_nodes[index].dispatcher->hedge(requestId, m_now));
        });
}

void FleetModel::performActions(std::size_t index, const DispatchActions &actions)
{
    for (const DispatchAction &action : actions) {
        if (const auto *sent = std::get_if<SendOffer>(&action)) {
            const auto to = indexOf(sent->daemon);
            if (*to == index)
                deliverOffer(index, index, *sent);
            else
                send(index, *to,
                     [this, index, to = *to, copy = *sent] { deliverOffer(index, to, copy); });
        } else if (const auto *cancel = std::get_if<CancelOffer>(&action)) {
            const auto to = indexOf(cancel->daemon);
            schedule({1}, [this, index, to = *to, offerId = cancel->offer] {
                Node &host = m_nodes[to];
                const auto known = host.hostedCalls.find({index, offerId});
                if (known != host.hostedCalls.end() && host.running.count(known->second) == 0
                    && host.scheduler->cancelQueued(known->second)) {
                    host.calls.erase(known->second);
                    host.hostedCalls.erase(known);
                }
            });
        } else if (const auto *ask = std::get_if<AskOutcome>(&action)) {
            const auto to = indexOf(ask->daemon);
            send(index, *to, [this, index, to = *to, offerId = ask->offer] {
                Node &host = m_nodes[to];
                if (host.hostedCalls.count({index, offerId}) != 0)
                    return;
                HostOutcome outcome;
                outcome.reason = HostReason::Forgotten;
                const auto stored = host.outcomes.find({index, offerId});
                if (stored != host.outcomes.end())
                    outcome = stored->second;
                send(to, index, [this, index, offerId, outcome] {
                    performActions(index,
                                   m_nodes[index].dispatcher->offerEnded(offerId, outcome, m_now));
                });
            });
        } else if (const auto *forward = std::get_if<ForwardResponse>(&action)) {
            handleResponse(index, forward->request, forward->response.status, {0});
        } else if (const auto *localReply = std::get_if<SendLocalReply>(&action)) {
            handleResponse(index, localReply->request, localReply->status, localReply->retryAfter);
        }
    }
}

void FleetModel::deliverOffer(std::size_t from, std::size_t to, const SendOffer &action)
{
    Node &sender = m_nodes[from];
    Node &host = m_nodes[to];
    const auto found = sender.submissions.find(action.request);
    const RequestAttributes *attributes = sender.dispatcher->attributes(action.request);
    if (found == sender.submissions.end() || attributes == nullptr)
        return;
    const HostCallId id = ++host.lastCallId;
    LinkCall call;
    call.offer = action.offer;
    call.route = attributes->route->name;
    call.idempotent = attributes->route->idempotent;
    // startRun finds the submission by this index.
    call.fingerprint = found->second;
    HostCall hostCall;
    hostCall.id = id;
    hostCall.route = call.route;
    hostCall.rank = action.rank;
    hostCall.deadline = attributes->deadline;
    hostCall.softDeadline = attributes->softDeadline;
    hostCall.instance = action.instance;
    hostCall.isRetry = attributes->isRetry;
    hostCall.queueWaitMax = action.queueWaitMax;
    host.hostedCalls[{from, action.offer}] = id;
    host.calls[id] = {from, call};
    host.senderIncarnations[id] = sender.record.incarnation;
    applyDecisions(to, host.scheduler->submit(hostCall, m_now));
}

void FleetModel::applyDecisions(std::size_t index, const HostDecisions &decisions)
{
    for (const HostDecision &decision : decisions) {
        if (decision.verdict == HostVerdict::Start) {
            startRun(index, decision.id);
            continue;
        }
        HostOutcome outcome;
        outcome.reason = decision.reason;
        outcome.retryAfter = decision.retryAfter;
        sendOutcome(index, decision.id, outcome);
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
        const HostDecisions furtherDecisions
            = host.scheduler->complete(id, HostFinish::Broken, {0}, m_now);
        sendOutcome(index, id, outcome);
        applyDecisions(index, host.scheduler->handleServerDown(m_now));
        applyDecisions(index, furtherDecisions);
        return;
    }
    if (m_now - server.drainingSince > DRAIN_PERIOD)
        recordViolation("a request reached a server that had left");
    Submission &submission = m_submissions[found->second.second.fingerprint];
    const CallerRequest &callerRequest = m_callerRequests[submission.callerRequest];
    submission.runs++;
    m_report.runs++;
    if (submission.runs > 1)
        m_report.repeatedRuns++;
    if (!callerRequest.kind->idempotent && submission.runs > 1)
        recordViolation("a commitment was run twice");
    if (!callerRequest.kind->idempotent && submission.reportedNotRun)
        recordViolation("a commitment ran after the promise that it does not");
    checkAdvisoryFollowed(index, found->second.first, submission.submittedAt);
    host.running.insert(id);
    const Duration runTime{
        static_cast<std::int64_t>(callerRequest.workMs / server.speed * server.slowdown)};
    const unsigned restarts = server.restarts;
    const std::uint64_t incarnation = host.record.incarnation;
    const bool responseLost
        = m_losesResponses
          && m_random.chance(static_cast<std::uint64_t>(RESPONSE_LOSS_SHARE * 1000));
    scheduleOnNode(index, runTime, [this, index, id, restarts, incarnation, responseLost] {
        Node &node = m_nodes[index];
        if (!node.up || node.record.incarnation != incarnation || node.server.restarts != restarts)
            return;
        endRun(index, id, responseLost ? RunState::Unknown : RunState::Answered, 200);
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
    if (state == RunState::Answered) {
        outcome.advisory = Result<ServerAdvisory>(host.server.advisory);
        applyDecisions(index, host.scheduler->handleAdvisory(id, host.server.advisory, m_now));
    }
    const HostDecisions furtherDecisions = host.scheduler->complete(
        id, state == RunState::Answered ? HostFinish::Served : HostFinish::Broken, {150}, m_now);
    sendOutcome(index, id, outcome);
    applyDecisions(index, furtherDecisions);
}

void FleetModel::sendOutcome(std::size_t index, HostCallId id, const HostOutcome &outcome)
{
    Node &host = m_nodes[index];
    const auto found = host.calls.find(id);
    if (found == host.calls.end())
        return;
    const std::size_t from = found->second.first;
    const OfferId offerId = found->second.second.offer;
    host.calls.erase(found);
    host.hostedCalls.erase({from, offerId});
    const std::uint64_t sender = host.senderIncarnations[id];
    host.senderIncarnations.erase(id);
    if (sender != m_nodes[from].record.incarnation)
        return;
    host.outcomes[{from, offerId}] = outcome;
    const auto deliver = [this, index, from, offerId, outcome] {
        if (outcome.advisory)
            recordAdvisoryPassedOn(index, from, outcome.advisory->value());
        performActions(from, m_nodes[from].dispatcher->offerEnded(offerId, outcome, m_now));
    };
    if (from == index)
        schedule({0}, deliver);
    else
        send(index, from, deliver);
}

void FleetModel::handleResponse(std::size_t index, PendingRequestId requestId, int status,
                                Duration retryAfter)
{
    Node &node = m_nodes[index];
    const auto found = node.submissions.find(requestId);
    if (found == node.submissions.end())
        return;
    Submission &submission = m_submissions[found->second];
    CallerRequest &callerRequest = m_callerRequests[submission.callerRequest];
    if (status != 0)
        node.submissions.erase(found);
    if (callerRequest.finished)
        return;
    const auto frozen = m_frozenUntil.find(index);
    const bool wasFrozen = frozen != m_frozenUntil.end() && frozen->second >= submission.deadline;
    if (m_now > submission.deadline + RESPONSE_DELAY_MAX
        && !(wasFrozen && m_now <= frozen->second + RESPONSE_DELAY_MAX))
        recordViolation("a request was answered after its deadline");
    if (status == 503) {
        submission.reportedNotRun = true;
        if (!callerRequest.kind->idempotent && submission.runs > 0)
            recordViolation("a commitment that ran was said not to have run");
    }
    if (status == 200) {
        callerRequest.finished = true;
        const bool withinTarget
            = m_now - callerRequest.arrivedAt <= Duration{callerRequest.kind->latencyTargetMs};
        (withinTarget ? m_report.withinTarget : m_report.late)++;
        return;
    }
    const bool retries = callerRequest.submissions < SUBMISSIONS_MAX
                         && (callerRequest.kind->idempotent || status == 503)
                         && submission.deadline - m_now > Duration{50};
    if (!retries) {
        callerRequest.finished = true;
        m_report.failed++;
        return;
    }
    const std::size_t callerRequestIndex = submission.callerRequest;
    schedule(retryAfter + Duration{16},
             [this, callerRequestIndex] { submitRequest(callerRequestIndex); });
}

/** Creates a caller's request and schedules the next; the times between two are exponential. */
void FleetModel::handleArrival()
{
    if (m_now >= m_end)
        return;
    createCallerRequest(m_random.below(m_options.centres));
    const double perMs
        = m_options.load * m_loadFactor * m_options.daemons * m_options.slots / MEAN_WORK_MS;
    const double draw = (static_cast<double>(m_random.below(1000000)) + 0.5) / 1000000;
    m_arrivalRemainderMs += -std::log(draw) / perMs;
    const auto wholeMs = static_cast<std::int64_t>(m_arrivalRemainderMs);
    m_arrivalRemainderMs -= static_cast<double>(wholeMs);
    schedule({wholeMs}, [this] { handleArrival(); });
}

} // namespace cornelwell
