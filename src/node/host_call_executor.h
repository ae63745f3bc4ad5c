/** @file host_call_executor.h Runs calls on the local server as HostScheduler decides. */
#pragma once

#include "hosting/host_scheduler.h"
#include "hosting/nested_failures.h"
#include "link/link_message_type.h"
#include "log/decision_log.h"
#include "node/body_transfers.h"
#include "node/server_connection_pool.h"

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

namespace cornelwell {

/** Identity of an offer, unique across restarts of the daemon that sent it. */
struct CallOrigin
{
    ServerId daemon;               ///< Daemon that sent the offer.
    std::uint64_t incarnation = 0; ///< Incarnation of that daemon.
    OfferId offer = 0;             ///< Identifier of the offer at that daemon.

    friend bool operator<(const CallOrigin &a, const CallOrigin &b)
    {
        if (a.offer != b.offer)
            return a.offer < b.offer;
        return a.incarnation != b.incarnation ? a.incarnation < b.incarnation : a.daemon < b.daemon;
    }
};

/** Receives the events of HostCallExecutor. */
class HostCallListener
{
public:
    virtual ~HostCallListener() = default;
    /** A call ended and its sender wants the outcome. */
    virtual void callCompleted(const CallOrigin &origin, const HostOutcome &outcome) = 0;
    /** The state of the server changed; peers have to be informed immediately. */
    virtual void serverStateChanged() = 0;
    /** The sender of a call may send the next bytes of its body. */
    virtual void bodyGranted(const CallOrigin &origin, std::uint64_t bytes) = 0;
    /** A request broke off shortly before the server went down. */
    virtual void requestSuspectedOfCrash(std::uint64_t fingerprint, const std::string &route) = 0;
    /** A report of the local server was handled or set aside. */
    virtual void reportHandled(const ServerReport &report, ReportVerdict verdict)
    {
        (void)report, (void)verdict;
    }
    /** The local server ended a request. @param rank Rank of the request. */
    virtual void requestEnded(unsigned rank) { (void)rank; }
    /**
     * A request that was sent to the server ended.
     * @param route Its route.
     * @param finish How it ended.
     * @param time Time since it was sent to the server.
     * @param nestedFailure A failed call that the server made explains its failure.
     */
    virtual void requestMeasured(const std::string &route, HostFinish finish, Duration time,
                                 bool nestedFailure)
    {
        (void)route, (void)finish, (void)time, (void)nestedFailure;
    }
};

/** Runs calls on the local server and keeps the outcomes of calls that are not idempotent. */
class HostCallExecutor : private BodyReceiverListener
{
public:
    HostCallExecutor(EventLoop &loop, const CallFields &fields, HostCallListener &listener,
                     DecisionLog &log, const OutputScheduler &link,
                     HostSchedulerOptions options = HostSchedulerOptions());
    ~HostCallExecutor() override;

    /** Handles a report of the local server. */
    void handleReport(const ServerReport &report);
    /** Handles the deregistration of a server. */
    void handleDeregistration(const ServerReport &report);
    /** Handles what a peer knows of the server from before a restart of this daemon. */
    void handleRestrictions(const ServerId &peer, const ServerRestrictions &restrictions);
    /** Refuses new calls, because the daemon is shutting down. */
    void beginShutdown();
    /** Handles an offer of a call. A body that follows is granted when there is room for it. */
    void offer(const CallOrigin &origin, LinkCall call);
    /** Handles the next bytes of a call's body; ignores those of an unknown call. */
    void addBodyPart(const CallOrigin &origin, const std::string &bytes);
    /** Records bytes that arrived over the VM's link. */
    void recordLinkInput(std::size_t bytes) { m_bodies.recordInput(bytes); }
    /** Cancels a call. @param onlyIfQueued Leave the call alone when the server has started it. */
    void cancel(const CallOrigin &origin, bool onlyIfQueued = false);
    /** Handles the loss of a sender's link: cancels its idempotent and queued calls; others go on.
     */
    void handleSenderLost(const ServerId &daemon, std::uint64_t incarnation);
    /**
     * @return the kept outcome of a call, for a sender whose link was lost; nothing while the call
     * runs. HostReason::Forgotten for an unknown call: it has not run, unless outcomes of calls
     * whose deadline is not over had to be dropped.
     */
    std::optional<HostOutcome> findOutcome(const CallOrigin &origin);
    /** Records that a nested call of the server failed. */
    void recordNestedFailure() { m_nestedFailures.record(m_loop.now()); }
    /** Does the periodic work; called several times a second. */
    void tick();

