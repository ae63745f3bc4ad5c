/** @file fleet_model.cpp Event loop, daemons, links, server reports and route versions of the
 * simulated fleet. */
#include "fleet_model.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cornelwell {

namespace {

constexpr Duration TICK_INTERVAL{200};           ///< Between two ticks of a daemon.
constexpr Duration REPORT_INTERVAL{1500};        ///< Between two reports of a server.
constexpr std::uint64_t DELAYED_PER_MILLE = 100; ///< Share of messages that DelayMessages delays.
constexpr Duration RETRANSMISSION_DELAY{300};    ///< Mean delay of such a message, jittered.
constexpr Duration LINK_TIMEOUT{1700};           ///< A daemon closes a broken link after this.
constexpr Duration STORE_TIMEOUT{1200};  ///< A daemon gives up an unanswered store call after this.
constexpr Duration RESTART_DELAY{700};   ///< A killed daemon restarts after this.
constexpr Duration WARM_UP_PERIOD{2000}; ///< Callers start after this, when daemons are linked.
constexpr double REPEATED_RUNS_RATIO = 0.2; ///< Allowed repeated runs per request.
constexpr double REPEATED_RUNS_SLACK = 64;  ///< Repeated runs allowed besides, in each 10 s.

} // namespace

FleetModel::FleetModel(const ModelOptions &options)
    : m_options(options), m_random(options.seed), m_end(m_now + options.duration)
{
    Route route;
    route.host = "h";
    route.timeout = {3000};
    route.split = {{ServiceName("desk"), 1}};
    route.prefix = "/";
    route.name = "r";
    m_document.routes = {route};
    m_document.services = {{ServiceName("desk"), 100}};
    constexpr double SPEEDS[] = {0.6, 1.0, 1.4};
    m_nodes.resize(options.daemons);
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        Node &node = m_nodes[i];
        node.centre = i % options.centres;
        node.record = {ServerId("d" + std::to_string(i)),
                       DataCentreId("c" + std::to_string(node.centre)),
                       {"127.0.0.1", static_cast<std::uint16_t>(i + 1)},
                       ServiceName("desk"),
                       0};
        node.server.speed = SPEEDS[(i / options.centres) % std::size(SPEEDS)];
        node.server.instance = "s" + std::to_string(i);
        startNode(i);
    }
}

void FleetModel::schedule(Duration delay, std::function<void()> run)
{
    m_events.push({(m_now + delay).ms, ++m_lastEventOrder, std::move(run)});
}

/** Schedules an event on a VM. A frozen VM runs the event when it resumes. */
void FleetModel::scheduleOnNode(std::size_t index, Duration delay, std::function<void()> run)
{
    schedule(delay, [this, index, run = std::move(run)] {
        const auto frozen = m_frozenUntil.find(index);
        if (frozen == m_frozenUntil.end() || frozen->second <= m_now) {
            run();
            return;
        }
        scheduleOnNode(index, frozen->second - m_now, run);
    });
}

void FleetModel::recordViolation(const std::string &what)
{
    m_report.violations.push_back(std::to_string(m_now.ms) + ": " + what);
}

std::optional<std::size_t> FleetModel::indexOf(const ServerId &name) const
{
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (m_nodes[i].record.name == name)
            return i;
    }
    return std::nullopt;
}

void FleetModel::startNode(std::size_t index)
{
    Node &node = m_nodes[index];
    node.record.incarnation = ++m_incarnation;
    node.up = true;
    node.appliedVersion = 0;
    node.table = std::make_unique<PeerTable>(node.record, PeerOptions());
    node.budget = std::make_unique<ServiceRetryBudget>(
        ServiceRetryBudgetOptions{REPEATED_RUNS_RATIO * 0.55, REPEATED_RUNS_SLACK, seconds(10)});
    node.scheduler = std::make_unique<HostScheduler>(m_options.host);
    node.dispatcher = std::make_unique<Dispatcher>(
        *node.table, *node.budget, [this, index] { return m_nodes[index].scheduler->load(m_now); },
        m_options.dispatch, m_random.bits());
    node.replicator
        = std::make_unique<RouteReplicator>(*node.table, m_options.replication, m_random.bits());
    node.unlinkedPeers.clear();
    node.peerIncarnations.clear();
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (i != index)
            node.unlinkedPeers.insert(i);
    }
    performActions(index, node.replicator->start(m_now));
    const std::uint64_t incarnation = node.record.incarnation;
    scheduleOnNode(index, m_random.jitter({50}), [this, index, incarnation] {
        if (m_nodes[index].up && m_nodes[index].record.incarnation == incarnation)
            tick(index);
    });
    scheduleOnNode(index, m_random.jitter({300}), [this, index, incarnation] {
        if (m_nodes[index].up && m_nodes[index].record.incarnation == incarnation)
            reportServer(index, m_nodes[index].server.isDraining);
    });
}

