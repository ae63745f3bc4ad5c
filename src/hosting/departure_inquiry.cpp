/** @file departure_inquiry.cpp Rounds of questions, each to other peers. */
#include "hosting/departure_inquiry.h"

#include <algorithm>
#include <tuple>

namespace cornelwell {

std::vector<ServerId> DepartureInquiry::peersToAsk(std::vector<DepartureReader> readers,
                                                   TimePoint now)
{
    if (now < m_nextRoundAt || readers.empty())
        return {};
    m_nextRoundAt = now + m_interval;
    m_interval = {std::min(m_interval.ms * 2, m_options.intervalMax.ms)};
    const std::size_t count = std::min(readers.size(), m_options.peersPerRound);
    std::partial_sort(readers.begin(), readers.begin() + static_cast<std::ptrdiff_t>(count),
                      readers.end(), [this](const DepartureReader &a, const DepartureReader &b) {
                          return std::tuple(m_questions[a.name], a.storeAge.ms, a.name)
                                 < std::tuple(m_questions[b.name], b.storeAge.ms, b.name);
                      });
    std::vector<ServerId> peers;
    for (std::size_t i = 0; i < count; i++) {
        m_questions[readers[i].name]++;
        peers.push_back(readers[i].name);
    }
    return peers;
}

} // namespace cornelwell
