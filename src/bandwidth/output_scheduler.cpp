/** @file output_scheduler.cpp Token bucket for the link, deficit round robin for its flows. */
#include "bandwidth/output_scheduler.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr double MS_PER_SECOND = 1000;

} // namespace

void OutputScheduler::add(OutputFlowId flow, std::size_t bytes, unsigned weight)
{
    m_flows[flow] = {bytes, weight, 0, false};
    m_round.push_back(flow);
    m_backlogBytes += bytes;
}

void OutputScheduler::remove(OutputFlowId flow)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    m_backlogBytes -= found->second.bytesLeft;
    m_flows.erase(found);
    m_round.erase(std::remove(m_round.begin(), m_round.end(), flow), m_round.end());
}

void OutputScheduler::block(OutputFlowId flow)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.blocked)
        return;
    found->second.blocked = true;
    m_round.erase(std::remove(m_round.begin(), m_round.end(), flow), m_round.end());
}

bool OutputScheduler::unblockAll()
{
    bool any = false;
    for (auto &[id, flow] : m_flows) {
        if (!flow.blocked)
            continue;
        flow.blocked = false;
        m_round.push_back(id);
        any = true;
    }
    return any;
}

void OutputScheduler::refill(TimePoint now)
{
    if (m_options.bytesPerSecond == 0 || now <= m_refilledAt)
        return;
    const double bytesPerMs = flowBytesPerSecond() / MS_PER_SECOND;
    const auto elapsedMs = static_cast<double>((now - m_refilledAt).ms);
    m_budgetBytes = std::min(m_budgetBytes + elapsedMs * bytesPerMs,
                             static_cast<double>(m_options.burst.ms) * bytesPerMs);
    m_refilledAt = now;
}

void OutputScheduler::recordSent(std::size_t bytes, TimePoint now)
{
    if (m_options.bytesPerSecond == 0)
        return;
    refill(now);
    const double debtMaxBytes
        = static_cast<double>(m_options.debtMax.ms) * flowBytesPerSecond() / MS_PER_SECOND;
    m_budgetBytes = std::max(m_budgetBytes - static_cast<double>(bytes), -debtMaxBytes);
}

std::optional<OutputGrant> OutputScheduler::next(TimePoint now)
{
    refill(now);
    if (m_round.empty() || (m_options.bytesPerSecond != 0 && m_budgetBytes <= 0))
        return std::nullopt;
    const OutputFlowId id = m_round.front();
    Flow &flow = m_flows.at(id);
    if (flow.deficit == 0)
        flow.deficit = m_options.frameBytes * flow.weight;
    const std::size_t bytes = std::min({flow.deficit, m_options.frameBytes, flow.bytesLeft});
    flow.deficit -= bytes;
    flow.bytesLeft -= bytes;
    m_backlogBytes -= bytes;
    m_budgetBytes -= static_cast<double>(bytes);
    if (flow.bytesLeft == 0) {
        m_round.pop_front();
        m_flows.erase(id);
    } else if (flow.deficit == 0) {
        m_round.pop_front();
        m_round.push_back(id);
    }
    return OutputGrant{id, bytes};
}

std::optional<Duration> OutputScheduler::delay(TimePoint now)
{
    refill(now);
    if (m_round.empty())
        return std::nullopt;
    if (m_options.bytesPerSecond == 0 || m_budgetBytes > 0)
        return Duration{0};
    const double waitMs = -m_budgetBytes * MS_PER_SECOND / flowBytesPerSecond();
    return Duration{static_cast<std::int64_t>(std::floor(waitMs)) + 1};
}

} // namespace cornelwell