void FleetModel::killNode(std::size_t index)
{
    Node &node = m_nodes[index];
    node.up = false;
    // Status 0 tells the caller that its connection is closed.
    for (const auto &[requestId, submission] : node.submissions)
        handleResponse(index, requestId, 0, {0});
    node.submissions.clear();
    node.hostedCalls.clear();
    node.outcomes.clear();
    for (const HostCallId id : node.running)
        node.calls.erase(id);
    node.running.clear();
    node.calls.clear();
    schedule(RESTART_DELAY, [this, index] { startNode(index); });
}

bool FleetModel::connected(std::size_t a, std::size_t b) const
{
    const bool partitioned = m_partitionedCentre
                             && (m_nodes[a].centre == *m_partitionedCentre)
                                    != (m_nodes[b].centre == *m_partitionedCentre);
    return m_nodes[a].up && m_nodes[b].up && !partitioned;
}

/** @return whether messages pass in both directions, which a link needs to open and to stay open.
 */
bool FleetModel::canLink(std::size_t a, std::size_t b) const
{
    return connected(a, b) && m_sendLossDaemons.count(a) == 0 && m_sendLossDaemons.count(b) == 0;
}

void FleetModel::send(std::size_t from, std::size_t to, std::function<void()> deliver)
{
    m_report.messages++;
    if (m_nodes[from].centre != m_nodes[to].centre)
        m_report.crossCentreMessages++;
    const std::uint64_t incarnationSum
        = m_nodes[from].record.incarnation + m_nodes[to].record.incarnation;
    if (m_sendLossDaemons.count(from) != 0)
        return;
    const bool retransmitted = m_delaysMessages && m_random.chance(DELAYED_PER_MILLE);
    const Duration delay = retransmitted ? m_random.jitter(RETRANSMISSION_DELAY) : Duration{1};
    scheduleOnNode(to, delay, [this, from, to, incarnationSum, deliver = std::move(deliver)] {
        if (connected(from, to)
            && incarnationSum == m_nodes[from].record.incarnation + m_nodes[to].record.incarnation)
            deliver();
    });
}

/** Updates links as src/node does: a link is lost after LINK_TIMEOUT without messages and opens
 * again when the peer is reachable. */
void FleetModel::updateLinks(std::size_t index)
{
    Node &node = m_nodes[index];
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (i == index)
            continue;
        const bool reachable = canLink(index, i);
        if (node.unlinkedPeers.count(i) != 0 && reachable) {
            node.unlinkedPeers.erase(i);
            node.table->addOrUpdate(m_nodes[i].record, true);
            Peer &peer = *node.table->find(m_nodes[i].record.name);
            std::uint64_t &knownIncarnation = node.peerIncarnations[i];
            const bool restarted
                = knownIncarnation != 0 && knownIncarnation != m_nodes[i].record.incarnation;
            knownIncarnation = m_nodes[i].record.incarnation;
            peer.linked = true;
            peer.linkedSince = m_now;
            peer.lastMessageAt = m_now;
            applyDecisions(i, m_nodes[i].scheduler->handleRestrictions(peer.restrictions, m_now));
            peer.recordLoad(m_nodes[i].scheduler->load(m_now), m_now);
            if (const Peer *self = m_nodes[i].table->find(node.record.name))
                applyDecisions(index,
                               node.scheduler->handleRestrictions(self->restrictions, m_now));
            peer.version = m_nodes[i].replicator->version();
            performActions(index,
                           node.dispatcher->linkOpened(m_nodes[i].record.name, restarted, m_now));
        } else if (node.unlinkedPeers.count(i) == 0 && !reachable) {
            Peer *peer = node.table->find(m_nodes[i].record.name);
            const bool receivesNothing
                = peer != nullptr && m_now - peer->lastMessageAt >= LINK_TIMEOUT;
            // Sent data that is never acknowledged also closes a link.
            const bool sendsNothing
                = m_sendLossDaemons.count(index) != 0 && m_now - m_sendLossSince >= LINK_TIMEOUT;
            if (peer == nullptr || !(receivesNothing || sendsNothing))
                continue;
            node.unlinkedPeers.insert(i);
            peer->linked = false;
            performActions(index, node.dispatcher->linkLost(m_nodes[i].record.name, m_now));
        }
    }
}

