/** @file rollout_evaluator.cpp Conditions of the next stage, ranks, conditional writes. */
#include "rollout/rollout_evaluator.h"

#include "base/hash_func.h"
#include "rollout/stage_plan.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr double WHOLE = 1000; ///< The whole of a share or of the time limit, in thousandths.
/** A stage without enough answers rises this much later; services with few requests need it. */
constexpr unsigned FEW_ANSWERS_DELAY = 60;
/** From here on a suspicion that has not been dispelled counts as a verdict. */
constexpr unsigned SUSPICION_LIMIT = 930;
/** From here on completion does not wait for the last requests at baseline servers. */
constexpr unsigned DRAIN_LIMIT = 950;
/** An order is not accepted sooner while no baseline server is known. */
constexpr Duration BASELINE_WAIT{2000};
constexpr unsigned HOLD_LIMIT = 900; ///< From here on another evaluator's hold is not followed.

/** @return true when the order is at least this old, in thousandths of its time limit. */
bool hasReached(const RolloutState &state, unsigned perMille)
{
    return state.elapsed.ms * 1000 >= state.ramp.ms * static_cast<std::int64_t>(perMille);
}

RolloutStage nextStep(unsigned stage)
{
    return stage >= LAST_STAGE ? ROLLOUT_COMPLETION : ROLLOUT_STAGES[stage + 1];
}

RolloutState stateOf(const RolloutOrder &order, std::uint64_t era, Duration confirmationAge)
{
    RolloutState state;
    state.service = order.service;
    state.target = order.target;
    state.baseline = order.baseline;
    state.phase = order.phase;
    state.stage = order.stage;
    state.era = era;
    state.revision = order.revision;
    state.ramp = order.ramp;
    state.elapsed = order.elapsed;
    state.confirmationAge = confirmationAge;
    return state;
}

} // namespace

RolloutEvaluator::RolloutEvaluator(const PeerTable &peers, std::function<HostLoad()> localLoad,
                                   RolloutRegistry &registry, RolloutWatch &watch,
                                   EvaluatorOptions options)
    : m_peers(peers)
    , m_localLoad(std::move(localLoad))
    , m_registry(registry)
    , m_watch(watch)
    , m_options(options)
{}

void RolloutEvaluator::addEvidence(const ServerId &daemon, const DataCentreId &dataCentre,
                                   const ServerEvidence &evidence, TimePoint now)
{
    m_analysis.add(daemon, dataCentre, evidence, now);
}

void RolloutEvaluator::handlePeerState(const ServerId &peer, const RolloutState &state,
                                       TimePoint now)
{
    const Peer *known = m_peers.find(peer);
    if (known == nullptr || !known->watchingStore)
        return;
    for (auto &[name, progress] : m_progress) {
        const auto order = m_watch.orders().find(name);
        if (order == m_watch.orders().end() || order->second.service != state.service
            || progress.target != state.target)
            continue;
        if (state.hold)
            progress.heldUntil[peer] = now + m_options.holdLifetime;
        else
            progress.heldUntil.erase(peer);
    }
}

bool RolloutEvaluator::holds(const ServiceName &service) const
{
    return std::any_of(m_progress.begin(), m_progress.end(), [&](const auto &item) {
        const auto order = m_watch.orders().find(item.first);
        return item.second.hold && order != m_watch.orders().end()
               && order->second.service == service;
    });
}

RolloutEvaluator::Servers RolloutEvaluator::serversOf(const RolloutOrder &order) const
{
    Servers servers;
    const auto add = [&](const HostLoad &load) {
        if (load.service != order.service)
            return;
        const double running = load.running + load.queued;
        servers.running += running;
        if (load.version != order.target) {
            servers.baselineRunning += running;
        } else if (load.state == HostState::Ready) {
            servers.targets++;
            servers.warmSlots += load.cold ? 0 : load.slots;
        }
    };
    add(m_localLoad());
    for (const auto &[name, peer] : m_peers.peers()) {
        if (peer.linked && !peer.shuttingDown)
            add(peer.load);
    }
    return servers;
}

/** @return number of responsive evaluators that act before this one. */
unsigned RolloutEvaluator::rank(const ServiceName &service, TimePoint now) const
{
    const std::uint64_t own = rendezvousWeight(m_peers.self().name.text(), service.text());
    unsigned before = 0;
    for (const auto &[name, peer] : m_peers.peers()) {
        if (peer.watchingStore && !peer.shuttingDown && m_peers.isResponsive(peer, now)
            && rendezvousWeight(name.text(), service.text()) > own)
            before++;
    }
    return before;
}

