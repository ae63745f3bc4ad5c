/** @file evidence_counter.cpp Counts by route, histogram of times, names of phases. */
#include "rollout/evidence_counter.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr std::size_t ROUTES_MAX = 24; ///< Further routes are not counted, to bound the message.
constexpr std::array<const char *, static_cast<std::size_t>(RolloutPhase::Count)> PHASE_NAMES
    = {"", "active", "completed", "rolled_back"};

std::size_t bucketOf(Duration time)
{
    std::size_t bucket = 0;
    for (std::int64_t ms = time.ms; ms > 0 && bucket + 1 < EVIDENCE_BUCKETS; ms >>= 1)
        bucket++;
    return bucket;
}

} // namespace

const char *rolloutPhaseName(RolloutPhase phase)
{
    return PHASE_NAMES[static_cast<std::size_t>(phase) % PHASE_NAMES.size()];
}

RolloutPhase rolloutPhaseOf(const std::string &name)
{
    const auto found = std::find(PHASE_NAMES.begin(), PHASE_NAMES.end(), name);
    return found == PHASE_NAMES.end() ? RolloutPhase::None
                                      : static_cast<RolloutPhase>(found - PHASE_NAMES.begin());
}

void EvidenceCounter::setServer(const std::string &instance, const std::string &version)
{
    if (m_evidence.instance != instance || m_evidence.version != version)
        m_evidence = {instance, version, {}};
}

void EvidenceCounter::record(const std::string &route, EvidenceKind kind, Duration time, bool cold)
{
    if (cold)
        return;
    auto found = std::find_if(m_evidence.routes.begin(), m_evidence.routes.end(),
                              [&](const RouteEvidence &one) { return one.route == route; });
    if (found == m_evidence.routes.end()) {
        if (m_evidence.routes.size() >= ROUTES_MAX)
            return;
        m_evidence.routes.push_back({route, 0, 0, {}});
        found = m_evidence.routes.end() - 1;
    }
    found->times[bucketOf(time)]++;
    found->answers += kind == EvidenceKind::Aborted ? 0 : 1;
    found->failures += kind == EvidenceKind::Failed ? 1 : 0;
}

double medianTimeMs(const std::array<std::uint64_t, EVIDENCE_BUCKETS> &times)
{
    std::uint64_t total = 0;
    for (const std::uint64_t count : times)
        total += count;
    const double middle = static_cast<double>(total) / 2;
    double before = 0;
    for (std::size_t i = 0; i < times.size(); i++) {
        const auto count = static_cast<double>(times[i]);
        if (count > 0 && before + count >= middle)
            return i == 0 ? 0.5 : std::exp2(static_cast<double>(i) - 1 + (middle - before) / count);
        before += count;
    }
    return 0;
}

} // namespace cornelwell
