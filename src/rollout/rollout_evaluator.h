/** @file rollout_evaluator.h Stage changes and verdicts of roll-outs. */
#pragma once

#include "rollout/canary_analysis.h"
#include "rollout/rollout_registry.h"
#include "rollout/rollout_watch.h"

#include <variant>

namespace cornelwell {

/** Write the status of an order if its object still has this revision; then call handleWrite(). */
struct WriteRolloutStatus
{
    RolloutOrder order; ///< The status to write; revision is the condition.
};
/** Tell the peers the roll-outs at once. */
struct AnnounceRollouts
{};
/** Something to log about a roll-out. */
struct RolloutNotice
{
    const char *event = "";  ///< Name of the event.
    RolloutState state;      ///< State with its ages.
    Analysis analysis;       ///< Figures behind the decision.
    const char *reason = ""; ///< Why, in a word; may be empty.
};
using EvaluatorAction = std::variant<WriteRolloutStatus, AnnounceRollouts, RolloutNotice>;
using EvaluatorActions = std::vector<EvaluatorAction>;

/** Answer of the store to a status write. */
struct RolloutWriteAnswer
{
    bool written = false;              ///< The status is written.
    bool missing = false;              ///< There is no such object.
    std::optional<RolloutOrder> order; ///< The object as it is now.
};

/** Delays and limits of the evaluator. */
struct EvaluatorOptions
{
    Duration stageDelayPerRank = {400};   ///< Before the next evaluator raises a stage.
    Duration verdictDelayPerRank = {250}; ///< Before the next evaluator writes a verdict.
    /** No stage rises when the store has not confirmed the state for this long. */
    Duration confirmationMax = {2500};
    Duration pauseMax = {1500};       ///< A longer time between two calls voids the evidence.
    Duration writeRetryDelay = {300}; ///< After a write that the store did not do.
    Duration holdLifetime = {2500};   ///< A hold that another evaluator told lasts this long.
    std::uint64_t answersMin = 12;    ///< Answers of target servers before the next stage.
    double capacityReserve = 1.15;    ///< Slots per running request.
};

/**
 * Raises the stages of roll-outs and settles their verdicts. Each daemon that watches the store for
 * its data centre has one; no leader is needed, since each change is a write conditional on the
 * object's revision and the evaluators act after a delay by their rank.
 *
 * Does no input or output: events come in, actions go out.
 */
class RolloutEvaluator
{
public:
    /**
     * @param peers The other daemons.
     * @param localLoad Load of the local server.
     * @param registry What this daemon tells its peers and follows itself.
     * @param watch Orders as the store holds them.
     * @param options Limits.
     */
    RolloutEvaluator(const PeerTable &peers, std::function<HostLoad()> localLoad,
                     RolloutRegistry &registry, RolloutWatch &watch, EvaluatorOptions options);

    /** Takes a server's counts; @param dataCentre Data centre of the server. */
    void addEvidence(const ServerId &daemon, const DataCentreId &dataCentre,
                     const ServerEvidence &evidence, TimePoint now);
    /** Takes a peer's state, whose hold counts when the peer is an evaluator. */
    void handlePeerState(const ServerId &peer, const RolloutState &state, TimePoint now);
    /** Handles the answer to WriteRolloutStatus. */
    void handleWrite(const std::string &name, const Result<RolloutWriteAnswer> &answer,
                     TimePoint now);
    /** Does what is due. @param watching This daemon watches the store. @param era Of the store. */
    EvaluatorActions tick(bool watching, std::uint64_t era, TimePoint now);
    /** @return true when this daemon lets no stage of the service's roll-out rise. */
    bool holds(const ServiceName &service) const;

private:
    /** What the evaluator keeps for an order. */
    struct Progress
    {
        std::string target;
        unsigned stage = 0;
        RolloutPhase phase = RolloutPhase::None;
        TimePoint stageSince{0};
        TimePoint settledSince{0}; ///< Since then the stage was in force and confirmed.
        TimePoint badSince{0};     ///< When the version was found bad; 0: it was not.
        TimePoint dueSince{0};     ///< When the next step became possible; 0: it is not.
        TimePoint nextWriteAt{0};
        std::map<ServerId, TimePoint> heldUntil; ///< By other evaluators.
        bool writePending = false;
        bool hold = false; ///< By this evaluator.
        const char *heldFor = "";
    };
    /** Servers of a service by version, as this daemon knows them. */
    struct Servers
    {
        std::size_t targets = 0;    ///< Ready servers of the target version.
        double warmSlots = 0;       ///< Slots of those that are warm.
        double running = 0;         ///< Requests that run or wait at any server.
        double baselineRunning = 0; ///< Those at other servers than the target's.
    };

    Servers serversOf(const RolloutOrder &order) const;
    unsigned rank(const ServiceName &service, TimePoint now) const;
    void evaluate(const RolloutOrder &order, std::uint64_t era, TimePoint now,
                  EvaluatorActions &actions);
    void decide(const RolloutOrder &order, Progress &progress, const RolloutState &state,
                TimePoint now, EvaluatorActions &actions);
    const char *obstacle(const RolloutOrder &order, const Progress &progress,
                         const RolloutState &state, const Servers &servers,
                         const Analysis &analysis, TimePoint now) const;
    void write(const RolloutOrder &order, Progress &progress, RolloutPhase phase, unsigned stage,
               const RolloutState &state, const Analysis &analysis, const char *reason,
               EvaluatorActions &actions);

    const PeerTable &m_peers;
    const std::function<HostLoad()> m_localLoad;
    RolloutRegistry &m_registry;
    RolloutWatch &m_watch;
    const EvaluatorOptions m_options;
    CanaryAnalysis m_analysis{AnalysisOptions()};
    std::map<std::string, Progress> m_progress; ///< By name of the object.
    TimePoint m_lastTickAt{0};
    TimePoint m_resumedAt{0}; ///< End of the last pause of this process.
};

} // namespace cornelwell
