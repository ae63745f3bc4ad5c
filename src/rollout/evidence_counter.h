/** @file evidence_counter.h Counts the answers of a daemon's own server for the canary analysis. */
#pragma once

#include "rollout/rollout_type.h"

namespace cornelwell {

/** How a request ended, for the evidence. */
enum class EvidenceKind : std::uint8_t
{
    Served,  ///< The server answered, or its failure follows from a failed nested call.
    Failed,  ///< The server failed on its own.
    Aborted, ///< The daemon aborted the request; only its time so far counts.
};

/** Cumulative counts of the local server; another instance starts anew. */
class EvidenceCounter
{
public:
    /** Names the server that the next records belong to. */
    void setServer(const std::string &instance, const std::string &version);
    /** Records the end of a request; one at a cold server is not counted. */
    void record(const std::string &route, EvidenceKind kind, Duration time, bool cold);
    /** @return the counts. */
    const ServerEvidence &evidence() const { return m_evidence; }

private:
    ServerEvidence m_evidence;
};

/** @return median of the times in ms; 0 when there are none. */
double medianTimeMs(const std::array<std::uint64_t, EVIDENCE_BUCKETS> &times);

} // namespace cornelwell