EvaluatorActions RolloutEvaluator::tick(bool watching, std::uint64_t era, TimePoint now)
{
    EvaluatorActions actions;
    if (m_lastTickAt.ms != 0 && now - m_lastTickAt > m_options.pauseMax) {
        // The state and the counts of before a pause say nothing of now.
        m_analysis.clear();
        m_resumedAt = now;
        for (auto &[name, progress] : m_progress) {
            progress.dueSince = {0};
            progress.badSince = {0};
        }
    }
    m_lastTickAt = now;
    for (auto progress = m_progress.begin(); progress != m_progress.end();) {
        const bool gone = m_watch.orders().count(progress->first) == 0;
        progress = gone ? m_progress.erase(progress) : std::next(progress);
    }
    if (!watching)
        return actions;
    for (const auto &[name, order] : m_watch.orders())
        evaluate(order, era, now, actions);
    if (!m_registry.anyActive())
        m_analysis.clear();
    return actions;
}

void RolloutEvaluator::evaluate(const RolloutOrder &order, std::uint64_t era, TimePoint now,
                                EvaluatorActions &actions)
{
    const RegistryChange change
        = m_registry.learn(stateOf(order, era, now - m_watch.confirmedAt()), now);
    const auto state = m_registry.stateOf(order.service, now);
    if (!state)
        return;
    if (change.changed) {
        actions.push_back(AnnounceRollouts{});
        actions.push_back(
            RolloutNotice{change.isNew ? "rollout_order" : "rollout_state", *state, {}, "store"});
    }
    Progress &progress = m_progress[order.name];
    if (progress.target != order.target) {
        progress = Progress();
        progress.target = order.target;
        progress.stageSince = now;
    }
    if (progress.stage != order.stage || progress.phase != order.phase) {
        progress.stage = order.stage;
        progress.phase = order.phase;
        progress.stageSince = now;
        progress.dueSince = {0};
    }
    if (progress.settledSince < progress.stageSince
        || now - m_watch.confirmedAt() > m_options.confirmationMax)
        progress.settledSince = now;
    if (!isFinal(order.phase))
        decide(order, progress, *state, now, actions);
    else
        progress.hold = false;
}

const char *RolloutEvaluator::obstacle(const RolloutOrder &order, const Progress &progress,
                                       const RolloutState &state, const Servers &servers,
                                       const Analysis &analysis, TimePoint now) const
{
    const RolloutStage next = nextStep(order.stage);
    if (now - m_watch.confirmedAt() > m_options.confirmationMax
        || m_watch.confirmedAt() < m_resumedAt)
        return "unconfirmed";
    if (analysis.suspect)
        return "suspect";
    const Duration dwell = order.ramp * next.dwellPerMille / static_cast<std::int64_t>(WHOLE);
    if (!hasReached(state, next.startPerMille) || now - progress.stageSince < dwell)
        return "plan";
    const bool late = hasReached(state, next.startPerMille + FEW_ANSWERS_DELAY);
    if (order.stage > 0 && analysis.targetAnswers < m_options.answersMin && !late)
        return "evidence";
    const double needed = servers.running * m_options.capacityReserve * next.sharePerMille / WHOLE;
    if (servers.warmSlots <= 0 || servers.warmSlots < needed)
        return "capacity";
    const bool held = std::any_of(progress.heldUntil.begin(), progress.heldUntil.end(),
                                  [&](const auto &item) { return now < item.second; });
    if (held && !hasReached(state, HOLD_LIMIT))
        return "held";
    // Senders without a confirmation used the baseline servers until a moment ago.
    const bool drainOver
        = hasReached(state, DRAIN_LIMIT) && now - progress.settledSince >= order.ramp / 10;
    if (order.stage == LAST_STAGE && servers.baselineRunning > 0 && !drainOver)
        return "baseline_busy";
    return "";
}

