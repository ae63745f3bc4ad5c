/** @file dispatcher.h Offers, retries, hedges and the final answer of callers' requests. */
#pragma once

#include "dispatch/call_rank.h"
#include "dispatch/dispatch_type.h"
#include "dispatch/retry_advice.h"
#include "dispatch/server_choice.h"
#include "retry/service_retry_budget.h"
#include "rollout/rollout_registry.h"

#include <functional>
#include <unordered_map>

namespace cornelwell {

/** Limits of the dispatcher. */
struct DispatchOptions
{
    unsigned offersPerAttemptMax = 4;  ///< Offers until one of them reaches a server.
    double hedgeDelayWorkFactor = 2.2; ///< Least hedge delay, in mean work times of the route.
    double hedgeDelayTimeShare = 0.3;  ///< Least hedge delay, as a share of the time left.
    double hedgeWorkRatioMax = 0.8; ///< Largest work time of the second server, over the first's.
    bool hedges = true;             ///< Offer slow idempotent requests to a second server as well.
    bool boundsWaits = true;   ///< Offers name the longest wait before another server is better.
    bool failedRetries = true; ///< What is sent again after a failure counts as a retry.
    CallRankOptions rank;      ///< What the ranks of calls are made of.
    RetryAdviceOptions retryAdvice; ///< Bounds of the advice to callers.
    ChoiceOptions choice;           ///< Weights of the server choice.
};

/**
 * Dispatches callers' requests: chooses a server, offers the request to the server's hosting
 * daemon, retries where that is safe and answers the caller. It performs no input or output: each
 * event returns the actions that the owner performs.
 */
class Dispatcher
{
public:
    /**
     * @param table Last reported state of the peers; the dispatcher counts its open offers there.
     * @param budget Retry budget by service; hedges use it too.
     * @param localLoad Returns the load of the local server.
     * @param options Limits.
     * @param seed Seed of the server choice and of the jitter.
     */
    Dispatcher(PeerTable &table, ServiceRetryBudget &budget, std::function<HostLoad()> localLoad,
               DispatchOptions options, std::uint64_t seed);

    /** Sets the roll-outs that restrict the choice of servers. @param rollouts Null for none. */
    void setRollouts(RolloutRegistry *rollouts) { m_rollouts = rollouts; }

    /** Begins to dispatch a request. */
    DispatchActions begin(PendingRequestId id, RequestAttributes attributes, TimePoint now);
    /** Handles the outcome of an offer; ignores an offer that is no longer open. */
    DispatchActions offerEnded(OfferId offer, const HostOutcome &outcome, TimePoint now);
    /**
     * Handles the loss of the link to a hosting daemon. Idempotent requests are retried at once;
     * for other requests the outcome is asked for when the link is open again.
     */
    DispatchActions linkLost(const ServerId &daemon, TimePoint now);
    /**
     * Handles a new link to a hosting daemon.
     * @param daemon The hosting daemon.
     * @param restarted True when the daemon has restarted and cannot tell the outcome of offers.
     * @param now Current time.
     */
    DispatchActions linkOpened(const ServerId &daemon, bool restarted, TimePoint now);
    /** @return delay from @p now after which to call hedge(); 0 when the request is not hedged. */
    Duration hedgeDelay(PendingRequestId id, TimePoint now) const;
    /**
     * Offers the request to a second server as well, and the first answer counts. The second server
     * must have a free slot, and it must be faster unless the state of the first one's daemon is
     * stale.
     */
    DispatchActions hedge(PendingRequestId id, TimePoint now);
    /** Drops the request of a caller that has closed its connection. */
    DispatchActions callerDisconnected(PendingRequestId id);
    /** Answers a request that has reached its deadline with status 504. */
    DispatchActions timedOut(PendingRequestId id);
    /** Ends all pending requests like timedOut(), before the process exits. */
    DispatchActions endAll();
    /** @return the attributes of a request; null when it is not pending. */
    const RequestAttributes *attributes(PendingRequestId id) const;
    /** @return expected size of an open offer's answer when it is large, in bytes, else 0. */
    std::uint64_t bulkBytesOf(OfferId offer) const;
    /** @return size of an open offer's request body when it is large, else 0. */
    std::uint64_t uploadBytesOf(OfferId offer) const;
    /** @return number of pending requests. */
    std::size_t pendingCount() const { return m_pendingRequests.size(); }

private:
    /** An offer whose outcome is not known. */
    struct OpenOffer
    {
        OfferId id = 0;
        ServerId daemon;               ///< Hosting daemon.
        bool linkBroken = false;       ///< The link to the daemon broke and is not open again.
        std::uint64_t bulkBytes = 0;   ///< Expected size of a large answer, else 0.
        std::uint64_t uploadBytes = 0; ///< Size of a large request body, else 0.
        bool isHedge = false; ///< The request had another open offer when this one was sent.
    };
    /** A request that the caller waits for. */
    struct PendingRequest
    {
        RequestAttributes attributes;
        std::vector<OpenOffer> openOffers; ///< At most two: the second one is a hedge.
        unsigned attempts = 0;             ///< Ended offers that had reached a server.
        unsigned offers = 0;               ///< Offers since the last attempt, without hedges.
        bool mayHaveRun = false;           ///< A server may have run the request.
        bool wantsTarget = false;          ///< Of the share of a roll-out's target version.