    /** @return the load of the server. */
    HostLoad load() const;
    /** @return queued calls that gave way to a tenant with fewer. */
    std::uint64_t displacedCalls() const { return m_scheduler.displacedCalls(); }
    /** @return number of calls that are queued or running. */
    std::size_t callCount() const { return m_calls.size(); }
    /** @return bytes that unfinished answers of the server hold. */
    std::size_t bufferedBytes() const { return m_pool.bufferedBytes(); }
    /** @return transfers of request bodies. */
    const BodyReceiver &bodies() const { return m_bodies; }
    /** @return number of connections attempted to the server. */
    std::uint64_t connectionsOpened() const { return m_pool.connectionsOpened(); }

private:
    /** A call that is queued or running. */
    struct Call
    {
        CallOrigin origin;
        LinkCall call;
        TimePoint arrived{0};
        TimePoint deadline{0};
        bool running = false;
        TimePoint started{0};   ///< When the call was sent to the server.
        bool cancelled = false; ///< The sender does not want the outcome.
    };
    /** An outcome kept for a sender whose link was lost. */
    struct KeptOutcome
    {
        HostOutcome outcome;
        TimePoint until{0};
    };

    void bodyGranted(HostCallId id, std::uint64_t bytes) override;
    void bodyWhole(HostCall call, std::string body) override;
    void bodyBrokenOff(const HostCall &call, HostReason reason, std::uint64_t arrived) override;
    void beginTransfer(const HostCall &call, const LinkCall &linkCall);
    void breakOffTransfers();
    void logBrokenOff(const Call &call, HostReason reason, std::uint64_t arrived);
    std::uint64_t waitingBodyBytes() const;
    static HostOutcome notRunOutcome(HostReason reason, Duration retryAfter);
    void announceLeaving(HostState before);
    void logPaceChange();
    void execute(const HostDecisions &decisions);
    void start(HostCallId id);
    void handleResult(HostCallId id, const ServerResult &result);
    void handleAdvisory(HostCallId id, const Result<ServerAdvisory> &advisory);
    void completeCall(HostCallId id, const HostOutcome &outcome);
    void checkUnresponsiveServer();
    void startQueueTimer();
    void endOverdueCalls();
    void keepOutcome(const Call &call, const HostOutcome &outcome);
    void dropOldestOutcome();
    void probeServer();
    void handleServerDown();
    HttpRequest takeServerRequest(Call &call) const;

    EventLoop &m_loop;
    const CallFields &m_fields;
    HostCallListener &m_listener;
    DecisionLog &m_log;
    HostScheduler m_scheduler;
    BodyReceiver m_bodies;
    ServerConnectionPool m_pool;
    std::unordered_map<HostCallId, Call> m_calls;
    std::map<CallOrigin, HostCallId> m_byOrigin;
    std::map<CallOrigin, KeptOutcome> m_keptOutcomes;
    std::deque<CallOrigin> m_keptOutcomesInOrder; ///< Oldest first.
    TimePoint m_outcomesMissingUntil{0};          ///< Until then an unknown call may have run.
    std::deque<std::pair<TimePoint, std::pair<std::uint64_t, std::string>>>
        m_crashSuspects;     ///< Requests that broke off recently.
    bool m_narrowed = false; ///< The pace bounds the calls below the slots, as last logged.
    NestedFailures m_nestedFailures;
    HostCallId m_lastCallId = 0;
    TimePoint m_nextProbeAt{0};
    TimerId m_queueTimer = 0;
    TimePoint m_queueTimerAt{0}; ///< When m_queueTimer fires.
};

} // namespace cornelwell
