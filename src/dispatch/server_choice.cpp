/** @file server_choice.cpp Least expected time, own data centre before others. */
#include "dispatch/server_choice.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr double RANDOM_STEPS = 1000;
constexpr double DOUBT_MS
    = 400; ///< Added for a peer that is silent, so that it is the last choice.

double jitterFactor(const ChoiceOptions &options, Random &random)
{
    const double share = static_cast<double>(random.below(static_cast<std::uint64_t>(RANDOM_STEPS)))
                         / RANDOM_STEPS;
    return 1 + options.jitter * (2 * share - 1);
}

/** Requests at the peer's server: what it told, and what was sent to it since. */
unsigned pendingAt(const Peer &peer)
{
    const unsigned told = peer.load.running + peer.load.queued;
    const unsigned since = peer.sent > peer.sentWhenTold ? peer.sent - peer.sentWhenTold : 0;
    return std::max(told + since, peer.sent);
}

/** The two best so far. */
struct Ranking
{
    std::optional<Candidate> best;
    std::optional<Candidate> second;

    void add(Candidate candidate)
    {
        if (!best || candidate.cost < best->cost) {
            second = std::move(best);
            best = std::move(candidate);
        } else if (!second || candidate.cost < second->cost) {
            second = std::move(candidate);
        }
    }
};

} // namespace

Expectation expectationOf(const HostLoad &load, unsigned pending, const ChoiceOptions &options)
{
    const double slots = std::max(1U, load.slots);
    const double work = load.workMs > 0 ? load.workMs : options.firstWorkMs;
    const double busy = (pending + 1) / slots;
    Expectation expected;
    expected.workMs = work * (1 + options.busyShare * std::min(1.0, busy));
    expected.workMs *= 1 + options.failurePenalty * load.failShare;
    if (load.cold)
        expected.workMs *= 1 + options.coldPenalty;
    if (busy > 1)
        expected.waitMs = work * (busy - 1);
    return expected;
}

std::optional<Candidate> chooseServer(const PeerTable &table, const HostLoad &local,
                                      const ChoiceRequest &request, const ChoiceOptions &options,
                                      TimePoint now, Random &random)
{
    Ranking ranking;
    const ServerId &self = table.self().name;
    if (local.service == request.service && local.state == HostState::Ready
        && request.except.count(self) == 0) {
        const Expectation expected = expectationOf(local, local.running + local.queued, options);
        const double cost = (expected.workMs + expected.waitMs) * jitterFactor(options, random);
        ranking.add({self, local.instance, cost, expected.waitMs, 0});
    }
    for (const auto &[name, peer] : table.peers()) {
        if (peer.load.service != request.service || peer.load.state != HostState::Ready
            || !peer.linked || peer.leaving || request.except.count(name) != 0)
            continue;
        const Expectation expected = expectationOf(peer.load, pendingAt(peer), options);
        double cost = (expected.workMs + expected.waitMs) * jitterFactor(options, random);
        if (peer.record.dataCentre != table.self().dataCentre)
            cost += options.otherCentreMs + options.otherCentreMsPerKb * request.kilobytes;
        if (!table.isSound(peer, now))
            cost += DOUBT_MS;
        ranking.add({name, peer.load.instance, cost, expected.waitMs, 0});
    }
    if (ranking.best) {
        Candidate &best = *ranking.best;
        best.waitMaxMs = ranking.second ? ranking.second->cost - (best.cost - best.waitMs) : -1;
    }
    return ranking.best;
}

} // namespace cornelwell
