/** @file nested_routes.cpp Compares the ends of requests after and before the answers of a route.
 */
#include "callgraph/nested_routes.h"

#include <algorithm>
#include <iterator>

namespace cornelwell {

namespace {

constexpr std::size_t ROUTES_MAX = 1024; ///< All routes are forgotten at this number.
constexpr std::size_t RECENT_MAX = 256;  ///< Answers of one effectTime that are examined.
/** Requests with a smaller share of the ends after a nested call are taken for a coincidence. */
constexpr double CALLER_SHARE_MIN = 0.25;
constexpr double CALLER_SHARE_KEPT = 0.001; ///< Ranks with a smaller share are forgotten.
/** Lift is not defined where an end precedes each answer; this bounds it. */
constexpr double NOT_PRECEDED_MIN = 0.05;

} // namespace

void NestedRoutes::recordAnswer(const std::string &route, TimePoint now)
{
    if (!m_options.enabled)
        return;
    settle(now);
    if (m_recent.size() < RECENT_MAX)
        m_recent.push_back({route, now, now - m_lastEnd <= m_options.effectTime});
}

void NestedRoutes::recordEnd(unsigned rank, TimePoint now)
{
    if (!m_options.enabled)
        return;
    settle(now);
    for (const RecentAnswer &answer : m_recent)
        learnRank(learn(answer, true), rank);
    m_recent.clear();
    m_lastEnd = now;
}

/** Learns from the answers that no end has followed in time. */
void NestedRoutes::settle(TimePoint now)
{
    while (!m_recent.empty() && now - m_recent.front().at > m_options.effectTime) {
        learn(m_recent.front(), false);
        m_recent.pop_front();
    }
}

NestedRoutes::RouteShares &NestedRoutes::learn(const RecentAnswer &answer, bool endAfter)
{
    if (m_routes.size() >= ROUTES_MAX)
        m_routes.clear();
    RouteShares &shares = m_routes[answer.route];
    shares.endAfter += m_options.smoothing * ((endAfter ? 1 : 0) - shares.endAfter);
    shares.endBefore += m_options.smoothing * ((answer.endBefore ? 1 : 0) - shares.endBefore);
    shares.samples = std::min(shares.samples + 1, m_options.samplesMin);
    const double lift = liftOf(shares);
    shares.nested = shares.samples >= m_options.samplesMin
                    && lift >= (shares.nested ? m_options.liftKept : m_options.liftMin);
    return shares;
}

void NestedRoutes::learnRank(RouteShares &shares, unsigned rank) const
{
    for (auto item = shares.callerRanks.begin(); item != shares.callerRanks.end();) {
        item->second *= 1 - m_options.smoothing;
        item = item->second < CALLER_SHARE_KEPT ? shares.callerRanks.erase(item) : std::next(item);
    }
    shares.callerRanks[rank] += m_options.smoothing;
}

std::optional<unsigned> NestedRoutes::callerRank(const std::string &route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || !found->second.nested)
        return std::nullopt;
    double sum = 0;
    for (const auto &[rank, share] : found->second.callerRanks)
        sum += share;
    for (const auto &[rank, share] : found->second.callerRanks) {
        if (share >= CALLER_SHARE_MIN * sum)
            return rank;
    }
    return std::nullopt;
}

double NestedRoutes::liftOf(const RouteShares &shares)
{
    return (shares.endAfter - shares.endBefore) / std::max(NOT_PRECEDED_MIN, 1 - shares.endBefore);
}

bool NestedRoutes::isNested(const std::string &route) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() && found->second.nested;
}

double NestedRoutes::lift(const std::string &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? 0 : liftOf(found->second);
}

std::size_t NestedRoutes::nestedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_routes.begin(), m_routes.end(), [](const auto &item) { return item.second.nested; }));
}

} // namespace cornelwell
