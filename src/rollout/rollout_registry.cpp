/** @file rollout_registry.cpp Merge of states, ageing of confirmations, rules for requests. */
#include "rollout/rollout_registry.h"

#include "base/hash_func.h"
#include "rollout/stage_plan.h"

#include <algorithm>
#include <map>

namespace cornelwell {

namespace {

constexpr unsigned WHOLE = 1000;           ///< The whole of a share, in thousandths.
constexpr unsigned CANARY_SHARE_MIN = 120; ///< Least part of the target servers that get requests.
/** After this time other target servers of the data centre get the requests, so that a few bad
 * servers do not look like a bad version. */
constexpr Duration CANARY_TURN{1200};
constexpr Duration FULL_UPDATE_INTERVAL{2000}; ///< Between updates of services without an order.

bool isSameOrder(const RolloutState &a, const RolloutState &b)
{
    return a.target == b.target;
}

} // namespace

RolloutRegistry::RolloutRegistry(const PeerTable &peers, std::function<HostLoad()> localLoad,
                                 RegistryOptions options, std::uint64_t seed)
    : m_peers(peers), m_localLoad(std::move(localLoad)), m_options(options), m_seed(seed)
{}

RegistryChange RolloutRegistry::learn(const RolloutState &state, TimePoint now)
{
    RegistryChange change;
    const auto [position, added] = m_known.try_emplace(state.service.text());
    Known &known = position->second;
    const TimePoint confirmedAt = now - state.confirmationAge;
    const TimePoint startedAt = now - state.elapsed;
    const bool sameOrder = !added && isSameOrder(known.state, state);
    const auto order = std::make_pair(state.era, state.revision);
    const auto knownOrder = std::make_pair(known.state.era, known.state.revision);
    if (!added && order < knownOrder) {
        // A verdict stays true for its order whatever the store holds now.
        if (!sameOrder || isFinal(known.state.phase) || !isFinal(state.phase))
            return change;
    }
    if (sameOrder && isFinal(known.state.phase) && state.phase != known.state.phase) {
        known.state.era = state.era;
        known.state.revision = state.revision;
        return change;
    }
    if (sameOrder && order == knownOrder) {
        known.confirmedAt = std::max(known.confirmedAt, confirmedAt);
        known.startedAt = std::min(known.startedAt, startedAt);
        change.changed = state.suspended && !known.state.suspended;
        known.state.suspended = known.state.suspended || state.suspended;
    } else {
        change.changed
            = !sameOrder || known.state.stage != state.stage || known.state.phase != state.phase;
        change.isNew = !sameOrder;
        const bool suspended = state.suspended || (sameOrder && known.state.suspended);
        if (!sameOrder || known.state.phase != state.phase)
            known.phaseSince = now;
        known.startedAt = sameOrder ? std::min(known.startedAt, startedAt) : startedAt;
        known.confirmedAt = confirmedAt;
        known.state = state;
        known.state.suspended = suspended;
    }
    known.state.hold = false;
    if (change.changed) {
        const auto service = m_services.find(state.service.text());
        if (service != m_services.end())
            updateRule(state.service, service->second, now);
    }
    return change;
}

RegistryChange RolloutRegistry::suspend(const ServiceName &service, TimePoint now)
{
    const auto found = m_known.find(service.text());
    if (found == m_known.end() || found->second.state.suspended)
        return {};
    found->second.state.suspended = true;
    const auto rule = m_services.find(service.text());
    if (rule != m_services.end())
        updateRule(service, rule->second, now);
    return {true, false};
}

std::vector<RolloutRegistry::ReadyServer> RolloutRegistry::readyServers(const ServiceName &service,
                                                                        const HostLoad &local) const
{
    std::vector<ReadyServer> servers;
    const auto add = [&](const ServerId &daemon, const HostLoad &load, bool sameDataCentre) {
        if (load.service == service && load.state == HostState::Ready)
            servers.push_back({daemon, &load, sameDataCentre});
    };
    add(m_peers.self().name, local, true);
    for (const auto &[name, peer] : m_peers.peers()) {
        if (peer.linked && !peer.shuttingDown)
            add(name, peer.load, peer.record.dataCentre == m_peers.self().dataCentre);
    }
    return servers;
}

/** Keeps the version that serves without an order; chooses it when there is none or it is gone. */
void RolloutRegistry::updateVersion(Service &service, const std::vector<ReadyServer> &servers,
                                    const std::string &excluded, TimePoint now) const
{
    // Number of servers, and start of the first one, by version.
    std::map<std::string, std::pair<unsigned, std::int64_t>> versions;
    for (const ReadyServer &server : servers) {
        auto [position, added]
            = versions.try_emplace(server.load->version, 0, server.load->startTimeMs);
        position->second.first++;
        position->second.second = std::min(position->second.second, server.load->startTimeMs);
    }
    if (!excluded.empty())
        versions.erase(excluded);
    if (service.version && versions.count(*service.version) != 0)
        service.versionSeenAt = now;
    if (versions.empty()
        || (service.version && now - service.versionSeenAt < m_options.versionAbsentMax))
        return;
    const auto best
        = std::max_element(versions.begin(), versions.end(), [](const auto &a, const auto &b) {
              return a.second.first != b.second.first ? a.second.first < b.second.first
                                                      : a.second.second > b.second.second;
          });
    service.version = best->first;
    service.versionSeenAt = now;
}

void RolloutRegistry::updateRule(const ServiceName &name, Service &service, TimePoint now)
{
    const HostLoad local = m_localLoad();
    const std::vector<ReadyServer> servers = readyServers(name, local);
    const auto found = m_known.find(name.text());
    service.ready = true;
    service.rule = {};
    VersionRule &rule = service.rule;
    if (found == m_known.end()) {
        updateVersion(service, servers, {}, now);
        if (service.version)
            rule.baseline = {*service.version};
        return;
    }
    const RolloutState &state = found->second.state;
    if (state.phase == RolloutPhase::Completed) {
        rule.baseline = {state.target};
        service.version = state.target;
        service.versionSeenAt = now;
        return;
    }
    updateVersion(service, servers, state.target, now);
    rule.baseline = state.baseline;
    if (rule.baseline.empty() && service.version)
        rule.baseline = {*service.version};
    if (state.phase == RolloutPhase::RolledBack)
        return;
    rule.target = state.target;
    rule.hasTarget = true;
    rule.targetAllowed = !state.suspended && state.phase == RolloutPhase::Active && state.stage > 0;
    if (!rule.targetAllowed || now - found->second.confirmedAt > m_options.confirmationMax)
        return;
    rule.sharePerMille = shareOfStage(state.stage);
    chooseCanaries(rule, servers, now - found->second.startedAt);
}

/**
 * Chooses the target servers of the current turn: so few that each sees at least the load that it
 * will have later, since a version may be bad only under load. The turns follow the time since the
 * order, which all daemons know, so that they choose the same servers.
 */
void RolloutRegistry::chooseCanaries(VersionRule &rule, const std::vector<ReadyServer> &servers,
                                     Duration elapsed)
{
    std::vector<std::pair<std::uint64_t, ServerId>> own;
    std::vector<std::pair<std::uint64_t, ServerId>> other;
    for (const ReadyServer &server : servers) {
        if (server.load->version == rule.target)
            (server.sameDataCentre ? own : other)
                .emplace_back(rendezvousWeight(server.daemon.text(), rule.target), server.daemon);
    }
    if (rule.sharePerMille >= WHOLE)
        own.insert(own.end(), other.begin(), other.end());
    std::vector<std::pair<std::uint64_t, ServerId>> &targets = own.empty() ? other : own;
    std::sort(targets.begin(), targets.end());
    const std::size_t part = std::max(CANARY_SHARE_MIN, rule.sharePerMille);
    const std::size_t count = std::max<std::size_t>(1, targets.size() * part / WHOLE);
    const auto turn = static_cast<std::size_t>(elapsed.ms / CANARY_TURN.ms);
    for (std::size_t i = 0; i < targets.size() && i < count; i++)
        rule.canaries.insert(targets[(turn + i) % targets.size()].second);
}

void RolloutRegistry::tick(TimePoint now)
{
    for (auto known = m_known.begin(); known != m_known.end();) {
        const bool forgotten = !isFinal(known->second.state.phase)
                               && now - known->second.confirmedAt > m_options.forgetUnconfirmed;
        known = forgotten ? m_known.erase(known) : std::next(known);
    }
    // Without an active order the servers of a service change its rule rarely.
    const bool all = now >= m_nextFullUpdate;
    if (all)
        m_nextFullUpdate = now + FULL_UPDATE_INTERVAL;
    for (auto &[name, service] : m_services) {
        if (all || isActive(ServiceName(name)))
            updateRule(ServiceName(name), service, now);
    }
}

RolloutRegistry::Service &RolloutRegistry::serviceOf(const ServiceName &name, TimePoint now)
{
    const auto [position, added] = m_services.try_emplace(name.text());
    Service &service = position->second;
    if (added)
        service.counter = static_cast<unsigned>(hash64(name.text(), m_seed) % WHOLE);
    if (!service.ready || (service.rule.baseline.empty() && !service.rule.hasTarget))
        updateRule(name, service, now);
    return service;
}

const VersionRule &RolloutRegistry::ruleFor(const ServiceName &service, TimePoint now)
{
    return serviceOf(service, now).rule;
}

bool RolloutRegistry::takeTargetShare(const ServiceName &name, TimePoint now)
{
    Service &service = serviceOf(name, now);
    service.counter += service.rule.sharePerMille;
    if (service.rule.sharePerMille == 0 || service.counter < WHOLE)
        return false;
    service.counter -= WHOLE;
    return true;
}

bool RolloutRegistry::isRolledBack(const ServiceName &service, const std::string &version) const
{
    const auto found = m_known.find(service.text());
    return found != m_known.end() && found->second.state.phase == RolloutPhase::RolledBack
           && found->second.state.target == version;
}

std::optional<RolloutState> RolloutRegistry::stateOf(const ServiceName &service,
                                                     TimePoint now) const
{
    const auto found = m_known.find(service.text());
    if (found == m_known.end())
        return std::nullopt;
    RolloutState state = found->second.state;
    state.elapsed = now - found->second.startedAt;
    state.confirmationAge = now - found->second.confirmedAt;
    return state;
}

std::vector<RolloutState> RolloutRegistry::statesToTell(TimePoint now) const
{
    std::vector<RolloutState> states;
    for (const auto &[name, known] : m_known) {
        if (isFinal(known.state.phase) && now - known.phaseSince > m_options.announceFinal)
            continue;
        states.push_back(*stateOf(ServiceName(name), now));
    }
    return states;
}

bool RolloutRegistry::anyActive() const
{
    return std::any_of(m_known.begin(), m_known.end(),
                       [](const auto &item) { return !isFinal(item.second.state.phase); });
}

bool RolloutRegistry::isActive(const ServiceName &service) const
{
    const auto found = m_known.find(service.text());
    return found != m_known.end() && !isFinal(found->second.state.phase);
}

std::vector<std::string> RolloutRegistry::baselineOf(const ServiceName &service,
                                                     const std::string &target, TimePoint now)
{
    const auto found = m_known.find(service.text());
    if (found != m_known.end() && found->second.state.target == target
        && !found->second.state.baseline.empty())
        return found->second.state.baseline;
    std::vector<std::string> versions = serviceOf(service, now).rule.baseline;
    versions.erase(std::remove(versions.begin(), versions.end(), target), versions.end());
    return versions;
}

} // namespace cornelwell
