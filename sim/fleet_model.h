/** @file fleet_model.h Discrete-event simulation of a fleet that runs the real dispatch, hosting
 * and replication code with modelled links, servers, store and callers. */
#pragma once

#include "model_type.h"

#include "base/random.h"
#include "link/link_message_type.h"
#include "replication/route_replicator.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>

namespace cornelwell {

/** A server receives no request later than this after it reported that it drains. */
constexpr Duration DRAIN_PERIOD{2000};

/** One simulation run of a fleet in virtual time. */
class FleetModel
{
public:
    explicit FleetModel(const ModelOptions &options);

    /** Runs all events. @return the counters and violations of the run. */
    ModelReport run();

private:
    /** A kind of request; priority is that of its route. */
    struct RequestKind
    {
        const char *name;
        bool idempotent;
        double meanWorkMs;            ///< Mean processing time at a server of speed 1.
        std::int64_t latencyTargetMs; ///< Counted from the arrival of the caller's request.
        std::int64_t deadlineMs;      ///< Counted from the arrival of the caller's request.
        unsigned priority;
    };
    /** A caller's request, which the caller may submit more than once. */
    struct CallerRequest
    {
        const RequestKind *kind = nullptr;
        TimePoint arrivedAt{0};
        double workMs = 0;        ///< Processing time at a server of speed 1.
        unsigned submissions = 0; ///< How often the caller has submitted it.
        bool finished = false;    ///< Whether it was served or the caller gave up.
    };
    /** One submission of a caller's request to one daemon. */
    struct Submission
    {
        std::size_t callerRequest = 0;
        std::size_t daemon = 0;
        unsigned runs = 0;           ///< Arrivals at servers.
        bool reportedNotRun = false; ///< Whether the caller was told that no server ran it.
        TimePoint deadline{0};
        TimePoint submittedAt{0};
    };
    /** A request that reached a server. */
    struct Arrival
    {
        TimePoint at{0};
        std::size_t sender = 0; ///< Daemon that took the request from the caller.
    };
    /** When daemons passed on an answer that names something; by daemon and its incarnation. */
    using ToldAt = std::map<std::pair<std::size_t, std::uint64_t>, TimePoint>;
    /** The local server of a daemon. */
    struct Server
    {
        std::string instance;
        double speed = 1;    ///< Work of a request is divided by this.
        double slowdown = 1; ///< Processing time is multiplied by this.
        bool up = true;
        bool isDraining = false;
        TimePoint drainingSince = NEVER;
        unsigned restarts = 0;
        ServerAdvisory advisory;        ///< What its answers say.
        TimePoint limitNamedAt = NEVER; ///< When it first named its limit.
        ToldAt limitToldAt;             ///< Answers that named its limit.
        ToldAt leavingToldAt;           ///< Answers that said that it leaves.
        std::deque<Arrival> arrivals;   ///< Of the last LIMIT_WINDOW.
    };
    /** A daemon and its local server. The daemon's state is lost when it is killed. */
    struct Node
    {
        DaemonRecord record;
        std::size_t centre = 0;
        bool up = true;
        Server server;
        std::unique_ptr<PeerTable> table;
        std::unique_ptr<ServiceRetryBudget> budget;
        std::unique_ptr<HostScheduler> scheduler;
        std::unique_ptr<Dispatcher> dispatcher;
        std::unique_ptr<RouteReplicator> replicator;
        std::unordered_map<PendingRequestId, std::size_t>
            submissions; ///< Index in m_submissions of each pending request.
        std::map<std::pair<std::size_t, OfferId>, HostCallId>
            hostedCalls; ///< Unfinished calls by sender and offer.
        std::unordered_map<HostCallId, std::pair<std::size_t, LinkCall>>
            calls; ///< Sender and call of each unfinished call.
        std::unordered_map<HostCallId, std::uint64_t>
            senderIncarnations; ///< Incarnation of the sender of each call.
        std::map<std::pair<std::size_t, OfferId>, HostOutcome>
            outcomes;                        ///< Outcomes by sender and offer, kept for AskOutcome.
        std::set<HostCallId> running;        ///< Calls at the server.
        std::set<std::size_t> unlinkedPeers; ///< Peers whose link is down.
        std::map<std::size_t, std::uint64_t>
            peerIncarnations; ///< Incarnation of each peer when the last link to it opened.
        Revision appliedVersion = 0;
        HostCallId lastCallId = 0;
    };
    /** An event; those of the same time run in the order in which they were scheduled. */
    struct Event
    {
        std::int64_t at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(Duration delay, std::function<void()> run);
    void scheduleOnNode(std::size_t index, Duration delay, std::function<void()> run);
    void startNode(std::size_t index);
    void killNode(std::size_t index);
    bool connected(std::size_t a, std::size_t b) const;
    bool canLink(std::size_t a, std::size_t b) const;
    Result<StoredRoutes> storeResponse(std::size_t index, bool watch);
    void disruptNetwork(std::size_t affectedCount, Duration duration);
    void disruptStore(Duration duration);
    void send(std::size_t from, std::size_t to, std::function<void()> deliver);
    void updateLinks(std::size_t index);
    void tick(std::size_t index);
    void sendState(std::size_t index, const std::vector<ServerId> *peers = nullptr);
    void sendRoutes(std::size_t from, std::size_t to, const RouteUpdate &update);
    void reportServer(std::size_t index, bool draining);
    void handleArrival();
    void createCallerRequest(std::size_t centre);
    void submitRequest(std::size_t callerRequestIndex);
    void performActions(std::size_t index, const DispatchActions &actions);
    void deliverOffer(std::size_t from, std::size_t to, const SendOffer &action);
    void applyDecisions(std::size_t index, const HostDecisions &decisions);
    void startRun(std::size_t index, HostCallId id);
    void endRun(std::size_t index, HostCallId id, RunState state, int status);
    void sendOutcome(std::size_t index, HostCallId id, const HostOutcome &outcome);
    void handleResponse(std::size_t index, PendingRequestId requestId, int status,
                        Duration retryAfter);
    void performActions(std::size_t index, const ReplicationActions &actions);
    void limitServer(std::size_t index, Duration duration);
    void leaveByAnswers(std::size_t index);
    void recordAdvisoryPassedOn(std::size_t index, std::size_t sender,
                                const ServerAdvisory &advisory);
    void checkAdvisoryFollowed(std::size_t index, std::size_t sender, TimePoint submittedAt);
    void crashServer(std::size_t index);
    void replaceServer(std::size_t index);
    void startDisruption();
    void publishVersion();
    void recordReplicationTime();
    void recordViolation(const std::string &what);
    std::optional<std::size_t> indexOf(const ServerId &name) const;

