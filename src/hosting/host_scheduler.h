/** @file host_scheduler.h Admission and queueing of the calls for a daemon's local server. */
#pragma once

#include "bandwidth/output_scheduler.h"
#include "hosting/call_queue.h"
#include "hosting/concurrency_controller.h"
#include "hosting/hosting_type.h"
#include "hosting/rate_limiter.h"
#include "hosting/report_order.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace cornelwell {

/** A call is refused when less than this share of its processing time is left to its deadline. */
constexpr double PROCESSING_SHARE_MIN = 0.4;

/** Bounds of the scheduler. */
struct HostSchedulerOptions
{
    std::size_t queueMax = 256;        ///< Calls that may wait in the queue.
    double initialProcessingMs = 200;  ///< Processing time, in ms, assumed until one was measured.
    Duration retryAfterMin = {60};     ///< Shortest wait that a refusal advises.
    Duration lateRetryWaitMax = {150}; ///< Longest wait of a retry that misses its soft deadline.
    /** Refuse calls that would miss their soft deadline; otherwise only their deadline counts. */
    bool refusesBySoftDeadline = true;
    bool usesRunningAges = true;  ///< The age of running calls raises the mean processing time.
    RateLimiterOptions rateLimit; ///< How a limit that the server names is followed.
    /** Bound the calls at a server that has started, has recovered or is slow by its answers. */
    bool pace = false;
    /** Calls that have to start within this time start beyond that bound, in a free slot. */
    Duration paceMargin = {80};
};

/**
 * Decides which calls the local server gets, when each starts, and which are refused.
 *
 * Holds the authoritative state of the local server; peers get copies of it through load(). Does no
 * input or output: the caller carries out the returned decisions. Not thread-safe.
 */
class HostScheduler
{
public:
    /**
     * @param options Bounds.
     * @param link Messages that wait for the VM's network link; outlives the scheduler. Null when
     *     the link is not considered.
     */
    explicit HostScheduler(HostSchedulerOptions options, const OutputScheduler *link = nullptr)
        : m_options(options), m_link(link), m_rateLimiter(options.rateLimit)
    {}

    /**
     * Handles a report of the local server.
     * @return decisions about queued calls; none when the report is set aside.
     */
    HostDecisions handleReport(const ServerReport &report, TimePoint now);
    /** @return what became of the last report. */
    ReportVerdict reportVerdict() const { return m_reportVerdict; }
    /**
     * Handles a deregistration; the server gets no more calls.
     * @param instance The server.
     * @param startTimeMs Start of the server in milliseconds of Unix time; 0 when unknown.
     * @param now Time.
     * @return refusals of the queued calls; none when another server is registered.
     */
    HostDecisions handleDeregistration(const std::string &instance, std::int64_t startTimeMs,
                                       TimePoint now);
    /** @return true when handleRestrictions() would change anything. */
    bool isNews(const ServerRestrictions &restrictions, TimePoint now) const;
    /**
     * Handles what a peer knows of a server from before a restart of this daemon. Ignored when the
     * server's own answers have told more since.
     * @return refusals of the queued calls when the registered server leaves.
     */
    HostDecisions handleRestrictions(const ServerRestrictions &restrictions, TimePoint now);
    /** Handles a refused connection. @return refusals of the queued calls. */
    HostDecisions handleServerDown(TimePoint now);
    /** @return true for a call at the registered server, false for one at an earlier one. */
    bool isAtRegisteredServer(HostCallId id) const;
    /** Handles an answer from an unregistered instance. @return refusals of the queued calls. */
    HostDecisions handleInstanceChanged(TimePoint now);
    /** Starts to refuse all new calls, for shutdown. @return refusals of the queued calls. */
    HostDecisions beginShutdown(TimePoint now);

    /**
     * Submits a call.
     * @return decisions about this or queued calls; without one about this call, it is queued.
     */
    HostDecisions submit(HostCall call, TimePoint now);
    /**
     * Decides on a call whose body has not been transferred, as submit() would on a whole one.
     * @return the refusal; nothing when the body may be transferred.
     */
    std::optional<HostDecision> checkOffer(HostCall call, TimePoint now) const;
    /** @return latest time at which a call may start and still end before its deadline. */
    TimePoint latestStart(const HostCall &call) const;
    /** @return latest time at which it may start and be expected before its soft deadline. */
    TimePoint latestSoftStart(const HostCall &call) const;
    /**
     * Records the end of a call that was sent to the server.
     * @param id The call.
     * @param finish How it ended.
     * @param processingTime Time from sending the request to its end.
     * @param now Time.
     * @param answerBytes Size of the body of the server's answer.
     * @return decisions about queued calls, since a slot is free.
     */
    HostDecisions complete(HostCallId id, HostFinish finish, Duration processingTime, TimePoint now,
                           std::size_t answerBytes = 0);
    /**
     * Handles what the server says of itself in its answer to a call. Call it before complete().
     * @param id The call; the advisory is ignored when another server has registered since it
     *     started.
     * @param advisory The advisory.
     * @param now Time.
     * @return decisions about queued calls.
     */
    HostDecisions handleAdvisory(HostCallId id, const ServerAdvisory &advisory, TimePoint now);
    /** Removes a call from the queue. @return false when the call was not queued. */
    bool cancelQueued(HostCallId id);
    /**
     * Refuses queued calls that would miss their deadline or, in a long queue, their soft deadline,
     * and starts those that the server's limit held. Must be called periodically.
     */
    HostDecisions tick(TimePoint now);