void FleetModel::tick(std::size_t index)
{
    Node &node = m_nodes[index];
    updateLinks(index);
    node.budget->setDaemonCount(node.table->responsiveDaemonCount(m_now));
    applyDecisions(index, node.scheduler->tick(m_now));
    performActions(index, node.replicator->tick(m_now));
    sendState(index);
    const std::uint64_t incarnation = node.record.incarnation;
    scheduleOnNode(index, TICK_INTERVAL, [this, index, incarnation] {
        if (m_nodes[index].up && m_nodes[index].record.incarnation == incarnation)
            tick(index);
    });
}

void FleetModel::sendRoutes(std::size_t from, std::size_t to, const RouteUpdate &update)
{
    const ServerId sender = m_nodes[from].record.name;
    send(from, to, [this, to, sender, update] {
        performActions(to, m_nodes[to].replicator->handleUpdate(sender, update, m_now));
    });
}

/** Sends load and replication state to the given peers, or to all peers if `peers` is null. */
void FleetModel::sendState(std::size_t index, const std::vector<ServerId> *peers)
{
    const HostLoad load = m_nodes[index].scheduler->load(m_now);
    const Revision version = m_nodes[index].replicator->version();
    const Duration age = m_nodes[index].replicator->storeAge(m_now);
    const bool watching = m_nodes[index].replicator->isWatching();
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (i == index || m_nodes[i].unlinkedPeers.count(index) != 0)
            continue;
        if (peers != nullptr
            && std::find(peers->begin(), peers->end(), m_nodes[i].record.name) == peers->end())
            continue;
        send(index, i, [this, index, i, load, version, age, watching] {
            Peer *peer = m_nodes[i].table->find(m_nodes[index].record.name);
            if (peer == nullptr)
                return;
            peer->lastMessageAt = m_now;
            peer->recordLoad(load, m_now);
            peer->callsInFlightAtReport = peer->callsInFlight;
            peer->version = version;
            peer->storeAge = age;
            peer->watchingStore = watching;
            performActions(i, m_nodes[i].replicator->tick(m_now));
        });
    }
}

void FleetModel::reportServer(std::size_t index, bool draining)
{
    Node &node = m_nodes[index];
    if (node.server.up) {
        ServerReport report;
        report.instance = node.server.instance;
        report.service = ServiceName("desk");
        report.slots = m_options.slots;
        report.draining = draining;
        report.startTimeMs = node.server.restarts + 1;
        report.sequence = static_cast<std::uint64_t>(m_now.ms);
        if (draining)
            node.server.drainingSince = std::min(node.server.drainingSince, m_now);
        applyDecisions(index, node.scheduler->handleReport(report, m_now));
    }
    const std::uint64_t incarnation = node.record.incarnation;
    scheduleOnNode(index, REPORT_INTERVAL, [this, index, incarnation] {
        if (m_nodes[index].up && m_nodes[index].record.incarnation == incarnation)
            reportServer(index, m_nodes[index].server.isDraining);
    });
}

Result<StoredRoutes> FleetModel::storeResponse(std::size_t index, bool watch)
{
    if (m_storeUnavailable
        || (m_partitionedCentre && m_nodes[index].centre == *m_partitionedCentre))
        return fail(ResultCode::PlatformUnknown, "no answer");
    if (m_throttledDaemons.count(index) != 0)
        return fail(ResultCode::PlatformThrottled, "turned away");
    if (watch && m_watchHistoryLost)
        return fail(ResultCode::PlatformHistoryGone, "forgotten");
    StoredRoutes routes;
    routes.storeRevision = m_publishedVersion;
    RouteDocument document = m_document;
    document.version = m_publishedVersion;
    routes.document = Result<RouteDocument>(document);
    return routes;
}

