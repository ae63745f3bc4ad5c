/** @file fleet_model.cpp The day: daemons, links, servers, versions and disturbances around real
 * decisions.
 */
#include "fleet_model.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cornelwell {

namespace {

constexpr Duration TICK{200};
constexpr Duration REPORT{1500};
constexpr std::uint64_t LATE_PER_MILLE = 100;
constexpr Duration SENT_AGAIN{300};     ///< How late such a message is.
constexpr Duration SILENCE{1700};       ///< A broken link is noticed after this.
constexpr Duration STORE_TIMEOUT{1200}; ///< A call of a silent store is given up after this.
constexpr Duration RESTART{700};        ///< A killed daemon is back after this.
constexpr Duration WARM_UP{2000};       ///< Daemons find each other before callers come.
constexpr double BUDGET_RATIO = 0.2;    ///< Repeats allowed by the rules: this share of requests
constexpr double BUDGET_SLACK = 64;     ///< and this many.

} // namespace

FleetModel::FleetModel(const ModelOptions &options)
    : m_options(options), m_random(options.seed), m_end(m_now + options.length)
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

void FleetModel::at(Duration delay, std::function<void()> run)
{
    m_events.push({(m_now + delay).ms, ++m_order, std::move(run)});
}

/** What a VM does later; one that stands still does it when it wakes. */
void FleetModel::atNode(std::size_t index, Duration delay, std::function<void()> run)
{
    at(delay, [this, index, run = std::move(run)] {
        const auto thaw = m_thaw.find(index);
        if (thaw == m_thaw.end() || thaw->second <= m_now) {
            run();
            return;
        }
        atNode(index, thaw->second - m_now, run);
    });
}

void FleetModel::broken(const std::string &what)
{
    m_report.broken.push_back(std::to_string(m_now.ms) + ": " + what);
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
    node.seen = 0;
    node.table = std::make_unique<PeerTable>(node.record, PeerOptions());
    node.budget = std::make_unique<ServiceRetryBudget>(
        ServiceRetryBudgetOptions{BUDGET_RATIO * 0.55, BUDGET_SLACK, seconds(10)});
    node.gate = std::make_unique<HostScheduler>(m_options.host);
    node.dispatcher = std::make_unique<Dispatcher>(
        *node.table, *node.budget, [this, index] { return m_nodes[index].gate->load(m_now); },
        m_options.dispatch, m_random.bits());
    node.replicator
        = std::make_unique<RouteReplicator>(*node.table, m_options.replication, m_random.bits());
    node.lost.clear();
    node.known.clear();
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (i != index)
            node.lost.insert(i);
    }
    perform(index, node.replicator->start(m_now));
    const std::uint64_t life = node.record.incarnation;
    atNode(index, m_random.jitter({50}), [this, index, life] {
        if (m_nodes[index].up && m_nodes[index].record.incarnation == life)
            tick(index);
    });
    atNode(index, m_random.jitter({300}), [this, index, life] {
        if (m_nodes[index].up && m_nodes[index].record.incarnation == life)
            report(index, m_nodes[index].server.leaving);
    });
}

void FleetModel::killNode(std::size_t index)
{
    Node &node = m_nodes[index];
    node.up = false;
    for (const auto &[requestId, one] : node.tries)
        answered(index, requestId, 0, {0});
    node.tries.clear();
    node.hosted.clear();
    node.kept.clear();
    for (const HostCallId id : node.running)
        node.calls.erase(id);
    node.running.clear();
    node.calls.clear();
    at(RESTART, [this, index] { startNode(index); });
}

bool FleetModel::connected(std::size_t a, std::size_t b) const
{
    const bool cut = m_cut && (m_nodes[a].centre == *m_cut) != (m_nodes[b].centre == *m_cut);
    return m_nodes[a].up && m_nodes[b].up && !cut;
}

/** A link opens, and stays, only when both ways are open. */
bool FleetModel::linkable(std::size_t a, std::size_t b) const
{
    return connected(a, b) && m_mute.count(a) == 0 && m_mute.count(b) == 0;
}

void FleetModel::send(std::size_t from, std::size_t to, std::function<void()> deliver)
{
    m_report.messages++;
    if (m_nodes[from].centre != m_nodes[to].centre)
        m_report.cross++;
    const std::uint64_t lives = m_nodes[from].record.incarnation + m_nodes[to].record.incarnation;
    if (m_mute.count(from) != 0)
        return;
    const bool again = m_lossy && m_random.chance(LATE_PER_MILLE);
    const Duration way = again ? m_random.jitter(SENT_AGAIN) : Duration{1};
    atNode(to, way, [this, from, to, lives, deliver = std::move(deliver)] {
        if (connected(from, to)
            && lives == m_nodes[from].record.incarnation + m_nodes[to].record.incarnation)
            deliver();
    });
}