    /** @return the load that the daemon reports to its peers. */
    HostLoad load(TimePoint now) const;
    /** @return the registered server's identity; empty when none is registered. */
    const std::string &instance() const { return m_server.instance; }
    /** @return the advisory of the registered server that is in force. */
    const ServerAdvisory &advisory() const { return m_advisory; }
    /** @return time until the server's limit lets the next queued call start; 0: no limit does. */
    Duration nextStartDelay(TimePoint now) const
    {
        return m_queue.empty() ? Duration{0} : m_rateLimiter.waitFor(1, now);
    }
    /** @return the state of the server. */
    HostState state() const { return m_state; }
    /** @return the registered server's address. */
    const Endpoint &address() const { return m_server.address; }
    /** @return calls that may run at once at the server: its slots, or less in pace. */
    unsigned bound() const
    {
        return m_options.pace ? std::min(m_server.slots, m_pace.bound()) : m_server.slots;
    }
    /** @return slots of the registered server. */
    unsigned slots() const { return m_server.slots; }
    /** @return what bounds the calls at the server when HostSchedulerOptions::pace is set. */
    const ConcurrencyController &pace() const { return m_pace; }
    /** @return queued calls that gave way to a tenant with fewer, since the start. */
    std::uint64_t displacedCalls() const { return m_displacedCalls; }
    /** @return number of queued calls. */
    std::size_t queued() const { return m_queue.size(); }
    /** @return start time of the call that has run for longest; NEVER when none runs. */
    TimePoint oldestStart() const;
    /** @return number of calls at the server. */
    std::size_t running() const { return m_running.size(); }

private:
    /** Deregistration of a server. */
    struct Deregistration
    {
        std::int64_t startTimeMs = 0; ///< Latest start that is deregistered; 0: all starts.
        TimePoint recordedAt{0};
        bool wasRegistered = false; ///< The server was registered here.
    };

    void dropDeregistration();
    bool isDeregistered(const std::string &instance, std::int64_t startTimeMs, TimePoint now) const;
    bool isAtRegisteredServer(const HostCall &call) const;
    bool isRegistered(const ServerRestrictions &restrictions) const;
    void resetServer(TimePoint now);
    HostDecisions refuseQueued(HostReason reason);
    HostDecisions startQueued(TimePoint now);
    double expectedProcessingMs(const std::string &route) const;
    Duration expectedWait(const HostCall &call, unsigned concurrency, TimePoint now) const;
    Duration expectedDelay(const HostCall &call, unsigned concurrency, TimePoint now) const;
    void recordEndInPace(const HostCall &call, HostFinish finish, Duration processingTime,
                         TimePoint now);
    std::uint64_t expectedBulkBytes(const HostCall &call) const;
    double linkTimeMs(std::uint64_t bytes) const;
    std::uint64_t linkBytesCommitted() const;
    double meanProcessingMs(TimePoint now) const;
    const HostCall *nextQueued(TimePoint now) const;
    HostReason checkAdmission(HostCall &call, TimePoint now, HostCallId &displaced) const;
    HostReason checkQueued(const HostCall &call, std::size_t callsAhead, TimePoint now) const;
    void setLimit(std::optional<double> requestsPerSecond, TimePoint now);
    HostDecision makeRefusal(HostCallId id, HostReason reason, Duration wait) const;

    const HostSchedulerOptions m_options;
    const OutputScheduler *m_link = nullptr;
    ServerReport m_server; ///< Latest report of the registered server.
    ReportOrder m_reportOrder;
    ReportVerdict m_reportVerdict = ReportVerdict::Current; ///< See reportVerdict().
    ServerAdvisory m_advisory;      ///< Advisory of the registered server that is in force.
    TimePoint m_limitNamedAt{0};    ///< When an answer, or a peer, last named the limit.
    bool m_advisoryHeard = false;   ///< The registered server has answered this daemon.
    ServerRestrictions m_toldLimit; ///< Limit of a server that has not registered yet.
    RateLimiter m_rateLimiter;
    ConcurrencyController m_pace; ///< Used only when HostSchedulerOptions::pace is set.
    HostState m_state = HostState::None;
    bool m_shuttingDown = false; ///< The daemon shuts down.
    TimePoint m_coldUntil{0};    ///< The server is slow after its start until then.
    std::map<std::string, Deregistration> m_deregistrations; ///< By server instance.
    CallQueue m_queue;
    std::unordered_map<HostCallId, HostCall> m_running;
    std::int64_t m_startTimeSumMs = 0; ///< Sum of the start times of running calls.
    std::unordered_map<std::string, double> m_processingMsByRoute; ///< Smoothed processing times.
    std::unordered_map<std::string, double> m_answerBytesByRoute;  ///< Smoothed sizes of answers.
    std::uint64_t m_displacedCalls = 0;                            ///< See displacedCalls().
    std::uint64_t m_bulkBytesExpected = 0; ///< Sum of bulkBytes of queued and running calls.
    double m_meanProcessingMs
        = 0;                  ///< Smoothed processing time of all routes; 0 when none was measured.
    double m_failureRate = 0; ///< Smoothed share of failed calls, from 0 to 1.
};

} // namespace cornelwell
