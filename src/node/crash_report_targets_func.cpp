/** @file crash_report_targets_func.cpp Distributors of a report by rendezvous hashing. */
#include "node/crash_report_targets_func.h"

#include "base/hash_func.h"

#include <algorithm>
#include <map>

namespace cornelwell {

namespace {

/** Daemons of another data centre that are sent a report; some of them may be down. */
constexpr std::size_t DISTRIBUTORS_TOLD = 4;
/** Responsive daemons of a data centre that distribute a report there. */
constexpr std::size_t DISTRIBUTORS_ACTIVE = 2;
/** Peers that pass a report on inside a data centre whose daemons are not all linked. */
constexpr std::size_t RELAY_PEERS = 6;

using Ranked = std::vector<std::pair<std::uint64_t, const Peer *>>;

void keepHighest(Ranked &ranked, std::size_t count)
{
    std::sort(ranked.begin(), ranked.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    ranked.resize(std::min(ranked.size(), count));
}

void addLinked(const Ranked &ranked, std::vector<ServerId> &targets)
{
    for (const auto &[weight, peer] : ranked) {
        if (peer->linked)
            targets.push_back(peer->record.name);
    }
}

/** @return the peers of this data centre, weighted for @p key. */
Ranked ownDataCentre(const PeerTable &peers, const std::string &key)
{
    Ranked ranked;
    for (const auto &[name, peer] : peers.peers()) {
        if (peer.record.dataCentre == peers.self().dataCentre)
            ranked.emplace_back(rendezvousWeight(name.text(), key), &peer);
    }
    return ranked;
}

/** Adds the distributors of the other data centres that are linked. */
void addDistributors(const PeerTable &peers, const std::string &key, std::vector<ServerId> &targets)
{
    std::map<DataCentreId, Ranked> others;
    for (const auto &[name, peer] : peers.peers()) {
        if (peer.record.dataCentre != peers.self().dataCentre)
            others[peer.record.dataCentre].emplace_back(rendezvousWeight(name.text(), key), &peer);
    }
    for (auto &[dataCentre, ranked] : others) {
        keepHighest(ranked, DISTRIBUTORS_TOLD);
        addLinked(ranked, targets);
    }
}

/** @return true when this daemon is a distributor of its data centre, as far as it is linked. */
bool isDistributor(const PeerTable &peers, const Ranked &own, const std::string &key)
{
    const std::uint64_t weight = rendezvousWeight(peers.self().name.text(), key);
    const auto higher = std::count_if(own.begin(), own.end(), [&](const auto &item) {
        return item.second->linked && item.first > weight;
    });
    return static_cast<std::size_t>(higher) < DISTRIBUTORS_ACTIVE;
}

} // namespace

std::vector<ServerId> crashReportTargets(const PeerTable &peers, const CrashReport &report)
{
    const std::string key = report.server.text() + ':' + std::to_string(report.sequence);
    const Peer *reporter = peers.find(report.server);
    const bool isOwn = report.server == peers.self().name;
    const bool isFromHere
        = isOwn || (reporter != nullptr && reporter->record.dataCentre == peers.self().dataCentre);
    std::vector<ServerId> targets;
    if (isFromHere)
        addDistributors(peers, key, targets);
    Ranked own = ownDataCentre(peers, key);
    if (isOwn || (!isFromHere && isDistributor(peers, own, key))) {
        addLinked(own, targets);
        return targets;
    }
    const bool isLinkedToAll
        = std::all_of(own.begin(), own.end(), [](const auto &item) { return item.second->linked; });
    if (!isLinkedToAll) {
        // Each daemon chooses others, so that the report spreads.
        own = ownDataCentre(peers, key + peers.self().name.text());
        own.erase(std::remove_if(own.begin(), own.end(),
                                 [](const auto &item) { return !item.second->linked; }),
                  own.end());
        keepHighest(own, RELAY_PEERS);
        addLinked(own, targets);
    }
    return targets;
}

} // namespace cornelwell