/** Opens and loses links as the shell does: lost after silence, open again when reachable. */
void FleetModel::links(std::size_t index)
{
    Node &node = m_nodes[index];
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (i == index)
            continue;
        const bool reachable = linkable(index, i);
        if (node.lost.count(i) != 0 && reachable) {
            node.lost.erase(i);
            node.table->addOrUpdate(m_nodes[i].record, true);
            Peer &peer = *node.table->find(m_nodes[i].record.name);
            std::uint64_t &known = node.known[i];
            const bool restarted = known != 0 && known != m_nodes[i].record.incarnation;
            known = m_nodes[i].record.incarnation;
            peer.linked = true;
            peer.linkedSince = m_now;
            peer.lastMessageAt = m_now;
            peer.load = m_nodes[i].gate->load(m_now);
            peer.version = m_nodes[i].replicator->version();
            perform(index, node.dispatcher->linkOpened(m_nodes[i].record.name, restarted, m_now));
        } else if (node.lost.count(i) == 0 && !reachable) {
            Peer *peer = node.table->find(m_nodes[i].record.name);
            const bool unheard = peer != nullptr && m_now - peer->lastMessageAt >= SILENCE;
            // What is sent and never acknowledged ends a link too.
            const bool unsent = m_mute.count(index) != 0 && m_now - m_muteSince >= SILENCE;
            if (peer == nullptr || !(unheard || unsent))
                continue;
            node.lost.insert(i);
            peer->linked = false;
            perform(index, node.dispatcher->linkLost(m_nodes[i].record.name, m_now));
        }
    }
}

void FleetModel::tick(std::size_t index)
{
    Node &node = m_nodes[index];
    links(index);
    node.budget->setDaemonCount(node.table->responsiveDaemonCount(m_now));
    carryOut(index, node.gate->tick(m_now));
    perform(index, node.replicator->tick(m_now));
    tellState(index);
    const std::uint64_t life = node.record.incarnation;
    atNode(index, TICK, [this, index, life] {
        if (m_nodes[index].up && m_nodes[index].record.incarnation == life)
            tick(index);
    });
}

void FleetModel::sendRoutes(std::size_t from, std::size_t to, const RouteUpdate &update)
{
    const ServerId sender = m_nodes[from].record.name;
    send(from, to, [this, to, sender, update] {
        perform(to, m_nodes[to].replicator->handleUpdate(sender, update, m_now));
    });
}

/** Tells the state to some peers; to all when none are named. */
void FleetModel::tellState(std::size_t index, const std::vector<ServerId> *peers)
{
    const HostLoad load = m_nodes[index].gate->load(m_now);
    const Revision version = m_nodes[index].replicator->version();
    const Duration age = m_nodes[index].replicator->storeAge(m_now);
    const bool watching = m_nodes[index].replicator->isWatching();
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (i == index || m_nodes[i].lost.count(index) != 0)
            continue;
        if (peers != nullptr
            && std::find(peers->begin(), peers->end(), m_nodes[i].record.name) == peers->end())
            continue;
        send(index, i, [this, index, i, load, version, age, watching] {
            Peer *peer = m_nodes[i].table->find(m_nodes[index].record.name);
            if (peer == nullptr)
                return;
            peer->lastMessageAt = m_now;
            peer->load = load;
            peer->callsInFlightAtReport = peer->callsInFlight;
            peer->version = version;
            peer->storeAge = age;
            peer->watchingStore = watching;
            perform(i, m_nodes[i].replicator->tick(m_now));
        });
    }
}

void FleetModel::report(std::size_t index, bool draining)
{
    Node &node = m_nodes[index];
    if (node.server.up) {
        ServerReport report;
        report.instance = node.server.instance;
        report.service = ServiceName("desk");
        report.slots = m_options.slots;
        report.draining = draining;
        report.startTimeMs = node.server.starts + 1;
        report.sequence = static_cast<std::uint64_t>(m_now.ms);
        if (draining)
            node.server.leftAt = std::min(node.server.leftAt, m_now);
        carryOut(index, node.gate->handleReport(report, m_now));
    }
    const std::uint64_t life = node.record.incarnation;
    atNode(index, REPORT, [this, index, life] {
        if (m_nodes[index].up && m_nodes[index].record.incarnation == life)
            report(index, m_nodes[index].server.leaving);
    });
}