void RolloutEvaluator::decide(const RolloutOrder &order, Progress &progress,
                              const RolloutState &state, TimePoint now, EvaluatorActions &actions)
{
    const unsigned ownRank = rank(order.service, now);
    const Servers servers = serversOf(order);
    const auto isDue = [&](TimePoint since, Duration delayPerRank) {
        return !progress.writePending && now >= progress.nextWriteAt
               && now - since >= delayPerRank * static_cast<std::int64_t>(ownRank);
    };
    const auto baseline = m_registry.baselineOf(order.service, order.target, now);
    const Analysis analysis = m_analysis.analyse(order.target, baseline, servers.targets, now);
    if (isFinal(state.phase)) {
        // The store came back from a copy of before the verdict.
        if (progress.dueSince.ms == 0)
            progress.dueSince = now;
        if (isDue(progress.dueSince, m_options.verdictDelayPerRank))
            write(order, progress, state.phase, state.stage, state, analysis, "restored", actions);
        return;
    }
    const bool started = order.phase == RolloutPhase::Active && order.stage > 0;
    const bool suspectAtLimit = analysis.suspect && hasReached(state, SUSPICION_LIMIT);
    if (started && (analysis.bad || suspectAtLimit) && !state.suspended) {
        m_registry.suspend(order.service, now);
        actions.push_back(AnnounceRollouts{});
        actions.push_back(RolloutNotice{"rollout_bad", state, analysis,
                                        analysis.bad ? "evidence" : "suspect_at_limit"});
    }
    if (started && (analysis.bad || suspectAtLimit || state.suspended)) {
        progress.hold = true;
        if (progress.badSince.ms == 0)
            progress.badSince = now;
        if (isDue(progress.badSince, m_options.verdictDelayPerRank))
            write(order, progress, RolloutPhase::RolledBack, order.stage, state, analysis,
                  analysis.bad ? "evidence" : "suspended", actions);
        return;
    }
    const char *reason
        = order.phase == RolloutPhase::Active
              ? obstacle(order, progress, state, servers, analysis, now)
              : (baseline.empty() && state.elapsed < BASELINE_WAIT ? "baseline" : "");
    const std::string why(reason);
    progress.hold = why == "suspect" || why == "capacity";
    if (why != progress.heldFor && !why.empty() && why != "plan")
        actions.push_back(RolloutNotice{"rollout_held", state, analysis, reason});
    progress.heldFor = reason;
    if (!why.empty()) {
        progress.dueSince = {0};
        return;
    }
    if (progress.dueSince.ms == 0)
        progress.dueSince = now;
    if (!isDue(progress.dueSince, m_options.stageDelayPerRank))
        return;
    if (order.phase != RolloutPhase::Active)
        write(order, progress, RolloutPhase::Active, 0, state, analysis, "order", actions);
    else if (order.stage < LAST_STAGE)
        write(order, progress, RolloutPhase::Active, order.stage + 1, state, analysis, "plan",
              actions);
    else
        write(order, progress, RolloutPhase::Completed, order.stage, state, analysis, "plan",
              actions);
}

void RolloutEvaluator::write(const RolloutOrder &order, Progress &progress, RolloutPhase phase,
                             unsigned stage, const RolloutState &state, const Analysis &analysis,
                             const char *reason, EvaluatorActions &actions)
{
    WriteRolloutStatus action{order};
    action.order.phase = phase;
    action.order.stage = stage;
    action.order.elapsed = state.elapsed;
    if (action.order.baseline.empty())
        action.order.baseline = m_registry.baselineOf(order.service, order.target, m_lastTickAt);
    progress.writePending = true;
    RolloutState intended = state;
    intended.phase = phase;
    intended.stage = stage;
    actions.push_back(RolloutNotice{isFinal(phase) ? "rollout_verdict" : "rollout_stage", intended,
                                    analysis, reason});
    actions.push_back(std::move(action));
}

void RolloutEvaluator::handleWrite(const std::string &name,
                                   const Result<RolloutWriteAnswer> &answer, TimePoint now)
{
    const auto progress = m_progress.find(name);
    if (progress != m_progress.end())
        progress->second.writePending = false;
    if (!answer) {
        if (progress != m_progress.end())
            progress->second.nextWriteAt = now + m_options.writeRetryDelay;
        // The write may have been done; what is in force is read before the next step.
        m_watch.requestList();
        return;
    }
    if (answer.value().missing)
        m_watch.handleMissing(name);
    else if (answer.value().order)
        m_watch.handleObject(*answer.value().order);
}

} // namespace cornelwell
