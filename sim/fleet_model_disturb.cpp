/** @file fleet_model_disturb.cpp Disruptions of servers, daemons, links and the store. */
#include "fleet_model.h"

#include <algorithm>
#include <iterator>

namespace cornelwell {

namespace {

constexpr const char *DISRUPTION_NAMES[]
    = {"none",  "kill",       "cut",          "slow",   "crash",
       "leave", "overload",   "lost-answers", "freeze", "one-way",
       "lossy", "store-away", "store-down",   "limit",  "leave-by-answer"};
static_assert(std::size(DISRUPTION_NAMES) == static_cast<std::size_t>(Disruption::Count),
              "each disruption has a name");

constexpr Duration FREEZE_DURATION{3000}; ///< Mean time that a VM is frozen, jittered.
constexpr Duration WATCH_REFUSAL_PERIOD{
    1500}; ///< The store refuses watches this long after an outage.

} // namespace

const char *disruptionName(Disruption disruption)
{
    return DISRUPTION_NAMES[static_cast<std::size_t>(disruption)];
}

void FleetModel::crashServer(std::size_t index)
{
    Node &node = m_nodes[index];
    node.server.up = false;
    node.server.restarts++;
    const std::set<HostCallId> running = node.running;
    for (const HostCallId id : running)
        endRun(index, id, RunState::Unknown, 0);
    if (node.up)
        applyDecisions(index, node.scheduler->handleServerDown(m_now));
    schedule(seconds(3), [this, index] {
        Node &restarted = m_nodes[index];
        restarted.server.up = true;
        restarted.server.isDraining = false;
        restarted.server.drainingSince = NEVER;
        restarted.server.instance += "n";
        restarted.server.advisory = {};
        restarted.server.leavingToldAt.clear();
    });
}

void FleetModel::replaceServer(std::size_t index)
{
    m_nodes[index].server.isDraining = true;
    if (m_nodes[index].up)
        reportServer(index, true);
    schedule(DRAIN_PERIOD + seconds(1), [this, index] {
        Node &node = m_nodes[index];
        if (node.up)
            applyDecisions(index, node.scheduler->handleDeregistration(
                                      node.server.instance, node.server.restarts + 1, m_now));
        crashServer(index);
    });
}

void FleetModel::startDisruption()
{
    const Duration third = m_options.duration / 3;
    const std::size_t affectedCount = std::max<std::size_t>(1, m_nodes.size() / 4);
    switch (m_options.disruption) {
    case Disruption::KillDaemons:
        for (std::size_t i = 0; i < affectedCount; i++)
            killNode((i * 3 + m_options.seed) % m_nodes.size());
        break;
    case Disruption::PartitionCentre:
        m_partitionedCentre = m_options.seed % m_options.centres;
        schedule(third, [this] { m_partitionedCentre.reset(); });
        break;
    case Disruption::SlowServers:
        for (std::size_t i = 0; i < affectedCount; i++)
            m_nodes[i].server.slowdown = 5;
        schedule(third, [this] {
            for (Node &node : m_nodes)
                node.server.slowdown = 1;
        });
        break;
    case Disruption::CrashServers:
        for (std::size_t i = 0; i < affectedCount; i++)
            crashServer((i * 5 + m_options.seed) % m_nodes.size());
        break;
    case Disruption::DeregisterServers:
        for (std::size_t i = 0; i < affectedCount; i++)
            schedule(seconds(static_cast<std::int64_t>(i)),
                     [this, i] { replaceServer((i * 2 + m_options.seed) % m_nodes.size()); });
        break;
    case Disruption::Overload:
        m_loadFactor = 2 / m_options.load;
        schedule(third, [this] { m_loadFactor = 1; });
        break;
    case Disruption::LoseResponses:
        m_losesResponses = true;
        schedule(third, [this] { m_losesResponses = false; });
        break;
    case Disruption::FreezeVms:
    case Disruption::LoseSentMessages:
    case Disruption::DelayMessages:
        disruptNetwork(affectedCount, third);
        break;
    case Disruption::StoreThrottles:
    case Disruption::StoreUnavailable:
        disruptStore(third);
        break;
    case Disruption::LimitServers:
        for (std::size_t i = 0; i < m_nodes.size() / 2; i++)
            limitServer((i * 2 + m_options.seed) % m_nodes.size(), third);
        break;
    case Disruption::LeaveByAnswers:
        for (std::size_t i = 0; i < affectedCount; i++)
            schedule(seconds(static_cast<std::int64_t>(i)),
                     [this, i] { leaveByAnswers((i * 2 + m_options.seed) % m_nodes.size()); });
        break;
    case Disruption::None:
    case Disruption::Count:
        break;
    }
}

void FleetModel::disruptNetwork(std::size_t affectedCount, Duration duration)
{
    std::set<std::size_t> chosen;
    for (std::size_t i = 0; i < affectedCount; i++)
        chosen.insert((i * 3 + m_options.seed) % m_nodes.size());
    if (m_options.disruption == Disruption::FreezeVms) {
        for (std::size_t index : chosen)
            m_frozenUntil[index] = m_now + m_random.jitter(FREEZE_DURATION);
    } else if (m_options.disruption == Disruption::LoseSentMessages) {
        m_sendLossDaemons = chosen;
        m_sendLossSince = m_now;
        schedule(duration, [this] { m_sendLossDaemons.clear(); });
    } else {
        m_delaysMessages = true;
        schedule(duration, [this] { m_delaysMessages = false; });
    }
}

void FleetModel::disruptStore(Duration duration)
{
    m_storeUnavailable = m_options.disruption == Disruption::StoreUnavailable;
    for (std::size_t i = 0; !m_storeUnavailable && i < m_nodes.size(); i++) {
        if ((i + m_options.seed) % 3 == 0)
            m_throttledDaemons.insert(i);
    }
    schedule(duration, [this] {
        m_storeUnavailable = false;
        m_throttledDaemons.clear();
        m_watchHistoryLost = true;
        schedule(WATCH_REFUSAL_PERIOD, [this] { m_watchHistoryLost = false; });
    });
}

} // namespace cornelwell