        std::set<ServerId> excluded;          ///< Hosting daemons that get no further offer.
        Duration retryAfter{0};               ///< Shortest delay that a daemon advised; 0: none.
        HostReason reason = HostReason::None; ///< Reason of the last outcome.
        std::optional<HttpResponse> failure;  ///< Last response with a 5xx status.
    };
    using PendingRequests = std::unordered_map<PendingRequestId, PendingRequest>;

    void offerToBestServer(PendingRequestId id, PendingRequest &pending, TimePoint now,
                           DispatchActions &actions);
    ChoiceRequest choiceRequestOf(const PendingRequest &pending, TimePoint now) const;
    bool keepsTarget(const PendingRequest &pending, TimePoint now) const;
    std::uint64_t expectedBulkBytes(const PendingRequest &pending) const;
    Duration expectedWork(const Route &route) const;
    void sendOffer(PendingRequestId id, PendingRequest &pending, const Candidate &chosen,
                   Duration queueWaitMax, TimePoint now, DispatchActions &actions);
    const OpenOffer *findOffer(OfferId offer) const;
    OpenOffer closeOffer(PendingRequest &pending, OfferId offer);
    void erase(PendingRequestId id, DispatchActions &actions);
    std::vector<std::pair<PendingRequestId, OfferId>> offersAt(const ServerId &daemon,
                                                               bool linkBroken) const;
    void handleNotRun(PendingRequestId id, PendingRequest &pending, const HostOutcome &outcome,
                      TimePoint now, DispatchActions &actions);
    void handleFailure(PendingRequestId id, PendingRequest &pending, const HostOutcome &outcome,
                       TimePoint now, DispatchActions &actions);
    bool mayRetry(const PendingRequest &pending, TimePoint now) const;
    bool takeFailureRetry(const PendingRequest &pending, const HostOutcome &outcome, TimePoint now);
    void answerWithoutServer(PendingRequestId id, const PendingRequest &pending, TimePoint now,
                             DispatchActions &actions);
    void sendLocalReply(PendingRequestId id, int status, HostReason reason, Duration retryAfter,
                        DispatchActions &actions);
    void cancelOpenOffers(PendingRequest &pending, DispatchActions &actions);
    const PendingRequest *cancelRequest(PendingRequestId id, DispatchActions &actions);
    void updateStatistics(const PendingRequest &pending, const HostOutcome &outcome);

    PeerTable &m_table;
    ServiceRetryBudget &m_budget;
    std::function<HostLoad()> m_localLoad;
    RolloutRegistry *m_rollouts = nullptr;
    const DispatchOptions m_options;
    Random m_random;
    PendingRequests m_pendingRequests;
    std::unordered_map<OfferId, PendingRequestId> m_offers;
    /** Moving averages over the answered requests of a route. */
    struct RouteStatistics
    {
        double responseKb = 0; ///< Size of the response's body, in KiB.
        double workMs = 0;     ///< Time at the server, in milliseconds.
    };
    std::unordered_map<std::string, RouteStatistics> m_routeStatistics; ///< By name of the route.
    OfferId m_lastOffer = 0;
};

} // namespace cornelwell
