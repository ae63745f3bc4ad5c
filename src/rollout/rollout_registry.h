/** @file rollout_registry.h The roll-outs that a daemon knows, and what they mean for requests. */
#pragma once

#include "fleet/peer_table.h"
#include "rollout/rollout_type.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelwell {

/** Time limits of the registry. */
struct RegistryOptions
{
    /** Without a confirmation for this long the target version gets nothing. */
    Duration confirmationMax = {3000};
    /** Final states are told to peers for this long after they became known. */
    Duration announceFinal = {60000};
    /** An active state that nobody confirms is forgotten after this. */
    Duration forgetUnconfirmed = {60000};
    /** A version is given up when none of its servers was ready for this long. */
    Duration versionAbsentMax = {10000};
};

/** What a change of the registry calls for. */
struct RegistryChange
{
    bool changed = false; ///< Stage, phase, order or suspension changed; peers should hear of it.
    bool isNew = false;   ///< The order was not known before.
};

/**
 * Knows the newest state of each roll-out and derives from it which servers are eligible for a
 * request and which share goes to the target version. Without a roll-out, only the version that
 * most ready servers of the service have is eligible. A restarted daemon starts without any state,
 * so with share 0.
 */
class RolloutRegistry
{
public:
    /**
     * @param peers The other daemons; outlives the registry.
     * @param localLoad Returns the load of the local server.
     * @param options Time limits.
     * @param seed Seed of the start positions of the share counters.
     */
    RolloutRegistry(const PeerTable &peers, std::function<HostLoad()> localLoad,
                    RegistryOptions options, std::uint64_t seed);

    /**
     * Takes over a state that the store or a peer told. An older revision never replaces a newer
     * one within an era, and a final phase stays for its order, also when the store came back from
     * an older copy.
     */
    RegistryChange learn(const RolloutState &state, TimePoint now);
    /** Notes that an evaluator found the target version bad; it gets nothing from now on. */
    RegistryChange suspend(const ServiceName &service, TimePoint now);
    /** Recalculates the rules; called several times a second. */
    void tick(TimePoint now);

    /** @return the rule for the requests of a service. */
    const VersionRule &ruleFor(const ServiceName &service, TimePoint now);
    /** Takes the next request of a service. @return true when it is of the target's part. */
    bool takeTargetShare(const ServiceName &service, TimePoint now);
    /** @return true when a server of this version must not run requests any more. */
    bool isRolledBack(const ServiceName &service, const std::string &version) const;

    /** @return the state with its ages at @p now, or nothing. */
    std::optional<RolloutState> stateOf(const ServiceName &service, TimePoint now) const;
    /** @return the states to tell to peers. */
    std::vector<RolloutState> statesToTell(TimePoint now) const;
    /** @return true while an order is active. */
    bool anyActive() const;
    /** @return true while an order for the service is active. */
    bool isActive(const ServiceName &service) const;
    /** @return versions that serve or served before the order. */
    std::vector<std::string> baselineOf(const ServiceName &service, const std::string &target,
                                        TimePoint now);

private:
    /** A roll-out and when it was confirmed. */
    struct Known
    {
        RolloutState state;
        TimePoint confirmedAt{0};
        TimePoint startedAt{0};  ///< When the order began, by its elapsed time.
        TimePoint phaseSince{0}; ///< When the phase became known.
    };
    /** Rule of a service, with what is remembered for it. */
    struct Service
    {
        VersionRule rule;
        std::optional<std::string> version; ///< Version that serves without an order.
        TimePoint versionSeenAt{0};         ///< When a server of that version was last ready.
        unsigned counter = 0;               ///< Share counter, in thousandths of a request.
        bool ready = false;                 ///< The rule was calculated.
    };
    /** A ready server. */
    struct ReadyServer
    {
        ServerId daemon;
        const HostLoad *load;
        bool sameDataCentre;
    };

    std::vector<ReadyServer> readyServers(const ServiceName &service, const HostLoad &local) const;
    void updateVersion(Service &service, const std::vector<ReadyServer> &servers,
                       const std::string &excluded, TimePoint now) const;
    void updateRule(const ServiceName &name, Service &service, TimePoint now);
    static void chooseCanaries(VersionRule &rule, const std::vector<ReadyServer> &servers,
                               Duration elapsed);
    Service &serviceOf(const ServiceName &name, TimePoint now);

    const PeerTable &m_peers;
    const std::function<HostLoad()> m_localLoad;
    const RegistryOptions m_options;
    const std::uint64_t m_seed;
    std::unordered_map<std::string, Known> m_known;      ///< By service.
    std::unordered_map<std::string, Service> m_services; ///< By service, those with requests.
    TimePoint m_nextFullUpdate{0};
};

} // namespace cornelwell