Result<StoredRoutes> FleetModel::storeAnswer(std::size_t index, bool watch)
{
    if (m_storeDown || (m_cut && m_nodes[index].centre == *m_cut))
        return fail(ResultCode::PlatformUnknown, "no answer");
    if (m_turnedAway.count(index) != 0)
        return fail(ResultCode::PlatformThrottled, "turned away");
    if (watch && m_historyGone)
        return fail(ResultCode::PlatformHistoryGone, "forgotten");
    StoredRoutes routes;
    routes.storeRevision = m_version;
    RouteDocument document = m_document;
    document.version = m_version;
    routes.document = Result<RouteDocument>(document);
    return routes;
}

void FleetModel::perform(std::size_t index, const ReplicationActions &actions)
{
    const std::uint64_t life = m_nodes[index].record.incarnation;
    const auto answer = [this, index, life](bool watch, Duration delay) {
        atNode(index, m_storeDown ? STORE_TIMEOUT : delay, [this, index, life, watch] {
            Node &node = m_nodes[index];
            if (!node.up || node.record.incarnation != life)
                return;
            const Result<StoredRoutes> result = storeAnswer(index, watch);
            perform(index, watch ? node.replicator->handleWatchAnswer(result, m_now)
                                 : node.replicator->handleReadAnswer(result, m_now));
        });
    };
    for (const ReplicationAction &action : actions) {
        if (std::holds_alternative<ReadRoutes>(action))
            answer(false, {4});
        else if (const auto *watch = std::get_if<WatchRoutes>(&action))
            answer(true, watch->storeRevision < m_version ? Duration{4} : Duration{300});
        else if (const auto *push = std::get_if<PushRoutes>(&action)) {
            for (const ServerId &peer : push->peers)
                sendRoutes(index, *indexOf(peer), push->update);
        } else if (const auto *ask = std::get_if<RequestRoutes>(&action)) {
            const std::size_t to = *indexOf(ask->peer);
            send(index, to, [this, index, to, have = ask->currentVersion] {
                if (const auto update = m_nodes[to].replicator->updateSince(have))
                    sendRoutes(to, index, *update);
            });
        } else if (const auto *tell = std::get_if<AnnounceVersion>(&action)) {
            tellState(index, tell->toAllPeers ? nullptr : &tell->peers);
        } else if (const auto *apply = std::get_if<ApplyRoutes>(&action)) {
            Node &node = m_nodes[index];
            if (apply->table->version() < node.seen)
                broken("a daemon went back to an older version");
            node.seen = apply->table->version();
            if (node.seen == m_version && m_behind.erase(index) != 0 && m_behind.empty())
                m_report.spreadMs = std::max(m_report.spreadMs, (m_now - m_changedAt).ms);
        }
    }
}

/** A version that some daemons still lack when the next one comes counts with its age. */
void FleetModel::noteSpread()
{
    if (!m_behind.empty())
        m_report.spreadMs = std::max(m_report.spreadMs, (m_now - m_changedAt).ms);
}

void FleetModel::change()
{
    // The operator waits while the store does not answer.
    if (m_storeDown)
        return;
    m_version += 1 + m_random.below(3);
    m_document.routes.front().latencyTarget = {static_cast<std::int64_t>(1000 + m_version)};
    noteSpread();
    m_changedAt = m_now;
    m_behind.clear();
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (m_nodes[i].up)
            m_behind.insert(i);
    }
}

ModelReport FleetModel::play()
{
    const auto steps = static_cast<std::int64_t>(m_options.length.ms);
    const TimePoint start = m_now;
    at(WARM_UP, [this] { nextArrival(); });
    at(m_options.length / 3, [this] { disturb(); });
    for (std::int64_t ms = 3000; ms < steps - 4000; ms += 2500)
        at({ms}, [this] { change(); });
    const TimePoint last = m_end + seconds(4);
    while (!m_events.empty() && m_events.top().at <= last.ms) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = {event.at};
        event.run();
    }
    noteSpread();
    const double requests = m_report.asked;
    const double windows = std::max(1.0, static_cast<double>((m_end - start).ms) / 10000);
    if (m_report.repeats > requests * BUDGET_RATIO + BUDGET_SLACK * windows)
        broken("more repeats than the budget");
    for (std::size_t i = 0; i < m_nodes.size(); i++) {
        if (m_nodes[i].replicator->version() != m_version)
            broken("a daemon is behind at the end");
    }
    return m_report;
}

ModelReport playDay(const ModelOptions &options)
{
    FleetModel model(options);
    return model.play();
}

} // namespace cornelwell