void FleetModel::performActions(std::size_t index, const ReplicationActions &actions)
{
    const std::uint64_t incarnation = m_nodes[index].record.incarnation;
    const auto scheduleResponse = [this, index, incarnation](bool watch, Duration delay) {
        scheduleOnNode(
            index, m_storeUnavailable ? STORE_TIMEOUT : delay, [this, index, incarnation, watch] {
                Node &node = m_nodes[index];
                if (!node.up || node.record.incarnation != incarnation)
                    return;
                const Result<StoredRoutes> result = storeResponse(index, watch);
                performActions(index, watch ? node.replicator->handleWatchAnswer(result, m_now)
                                            : node.replicator->handleReadAnswer(result, m_now));
            });
    };
    for (const ReplicationAction &action : actions) {
        if (std::holds_alternative<ReadRoutes>(action))
            scheduleResponse(false, {4});
        else if (const auto *watch = std::get_if<WatchRoutes>(&action))
            scheduleResponse(true, watch->storeRevision < m_publishedVersion ? Duration{4}
                                                                             : Duration{300});
        else if (const auto *push = std::get_if<PushRoutes>(&action)) {
            for (const ServerId &peer : push->peers)
                sendRoutes(index, *indexOf(peer), push->update);
        } else if (const auto *request = std::get_if<RequestRoutes>(&action)) {
            const std::size_t to = *indexOf(request->peer);
            send(index, to, [this, index, to, have = request->currentVersion] {
                if (const auto update = m_nodes[to].replicator->updateSince(have))
                    sendRoutes(to, index, *update);
            });
        } else if (const auto *announce = std::get_if<AnnounceVersion>(&action)) {
            sendState(index, announce->toAllPeers ? nullptr : &announce->peers);
        } else if (const auto *apply = std::get_if<ApplyRoutes>(&action)) {
            Node &node = m_nodes[index];
            if (apply->table->version() < node.appliedVersion)
                recordViolation("a daemon went back to an older version");
            node.appliedVersion = apply->table->version();
            if (node.appliedVersion == m_publishedVersion && m_outdatedDaemons.erase(index) != 0
                && m_outdatedDaemons.empty())
                m_report.replicationMsMax
                    = std::max(m_report.replicationMsMax, (m_now - m_publishedAt).ms);
        }
    }
}

/** Counts the age of the newest version if some daemons have not applied it yet. */
void FleetModel::recordReplicationTime()
{
    if (!m_outdatedDaemons.empty())
        m_report.replicationMsMax = std::max(m_report.replicationMsMax, (m_now - m_publishedAt).ms);
}

void FleetModel::publishVersion()
{
    // Operators cannot publish while the store does not respond.
    if (m_storeUnavailable)
        return;
    m_publishedVersion += 1 + m_random.below(3);
    m_document.routes.front().latencyTarget
        = {static_cast<std::int64_t>(1000 + m_publishedVersion)};
    recordReplicationTime();
    m_publishedAt = m_now;
    m_outdatedDaemons.clear();
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (m_nodes[i].up)
            m_outdatedDaemons.insert(i);
    }
}

ModelReport FleetModel::run()
{
    const auto durationMs = static_cast<std::int64_t>(m_options.duration.ms);
    const TimePoint start = m_now;
    schedule(WARM_UP_PERIOD, [this] { handleArrival(); });
    schedule(m_options.duration / 3, [this] { startDisruption(); });
    for (std::int64_t ms = 3000; ms < durationMs - 4000; ms += 2500)
        schedule({ms}, [this] { publishVersion(); });
    const TimePoint lastEventAt = m_end + seconds(4);
    while (!m_events.empty() && m_events.top().at <= lastEventAt.ms) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = {event.at};
        event.run();
    }
    recordReplicationTime();
    const double requests = m_report.requests;
    const double budgetWindows = std::max(1.0, static_cast<double>((m_end - start).ms) / 10000);
    if (m_report.repeatedRuns
        > requests * REPEATED_RUNS_RATIO + REPEATED_RUNS_SLACK * budgetWindows)
        recordViolation("more repeats than the budget");
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (m_nodes[i].replicator->version() != m_publishedVersion)
            recordViolation("a daemon is behind at the end");
    }
    return m_report;
}

ModelReport runModel(const ModelOptions &options)
{
    FleetModel model(options);
    return model.run();
}

} // namespace cornelwell
