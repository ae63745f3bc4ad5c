/** @file closing_state.cpp Bounds of one closing connection. */
#include "loop/closing_state.h"

#include <algorithm>
#include <array>

namespace cornelwell {

namespace {

constexpr std::array<const char *, static_cast<std::size_t>(CloseCause::Count)> CAUSE_NAMES{
    "peer_closed", "peer_reset", "silence", "time_limit", "displaced", "aborted"};

} // namespace

const char *closeCauseName(CloseCause cause)
{
    return CAUSE_NAMES.at(static_cast<std::size_t>(cause));
}

ClosingState::ClosingState(const ClosingOptions &options, TimePoint now)
    : m_options(options), m_startedAt(now), m_lastInputAt(now), m_lastProgressAt(now)
{}

void ClosingState::recordInput(std::size_t bytes, TimePoint now)
{
    m_inputBytes += bytes;
    m_lastInputAt = now;
}

void ClosingState::recordUnacknowledged(std::size_t bytes, TimePoint now)
{
    if (m_unacknowledgedBytes != bytes)
        m_lastProgressAt = now;
    m_unacknowledgedBytes = bytes;
}

bool ClosingState::readsInput() const
{
    return m_inputBytes < m_options.inputBytesMax;
}

std::optional<CloseCause> ClosingState::closeCause(TimePoint now) const
{
    if (now - m_startedAt >= m_options.timeMax)
        return CloseCause::TimeLimit;
    const TimePoint silentSince = std::max(m_lastInputAt, m_lastProgressAt);
    if (m_unacknowledgedBytes == 0U && now - silentSince >= m_options.silenceMax)
        return CloseCause::Silence;
    return std::nullopt;
}

bool ClosingState::isSettled(TimePoint now) const
{
    const Duration still = now - m_lastProgressAt;
    return still >= m_options.stalledMax
           || (m_unacknowledgedBytes == 0U && still >= m_options.settleTime);
}

} // namespace cornelwell
