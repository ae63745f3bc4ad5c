/** @file ping_targets_func.cpp Choice of the peers to ping by role and rank. */
#include "replication/ping_targets_func.h"

#include "base/hash_func.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr std::size_t RELAYS = 16; ///< Highest ranks of a large data centre, which ask watchers.
constexpr std::size_t RELAYS_ASKED = 2;
constexpr std::size_t SMALL_CENTRE_MAX = 24; ///< Up to so many peers all ask watchers.
constexpr std::size_t OWN_WATCHERS_MAX = 2;
constexpr std::size_t REMOTE_WATCHERS_MAX = 1;

using Names = std::vector<ServerId>;

/** Moves up to @p count random names to the targets. */
void take(Names &from, std::size_t count, Names &targets, Random &random)
{
    for (; count > 0 && !from.empty() && targets.size() < PING_TARGETS_MAX; count--) {
        const std::size_t index = random.below(from.size());
        targets.push_back(from[index]);
        from.erase(from.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

} // namespace

std::vector<ServerId> choosePingTargets(const PeerTable &peers, TimePoint now, Random &random)
{
    const std::string &key = peers.self().dataCentre.text();
    const std::uint64_t ownWeight = rendezvousWeight(peers.self().name.text(), key);
    Names ownWatchers;
    Names remoteWatchers;
    Names others;
    std::vector<std::pair<std::uint64_t, ServerId>> ranked; ///< Of the own data centre.
    for (const auto &[name, peer] : peers.peers()) {
        if (!peer.readsPings || !peers.isResponsive(peer, now))
            continue;
        const bool isOwn = peer.record.dataCentre == peers.self().dataCentre;
        if (peer.watchingStore)
            (isOwn ? ownWatchers : remoteWatchers).push_back(name);
        else
            others.push_back(name);
        if (isOwn)
            ranked.emplace_back(rendezvousWeight(name.text(), key), name);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    const auto higherRanked = static_cast<std::size_t>(std::count_if(
        ranked.begin(), ranked.end(), [&](const auto &item) { return item.first > ownWeight; }));
    Names targets;
    if (ranked.size() > SMALL_CENTRE_MAX && higherRanked >= RELAYS) {
        Names relays;
        for (std::size_t i = 0; i < RELAYS; i++) {
            if (!peers.find(ranked[i].second)->watchingStore)
                relays.push_back(ranked[i].second);
        }
        take(relays, RELAYS_ASKED, targets, random);
        return targets;
    }
    take(ownWatchers, OWN_WATCHERS_MAX, targets, random);
    take(remoteWatchers, REMOTE_WATCHERS_MAX, targets, random);
    // The next rank reads the store itself when the watchers fall silent. In a large data centre it
    // is one of the daemons that all others ask, so it is not asked by each of the first ranks too.
    for (const auto &[weight, name] : ranked) {
        if (ranked.size() > SMALL_CENTRE_MAX)
            break;
        const auto found = std::find(others.begin(), others.end(), name);
        if (found == others.end())
            continue;
        if (targets.size() < PING_TARGETS_MAX)
            targets.push_back(name);
        others.erase(found);
        break;
    }
    take(others, PING_TARGETS_MAX, targets, random);
    return targets;
}

} // namespace cornelwell
