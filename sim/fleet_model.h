/** @file fleet_model.h The real decisions of a fleet in virtual time, with modelled links and
 * servers. */
#pragma once

#include "model_type.h"

#include "base/random.h"
#include "link/link_message_type.h"
#include "replication/route_replicator.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>

namespace cornelwell {

/** No hand-over later than this after a server said that it leaves. */
constexpr Duration DRAIN{2000};

/** One fleet on one day. */
class FleetModel
{
public:
    explicit FleetModel(const ModelOptions &options);

    /** Plays the day. */
    ModelReport play();

private:
    /** A kind of request. */
    struct Kind
    {
        const char *name;
        bool idempotent;
        double workMs;
        std::int64_t goalMs;
        std::int64_t deadlineMs;
        unsigned priority;
    };
    /** A caller's request over all its tries. */
    struct Wish
    {
        const Kind *kind = nullptr;
        TimePoint asked{0};
        double work = 0;
        unsigned tries = 0;
        bool ended = false;
    };
    /** One try of it, at one daemon. */
    struct Try
    {
        std::size_t wish = 0;
        std::size_t daemon = 0;
        unsigned runs = 0;
        bool promisedNotRun = false;
        TimePoint deadline{0};
    };
    /** A server beside a daemon. */
    struct Server
    {
        std::string instance;
        double speed = 1;
        double slow = 1;
        bool up = true;
        bool leaving = false;
        TimePoint leftAt = NEVER;
        unsigned starts = 0;
    };
    /** A daemon with its decisions; the decisions are lost when it is killed. */
    struct Node
    {
        DaemonRecord record;
        std::size_t centre = 0;
        bool up = true;
        Server server;
        std::unique_ptr<PeerTable> table;
        std::unique_ptr<ServiceRetryBudget> budget;
        std::unique_ptr<HostScheduler> gate;
        std::unique_ptr<Dispatcher> dispatcher;
        std::unique_ptr<RouteReplicator> replicator;
        std::unordered_map<PendingRequestId, std::size_t> tries; ///< Try of each request.
        std::map<std::pair<std::size_t, OfferId>, HostCallId> hosted;
        std::unordered_map<HostCallId, std::pair<std::size_t, LinkCall>> calls;
        std::unordered_map<HostCallId, std::uint64_t>
            senders; ///< Start of the sender of each call.
        std::map<std::pair<std::size_t, OfferId>, HostOutcome> kept;
        std::set<HostCallId> running;
        std::set<std::size_t> lost;                 ///< Peers whose link is down.
        std::map<std::size_t, std::uint64_t> known; ///< Start of each peer, as last linked to.
        Revision seen = 0;
        HostCallId lastCall = 0;
    };
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

    void at(Duration delay, std::function<void()> run);
    void atNode(std::size_t index, Duration delay, std::function<void()> run);
    void startNode(std::size_t index);
    void killNode(std::size_t index);
    bool connected(std::size_t a, std::size_t b) const;
    bool linkable(std::size_t a, std::size_t b) const;
    Result<StoredRoutes> storeAnswer(std::size_t index, bool watch);
    void disturbNetwork(std::size_t some, Duration length);
    void disturbStore(Duration length);
    void send(std::size_t from, std::size_t to, std::function<void()> deliver);
    void links(std::size_t index);
    void tick(std::size_t index);
    void tellState(std::size_t index, const std::vector<ServerId> *peers = nullptr);
    void sendRoutes(std::size_t from, std::size_t to, const RouteUpdate &update);
    void report(std::size_t index, bool draining);
    void nextArrival();
    void arrival(std::size_t centre);
    void begin(std::size_t wish);
    void perform(std::size_t index, const DispatchActions &actions);
    void offer(std::size_t from, std::size_t to, const SendOffer &action);
    void carryOut(std::size_t index, const HostDecisions &decisions);
    void startRun(std::size_t index, HostCallId id);
    void endRun(std::size_t index, HostCallId id, RunState state, int status);
    void finish(std::size_t index, HostCallId id, const HostOutcome &outcome);
    void answered(std::size_t index, PendingRequestId requestId, int status, Duration retryAfter);
    void perform(std::size_t index, const ReplicationActions &actions);
    void crashServer(std::size_t index);
    void replaceServer(std::size_t index);
    void disturb();
    void change();
    void noteSpread();
    void broken(const std::string &what);
    std::optional<std::size_t> indexOf(const ServerId &name) const;

    const ModelOptions m_options;
    Random m_random;
    TimePoint m_now{1000000};
    const TimePoint m_end;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Node> m_nodes;
    std::vector<Wish> m_wishes;
    std::vector<Try> m_tries;
    std::optional<std::size_t> m_cut; ///< Data centre that is cut off.
    bool m_loseAnswers = false;
    std::map<std::size_t, TimePoint> m_thaw; ///< VMs that stand still, and until when.
    std::set<std::size_t> m_mute;            ///< Daemons whose messages to others are lost.
    TimePoint m_muteSince{0};
    bool m_lossy = false;
    std::set<std::size_t> m_turnedAway; ///< Daemons that the store does not serve.
    bool m_storeDown = false;
    bool m_historyGone = false; ///< Watches from before have to read anew.
    double m_burst = 1;
    double m_arrivalRest = 0; ///< Part of a millisecond until the next caller.
    PendingRequestId m_lastRequestId = 0;
    std::uint64_t m_incarnation = 0;
    Revision m_version = 1;
    TimePoint m_changedAt{0};
    std::set<std::size_t> m_behind;
    RouteDocument m_document;
    ModelReport m_report;
};

} // namespace cornelwell