    const ModelOptions m_options;
    Random m_random;
    TimePoint m_now{1000000};
    const TimePoint m_end;
    std::uint64_t m_lastEventOrder = 0;
    std::priority_queue<Event> m_events;
    std::vector<Node> m_nodes;
    std::vector<CallerRequest> m_callerRequests;
    std::vector<Submission> m_submissions;
    std::optional<std::size_t> m_partitionedCentre; ///< Data centre that is cut off, if any.
    bool m_losesResponses = false;
    std::map<std::size_t, TimePoint> m_frozenUntil; ///< When each frozen VM resumes.
    std::set<std::size_t> m_sendLossDaemons;        ///< Daemons whose sent messages are lost.
    TimePoint m_sendLossSince{0};
    bool m_delaysMessages = false;
    std::set<std::size_t> m_throttledDaemons; ///< Daemons that the store throttles.
    bool m_storeUnavailable = false;
    bool m_watchHistoryLost
        = false;             ///< Whether the store refuses watches because it lost its history.
    double m_loadFactor = 1; ///< Multiplies ModelOptions::load.
    double m_arrivalRemainderMs
        = 0; ///< Fraction of a millisecond carried over to the next arrival.
    PendingRequestId m_lastRequestId = 0;
    std::uint64_t m_incarnation = 0; ///< Incarnation of the daemon that started last.
    Revision m_publishedVersion = 1; ///< Newest version in the store.
    TimePoint m_publishedAt{0};
    std::set<std::size_t> m_outdatedDaemons; ///< Daemons that have not applied the newest version.
    RouteDocument m_document;
    ModelReport m_report;
};

} // namespace cornelwell
