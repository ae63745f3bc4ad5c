/** @file fleet_model_advisory.cpp Servers that name a limit or say in answers that they leave. */
#include "fleet_model.h"

namespace cornelwell {

namespace {

constexpr double MS_PER_SECOND = 1000;
constexpr Duration LIMIT_WINDOW{4000};   ///< Requests are counted over any span of this length.
constexpr Duration LIMIT_TOLD_TIME{500}; ///< A daemon counts from this long after it was told.
constexpr double LIMIT_FACTOR = 1.5;     ///< Bound in a window, over what the limit allows.
constexpr double LIMIT_SLACK = 5;        ///< Requests allowed besides in each window.
/** Range of a limit, as a share of the server's rate before, in thousandths. */
constexpr std::uint64_t LIMIT_SHARE_MIN = 150;
constexpr std::uint64_t LIMIT_SHARE_RANGE = 500;
constexpr Duration LEAVING_PERIOD{5000}; ///< A server runs this long after it says that it leaves.

} // namespace

void FleetModel::limitServer(std::size_t index, Duration duration)
{
    Server &server = m_nodes[index].server;
    const double ratePerSecond = static_cast<double>(server.arrivals.size()) * MS_PER_SECOND
                                 / static_cast<double>(LIMIT_WINDOW.ms);
    const auto share = static_cast<double>(LIMIT_SHARE_MIN + m_random.below(LIMIT_SHARE_RANGE));
    server.advisory.requestsPerSecond = ratePerSecond * share / 1000;
    server.limitNamedAt = m_now;
    if (index % 2 == 0) {
        schedule(m_random.jitter({1500}), [this, index] { killNode(index); });
        schedule(m_random.jitter({4500}), [this, index] { killNode(index); });
    }
    schedule(duration + seconds(3), [this, index] {
        Server &recovered = m_nodes[index].server;
        recovered.advisory = {};
        recovered.limitNamedAt = NEVER;
        recovered.limitToldAt.clear();
    });
}

void FleetModel::leaveByAnswers(std::size_t index)
{
    m_nodes[index].server.advisory.leaving = true;
    schedule(m_random.jitter({1500}), [this, index] { killNode(index); });
    schedule(LEAVING_PERIOD, [this, index] { crashServer(index); });
}

void FleetModel::recordAdvisoryPassedOn(std::size_t index, std::size_t sender,
                                        const ServerAdvisory &advisory)
{
    Server &server = m_nodes[index].server;
    const std::pair<std::size_t, std::uint64_t> key{sender, m_nodes[sender].record.incarnation};
    if (advisory.requestsPerSecond && server.limitNamedAt != NEVER)
        server.limitToldAt.emplace(key, m_now);
    if (advisory.leaving && server.advisory.leaving)
        server.leavingToldAt.emplace(key, m_now);
}

/** Checks the arrival of a request at a server against what the server's answers have said. */
void FleetModel::checkAdvisoryFollowed(std::size_t index, std::size_t sender, TimePoint submittedAt)
{
    Server &server = m_nodes[index].server;
    const auto left = server.leavingToldAt.find({sender, m_nodes[sender].record.incarnation});
    if (left != server.leavingToldAt.end() && submittedAt > left->second + DRAIN_PERIOD)
        recordViolation("a request reached a server whose answers had said that it leaves");
    server.arrivals.push_back({m_now, sender});
    while (m_now - server.arrivals.front().at > LIMIT_WINDOW)
        server.arrivals.pop_front();
    if (server.limitNamedAt == NEVER)
        return;
    unsigned counted = 0;
    for (const Arrival &arrival : server.arrivals) {
        const auto told
            = server.limitToldAt.find({arrival.sender, m_nodes[arrival.sender].record.incarnation});
        if (told != server.limitToldAt.end() && arrival.at - told->second >= LIMIT_TOLD_TIME)
            counted++;
    }
    const double allowed = LIMIT_FACTOR * *server.advisory.requestsPerSecond
                               * static_cast<double>(LIMIT_WINDOW.ms) / MS_PER_SECOND
                           + LIMIT_SLACK;
    if (counted > allowed)
        recordViolation("a server got more requests than the limit that it had named");
}

} // namespace cornelwell
