/** @file fleet_model_disturb.cpp What disturbs a modelled day: servers, daemons, links and the
 * store. */
#include "fleet_model.h"

#include <algorithm>
#include <iterator>

namespace cornelwell {

namespace {

constexpr const char *NAMES[]
    = {"none",         "kill",   "cut",     "slow",  "crash",      "leave",     "overload",
       "lost-answers", "freeze", "one-way", "lossy", "store-away", "store-down"};
static_assert(std::size(NAMES) == static_cast<std::size_t>(Disturbance::Count),
              "a name for each disturbance");

constexpr Duration FROZEN{3000};    ///< A VM stands still for about this long.
constexpr Duration FORGOTTEN{1500}; ///< Watches of before an outage are refused for this long.

} // namespace

const char *disturbanceName(Disturbance disturbance)
{
    return NAMES[static_cast<std::size_t>(disturbance)];
}

void FleetModel::crashServer(std::size_t index)
{
    Node &node = m_nodes[index];
    node.server.up = false;
    node.server.starts++;
    const std::set<HostCallId> running = node.running;
    for (const HostCallId id : running)
        endRun(index, id, RunState::Unknown, 0);
    if (node.up)
        carryOut(index, node.gate->handleServerDown(m_now));
    at(seconds(3), [this, index] {
        Node &back = m_nodes[index];
        back.server.up = true;
        back.server.leaving = false;
        back.server.leftAt = NEVER;
        back.server.instance += "n";
    });
}

void FleetModel::replaceServer(std::size_t index)
{
    m_nodes[index].server.leaving = true;
    if (m_nodes[index].up)
        report(index, true);
    at(DRAIN + seconds(1), [this, index] {
        Node &node = m_nodes[index];
        if (node.up)
            carryOut(index, node.gate->handleDeregistration(node.server.instance,
                                                            node.server.starts + 1, m_now));
        crashServer(index);
    });
}

void FleetModel::disturb()
{
    const Duration third = m_options.length / 3;
    const std::size_t some = std::max<std::size_t>(1, m_nodes.size() / 4);
    switch (m_options.disturbance) {
    case Disturbance::KillDaemons:
        for (std::size_t i = 0; i < some; i++)
            killNode((i * 3 + m_options.seed) % m_nodes.size());
        break;
    case Disturbance::CutCentre:
        m_cut = m_options.seed % m_options.centres;
        at(third, [this] { m_cut.reset(); });
        break;
    case Disturbance::SlowServers:
        for (std::size_t i = 0; i < some; i++)
            m_nodes[i].server.slow = 5;
        at(third, [this] {
            for (Node &node : m_nodes)
                node.server.slow = 1;
        });
        break;
    case Disturbance::CrashServer:
        for (std::size_t i = 0; i < some; i++)
            crashServer((i * 5 + m_options.seed) % m_nodes.size());
        break;
    case Disturbance::Leave:
        for (std::size_t i = 0; i < some; i++)
            at(seconds(static_cast<std::int64_t>(i)),
               [this, i] { replaceServer((i * 2 + m_options.seed) % m_nodes.size()); });
        break;
    case Disturbance::Overload:
        m_burst = 2 / m_options.load;
        at(third, [this] { m_burst = 1; });
        break;
    case Disturbance::LoseAnswers:
        m_loseAnswers = true;
        at(third, [this] { m_loseAnswers = false; });
        break;
    case Disturbance::Freeze:
    case Disturbance::OneWay:
    case Disturbance::Lossy:
        disturbNetwork(some, third);
        break;
    case Disturbance::StoreAway:
    case Disturbance::StoreDown:
        disturbStore(third);
        break;
    case Disturbance::None:
    case Disturbance::Count:
        break;
    }
}

void FleetModel::disturbNetwork(std::size_t some, Duration length)
{
    std::set<std::size_t> chosen;
    for (std::size_t i = 0; i < some; i++)
        chosen.insert((i * 3 + m_options.seed) % m_nodes.size());
    if (m_options.disturbance == Disturbance::Freeze) {
        for (std::size_t index : chosen)
            m_thaw[index] = m_now + m_random.jitter(FROZEN);
    } else if (m_options.disturbance == Disturbance::OneWay) {
        m_mute = chosen;
        m_muteSince = m_now;
        at(length, [this] { m_mute.clear(); });
    } else {
        m_lossy = true;
        at(length, [this] { m_lossy = false; });
    }
}

void FleetModel::disturbStore(Duration length)
{
    m_storeDown = m_options.disturbance == Disturbance::StoreDown;
    for (std::size_t i = 0; !m_storeDown && i < m_nodes.size(); i++) {
        if ((i + m_options.seed) % 3 == 0)
            m_turnedAway.insert(i);
    }
    at(length, [this] {
        m_storeDown = false;
        m_turnedAway.clear();
        m_historyGone = true;
        at(FORGOTTEN, [this] { m_historyGone = false; });
    });
}

} // namespace cornelwell
