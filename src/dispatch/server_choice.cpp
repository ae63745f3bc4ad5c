/** @file server_choice.cpp Least expected time, own data centre before others. */
#include "dispatch/server_choice.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr double RANDOM_STEPS = 1000;
constexpr double DOUBT_MS = 400; ///< Added for a peer that is silent, so that it is the last choice.

double jittered(double cost, const ChoiceOptions &options, Random &random)
{
    const double share = static_cast<double>(random.below(static_cast<std::uint64_t>(RANDOM_STEPS)))
                         / RANDOM_STEPS;
    return cost * (1 + options.jitter * (2 * share - 1));
}

/** Requests at the peer's server: what it told, and what was sent to it since. */
unsigned pendingAt(const Peer &peer)
{
    const unsigned told = peer.load.running + peer.load.queued;
    const unsigned since = peer.sent > peer.sentWhenTold ? peer.sent - peer.sentWhenTold : 0;
    return std::max(told + since, peer.sent);
}

void consider(std::optional<Candidate> &best, Candidate candidate)
{
    if (!best || candidate.cost < best->cost)
        best = std::move(candidate);
}

} // namespace

double expectedMs(const HostLoad &load, unsigned pending, const ChoiceOptions &options)
{
    const double slots = std::max(1U, load.slots);
    const double work = load.workMs > 0 ? load.workMs : options.firstWorkMs;
    const double busy = (pending + 1) / slots;
    double expected = work * (1 + options.busyShare * std::min(1.0, busy));
    if (busy > 1)
        expected += work * (busy - 1);
    expected *= 1 + options.failurePenalty * load.failShare;
    if (load.cold)
        expected *= 1 + options.coldPenalty;
    return expected;
}

std::optional<Candidate> chooseServer(const PeerTable &table, const HostLoad &local,
                                      const ChoiceRequest &request, const ChoiceOptions &options,
                                      TimePoint now, Random &random)
{
    std::optional<Candidate> best;
    const ServerId &self = table.self().name;
    if (local.service == request.service && local.state == HostState::Ready
        && request.except.count(self) == 0) {
        const double cost = expectedMs(local, local.running + local.queued, options);
        consider(best, {self, local.instance, jittered(cost, options, random), true});
    }
    for (const auto &[name, peer] : table.peers()) {
        if (peer.load.service != request.service || peer.load.state != HostState::Ready
            || !peer.linked || peer.leaving || request.except.count(name) != 0)
            continue;
        const bool same = peer.record.dataCentre == table.self().dataCentre;
        double cost = jittered(expectedMs(peer.load, pendingAt(peer), options), options, random);
        if (!same)
            cost += options.otherCentreMs + options.otherCentreMsPerKb * request.kilobytes;
        if (!table.isSound(peer, now))
            cost += DOUBT_MS;
        if (now < peer.refusedUntil)
            cost += DOUBT_MS;
        consider(best, {name, peer.load.instance, cost, same});
    }
    return best;
}

} // namespace cornelwell
