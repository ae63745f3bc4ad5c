/** @file dispatcher.h Choice of server, repeats and the final answer of callers' requests. */
#pragma once

#include "dispatch/dispatch_type.h"
#include "dispatch/server_choice.h"
#include "retry/service_retry_budget.h"

#include <functional>
#include <unordered_map>

namespace cornelwell {

/** Bounds of the dispatch. */
struct DispatchOptions
{
    unsigned offersPerAttemptMax = 4; ///< Daemons asked for one handing over.
    double hedgeDelayWorkFactor
        = 2.2; ///< A second server is asked after this many times the usual time,
    double hedgeDelayTimeShare = 0.3;   ///< and after this share of the time that the call has.
    double hedgeWorkRatioMax = 0.8;     ///< It has to be faster than the first by this factor.
    Duration defaultRetryAfter = {150}; ///< Advice when nothing better is known.
    ChoiceOptions choice;               ///< Weights of the choice.
};

/** Events in, actions out; no input and output. */
class Dispatcher
{
public:
    /**
     * @param table Beliefs about peers; their counts of calls under way are kept here.
     * @param budget Repeats.
     * @param localLoad Gives the load of the server beside this daemon.
     * @param options Bounds.
     * @param seed Of the jitter.
     */
    Dispatcher(PeerTable &table, ServiceRetryBudget &budget, std::function<HostLoad()> localLoad,
               DispatchOptions options, std::uint64_t seed);

    /** A request begins. */
    DispatchActions begin(PendingRequestId id, RequestAttributes attributes, TimePoint now);
    /** An offer ended. */
    DispatchActions offerEnded(OfferId offer, const HostOutcome &outcome, TimePoint now);
    /** The link to a daemon broke. */
    DispatchActions linkLost(const ServerId &daemon, TimePoint now);
    /**
     * The link to a daemon is open again.
     * @param restarted The daemon has started anew meanwhile and knows nothing of its offers.
     */
    DispatchActions linkOpened(const ServerId &daemon, bool restarted, TimePoint now);
    /** @return when a second server should be asked, from now; 0 for never. */
    Duration hedgeDelay(PendingRequestId id, TimePoint now) const;
    /** The first server takes unusually long: another one with free room is asked besides. */
    DispatchActions hedge(PendingRequestId id, TimePoint now);
    /** The caller left. */
    DispatchActions callerLeft(PendingRequestId id);
    /** The request's time is over. */
    DispatchActions timedOut(PendingRequestId id);
    /** Ends every request that is left: the process stops. */
    DispatchActions endAll();
    /** @return the plan of a request, or null. */
    const RequestAttributes *attributes(PendingRequestId id) const;
    /** @return requests under way. */
    std::size_t pendingCount() const { return m_pendingRequests.size(); }

private:
    /** An offer that has not ended. */
    struct OpenOffer
    {
        OfferId id = 0;
        ServerId daemon;    ///< Where it is.
        bool lost = false;  ///< The link broke under it.
        bool hedge = false; ///< Made besides another one.
    };
    /** A request under way. */
    struct PendingRequest
    {
        RequestAttributes attributes;
        std::vector<OpenOffer> open; ///< One, or two when a second server was asked.
        unsigned handed = 0;         ///< Servers that received it.
        unsigned offers = 0;         ///< Daemons asked since it was handed to a server.
        bool unknown = false;        ///< It may have been run by a server.

        std::set<ServerId> refused;           ///< Daemons that had no room.
        Duration retryAfter{0};               ///< Shortest advice heard.
        HostReason reason = HostReason::None; ///< Why the last offer failed.
        std::optional<HttpResponse> failure;  ///< The last failure that a server answered.
    };
    using PendingRequests = std::unordered_map<PendingRequestId, PendingRequest>;

    void place(PendingRequestId id, PendingRequest &pending, TimePoint now,
               DispatchActions &actions);
    ChoiceRequest choiceFor(const PendingRequest &pending, TimePoint now) const;
    void send(PendingRequestId id, PendingRequest &pending, const Candidate &chosen,
              Duration waitMax, DispatchActions &actions);
    OpenOffer closeOffer(PendingRequest &pending, OfferId offer);
    void erase(PendingRequestId id, DispatchActions &actions);
    std::vector<std::pair<PendingRequestId, OfferId>> offersAt(const ServerId &daemon,
                                                               bool lost) const;
    void notRun(PendingRequestId id, PendingRequest &pending, const HostOutcome &outcome,
                TimePoint now, DispatchActions &actions);
    void failed(PendingRequestId id, PendingRequest &pending, const HostOutcome &outcome,
                TimePoint now, DispatchActions &actions);
    bool mayRepeat(const PendingRequest &pending, TimePoint now) const;
    bool mayRepeatFailure(const PendingRequest &pending, const HostOutcome &outcome, TimePoint now);
    void refuse(PendingRequestId id, const PendingRequest &pending, TimePoint now,
                DispatchActions &actions);
    void answerOwn(PendingRequestId id, int status, HostReason reason, Duration retryAfter,
                   DispatchActions &actions);
    void cancelOpen(PendingRequest &pending, DispatchActions &actions);
    const PendingRequest *giveUp(PendingRequestId id, DispatchActions &actions);
    void learn(const PendingRequest &pending, const HostOutcome &outcome);

    PeerTable &m_table;
    ServiceRetryBudget &m_budget;
    std::function<HostLoad()> m_localLoad;
    const DispatchOptions m_options;
    Random m_random;
    PendingRequests m_pendingRequests;
    std::unordered_map<OfferId, PendingRequestId> m_offers;
    /** What is usual for the calls of a route. */
    struct Usual
    {
        double kilobytes = 0;
        double workMs = 0;
    };
    std::unordered_map<std::string, Usual> m_usual;
    OfferId m_lastOffer = 0;
};

} // namespace cornelwell
