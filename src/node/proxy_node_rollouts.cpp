/** @file proxy_node_rollouts.cpp Roll-outs: store calls, states and evidence of peers, logs. */
#include "node/proxy_node.h"

#include "base/result_code_func.h"
#include "rollout/stage_plan.h"

namespace cornelwell {

namespace {

constexpr Duration LIST_TIMEOUT{1500};         ///< Longest wait for a page of orders.
constexpr Duration WATCH_TIMEOUT_MARGIN{1500}; ///< A watch times out this long after its wait.
constexpr Duration WRITE_TIMEOUT{1500};        ///< Longest wait for the answer to a status write.
/**
 * Interval of the states that carry confirmations and evidence while an order is active. Heartbeats
 * do not serve, since links with results carry none. Only evaluators send to all peers, the others
 * send their counts to evaluators: else each daemon of a large fleet would send 20 KB/s.
 */
constexpr Duration ANNOUNCE_INTERVAL{600};

void addState(LogFields &fields, const RolloutState &state)
{
    fields.add("service", state.service.text());
    fields.add("target", state.target);
    fields.add("phase", rolloutPhaseName(state.phase));
    fields.add("stage", std::uint64_t{state.stage});
    fields.add("share_per_mille", std::uint64_t{shareOfStage(state.stage)});
    fields.add("suspended", std::int64_t{state.suspended ? 1 : 0});
    fields.add("era", state.era);
    fields.add("revision", state.revision);
    fields.add("elapsed_ms", state.elapsed.ms);
    fields.add("ramp_ms", state.ramp.ms);
    fields.add("confirmed_ms_ago", state.confirmationAge.ms);
}

void addAnalysis(LogFields &fields, const Analysis &analysis)
{
    fields.add("bad_route", analysis.route);
    fields.add("by", analysis.byTime ? "time" : "failures");
    fields.add("servers", std::uint64_t{analysis.servers});
    fields.add("bad_servers", std::uint64_t{analysis.badServers});
    fields.add("answers", analysis.answers);
    fields.add("failures", analysis.failures);
    fields.add("target_ms", analysis.targetMs);
    fields.add("baseline_ms", analysis.baselineMs);
    fields.add("baseline_failure_share", analysis.baselineFailureShare);
    fields.add("target_answers", analysis.targetAnswers);
}

} // namespace

void ProxyNode::startRollouts(std::uint64_t seed)
{
    m_rollouts = std::make_unique<NodeRollouts>(
        m_loop, m_settings.store, m_peers,
        [this] { return m_shutdown.hasBegun() ? HostLoad() : m_hostCalls.load(); }, seed);
    m_dispatcher.setRollouts(&m_rollouts->registry);
}

void ProxyNode::tickRollouts()
{
    if (!m_rollouts)
        return;
    const TimePoint now = m_loop.now();
    updateOwnServer();
    if (m_rollouts->registry.isActive(m_hostCalls.load().service))
        m_rollouts->evaluator.addEvidence(m_settings.self.name, m_settings.self.dataCentre,
                                          m_rollouts->evidence.evidence(), now);
    m_rollouts->registry.tick(now);
    evaluateRollouts();
    if (const auto action
        = m_rollouts->watch.tick(m_replicator.isWatching() && !m_shutdown.hasBegun(),
                                 m_rollouts->registry.anyActive(), now))
        std::visit([this](const auto &one) { perform(one); }, *action);
    announceRollouts();
    setRolloutGauges();
}

/** Sends confirmations to all peers from an evaluator, and counts to evaluators from the others. */
void ProxyNode::announceRollouts()
{
    const TimePoint now = m_loop.now();
    if (!m_rollouts->registry.anyActive() || now < m_rollouts->nextAnnounceAt)
        return;
    m_rollouts->nextAnnounceAt = now + ANNOUNCE_INTERVAL;
    if (m_replicator.isWatching()) {
        m_links.announceState();
    } else if (m_rollouts->registry.isActive(m_hostCalls.load().service)) {
        std::vector<ServerId> evaluators;
        for (const auto &[name, peer] : m_peers.peers()) {
            if (peer.watchingStore)
                evaluators.push_back(name);
        }
        m_links.announceState(evaluators);
    }
}

void ProxyNode::setRolloutGauges()
{
    for (const RolloutState &state : m_rollouts->registry.statesToTell(m_loop.now())) {
        const std::string labels = "service=\"" + state.service.text() + "\"";
        m_metrics.set("rollout_share_per_mille", labels,
                      m_rollouts->registry.ruleFor(state.service, m_loop.now()).sharePerMille);
        m_metrics.set("rollout_confirmation_age_ms", labels,
                      static_cast<double>(state.confirmationAge.ms));
    }
}

void ProxyNode::updateOwnServer()
{
    const HostLoad load = m_hostCalls.load();
    m_rollouts->evidence.setServer(load.instance, load.version);
    m_rollouts->ownServerCold = load.cold;
    const bool rolledBack = m_rollouts->registry.isRolledBack(load.service, load.version);
    if (rolledBack && !m_rollouts->ownVersionRolledBack)
        m_log.logStateChange("server_version_rolled_back", [&](LogFields &fields) {
            fields.add("instance", load.instance);
            fields.add("version", load.version);
        });
    m_rollouts->ownVersionRolledBack = rolledBack;
}

void ProxyNode::evaluateRollouts()
{
    const auto actions = m_rollouts->evaluator.tick(
        m_replicator.isWatching() && !m_shutdown.hasBegun(), m_storeEra.current(), m_loop.now());
    for (const EvaluatorAction &action : actions)
        std::visit([this](const auto &one) { perform(one); }, action);
    for (const StoredRollout &refused : m_rollouts->watch.takeRefused()) {
        m_log.logStateChange("rollout_refused", [&](LogFields &fields) {
            fields.add("code", std::int64_t{resultCodeNumber(refused.order.error().code)});
            fields.add("detail", refused.order.error().detail);
            fields.add("where", refused.order.error().where);
            fields.add("name", refused.name);
            fields.add("revision", refused.revision);
        });
    }
}

void ProxyNode::perform(const ListRollouts &action)
{
    const TimePoint sentAt = m_loop.now();
    m_rollouts->watchClient.call(m_adapter.listRolloutsRequest(action.after), LIST_TIMEOUT,
                                 [this, sentAt](const Result<HttpResponse> &response) {
                                     const auto read
                                         = parseStoreAnswer(response, StoreCallGroup::RolloutCalls,
                                                            &PlatformAdapter::parseRolloutList);
                                     if (read)
                                         logFaults(read.value().faults, "rollouts");
                                     m_rollouts->watch.handleList(read, sentAt, m_loop.now());
                                     evaluateRollouts();
                                 });
}

void ProxyNode::perform(const WatchRollouts &action)
{
    const TimePoint sentAt = m_loop.now();
    m_rollouts->watchClient.call(
        m_adapter.watchRolloutsRequest(action.storeRevision, action.wait),
        action.wait + WATCH_TIMEOUT_MARGIN, [this, sentAt](const Result<HttpResponse> &response) {
            const auto read = parseStoreAnswer(response, StoreCallGroup::RolloutCalls,
                                               &PlatformAdapter::parseRolloutWatch);
            if (read)
                logFaults(read.value().faults, "rollouts");
            m_rollouts->watch.handleWatch(read, sentAt, m_loop.now());
            evaluateRollouts();
        });
}

void ProxyNode::perform(const WriteRolloutStatus &action)
{
    m_storeClient.call(
        m_adapter.writeRolloutRequest(action.order), WRITE_TIMEOUT,
        [this, order = action.order](const Result<HttpResponse> &response) {
            const auto answer = parseStoreAnswer(response, StoreCallGroup::RolloutCalls,
                                                 &PlatformAdapter::parseRolloutWrite);
            m_log.logStateChange("rollout_written", [&](LogFields &fields) {
                fields.add("service", order.service.text());
                fields.add("phase", rolloutPhaseName(order.phase));
                fields.add("stage", std::uint64_t{order.stage});
                fields.add("condition", order.revision);
                fields.add("written", std::int64_t{answer && answer.value().written ? 1 : 0});
                if (!answer) {
                    fields.add("code", std::int64_t{resultCodeNumber(answer.error().code)});
                    fields.add("detail", answer.error().detail);
                }
            });
            m_rollouts->evaluator.handleWrite(order.name, answer, m_loop.now());
            evaluateRollouts();
        });
}

void ProxyNode::perform(const AnnounceRollouts &)
{
    updateOwnServer();
    m_links.announceState();
}

void ProxyNode::perform(const RolloutNotice &action)
{
    m_log.logStateChange(action.event, [&](LogFields &fields) {
        fields.add("reason", action.reason);
        addState(fields, action.state);
        addAnalysis(fields, action.analysis);
    });
}

void ProxyNode::addRollouts(LinkDaemonState &state) const
{
    if (!m_rollouts)
        return;
    state.rollouts = m_rollouts->registry.statesToTell(m_loop.now());
    for (RolloutState &rollout : state.rollouts)
        rollout.hold = m_rollouts->evaluator.holds(rollout.service);
    if (m_rollouts->registry.isActive(state.load.service)
        && !m_rollouts->evidence.evidence().instance.empty())
        state.evidence = m_rollouts->evidence.evidence();
}

void ProxyNode::learnRollouts(const Peer &peer, const LinkDaemonState &state)
{
    if (!m_rollouts)
        return;
    const TimePoint now = m_loop.now();
    const ServerId &name = peer.record.name;
    bool tellPeers = false;
    for (const RolloutState &rollout : state.rollouts) {
        const RegistryChange change = m_rollouts->registry.learn(rollout, now);
        m_rollouts->evaluator.handlePeerState(name, rollout, now);
        if (!change.changed)
            continue;
        // An evaluator of the own data centre has told the others here as well.
        tellPeers = tellPeers || !peer.watchingStore
                    || peer.record.dataCentre != m_settings.self.dataCentre;
        m_log.logStateChange(change.isNew ? "rollout_order" : "rollout_state",
                             [&](LogFields &fields) {
                                 fields.add("source", name.text());
                                 addState(fields, rollout);
                             });
    }
    if (state.evidence && m_rollouts->registry.isActive(state.load.service))
        m_rollouts->evaluator.addEvidence(name, peer.record.dataCentre, *state.evidence, now);
    if (!state.rollouts.empty())
        updateOwnServer();
    if (tellPeers)
        m_links.announceState();
}

bool ProxyNode::refuseRolledBack(const CallOrigin &origin)
{
    if (!m_rollouts || !m_rollouts->ownVersionRolledBack)
        return false;
    HostOutcome outcome;
    outcome.state = RunState::NotRun;
    outcome.reason = HostReason::NoServer;
    callCompleted(origin, outcome);
    return true;
}

void ProxyNode::countRolloutRequest(const SendOffer &offer)
{
    if (!m_rollouts)
        return;
    const RequestAttributes &attributes = *m_dispatcher.attributes(offer.request);
    const VersionRule &rule = m_rollouts->registry.ruleFor(attributes.service, m_loop.now());
    if (!rule.hasTarget)
        return;
    const Peer *peer = m_peers.find(offer.daemon);
    const bool isTarget
        = (peer != nullptr ? peer->load.version : m_hostCalls.load().version) == rule.target;
    m_metrics.count(isTarget ? "rollout_target_requests_total" : "rollout_baseline_requests_total",
                    "service=\"" + attributes.service.text() + "\"");
}

void ProxyNode::requestMeasured(const std::string &route, HostFinish finish, Duration time,
                                bool nestedFailure)
{
    if (!m_rollouts || finish == HostFinish::Shed)
        return;
    const bool failed = finish == HostFinish::Failed || finish == HostFinish::Broken;
    const EvidenceKind kind = finish == HostFinish::Cancelled ? EvidenceKind::Aborted
                              : failed && !nestedFailure      ? EvidenceKind::Failed
                                                              : EvidenceKind::Served;
    m_rollouts->evidence.record(route, kind, time, m_rollouts->ownServerCold);
}

} // namespace cornelwell
