/** @file host_desk.h Calls for the server beside this daemon: the gate's decisions carried out. */
#pragma once

#include "hosting/host_scheduler.h"
#include "hosting/nested_failures.h"
#include "link/link_message_type.h"
#include "log/decision_log.h"
#include "node/server_connection_pool.h"

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

namespace cornelwell {

/** Where a call came from; unique over restarts of the sending daemon. */
struct CallOrigin
{
    ServerId daemon;               ///< The sending daemon.
    std::uint64_t incarnation = 0; ///< Its start.
    OfferId offer = 0;             ///< Its number for the offer.

    friend bool operator<(const CallOrigin &a, const CallOrigin &b)
    {
        if (a.offer != b.offer)
            return a.offer < b.offer;
        return a.incarnation != b.incarnation ? a.incarnation < b.incarnation : a.daemon < b.daemon;
    }
};

/** What the desk tells. */
class HostDeskListener
{
public:
    virtual ~HostDeskListener() = default;
    /** A call ended. */
    virtual void callEnded(const CallOrigin &origin, const HostOutcome &outcome) = 0;
    /** What peers believe about the server should change at once. */
    virtual void hostChanged() = 0;
    /** A request was with the server when it crashed. */
    virtual void requestCrashed(std::uint64_t fingerprint, const std::string &route) = 0;
};

/** Carries calls to the server and remembers how those ended that may not be repeated. */
class HostDesk
{
public:
    HostDesk(EventLoop &loop, const CallFields &fields, HostDeskListener &listener,
             DecisionLog &log);

    /** The server beside this daemon reports. */
    void report(const ServerReport &report);
    /** A server says that it is gone. */
    void leave(const ServerReport &report);
    /** The daemon is about to stop. */
    void beginLeaving();
    /** A call arrives. */
    void offer(const CallOrigin &origin, LinkCall call);
    /** The sender gives a call up. */
    void cancel(const CallOrigin &origin, bool onlyIfQueued = false);
    /** The sender's link broke: what may be repeated is given up, the rest goes on. */
    void senderLost(const ServerId &daemon, std::uint64_t incarnation);
    /** The sender asks on a new link how a call ended. @return the outcome; nothing while it runs.
     */
    std::optional<HostOutcome> ask(const CallOrigin &origin);
    /** A call that the server itself made was answered with a failure. */
    void innerCallFailed() { m_innerFailures.record(m_loop.now()); }
    /** Time passes. */
    void tick();

    /** @return load of the server. */
    HostLoad load() const { return m_gate.load(m_loop.now()); }
    /** @return calls at the server or waiting. */
    std::size_t busy() const { return m_calls.size(); }
    /** @return connections opened to the server. */
    std::uint64_t connectionsOpened() const { return m_pool.connectionsOpened(); }

private:
    /** A call here. */
    struct Call
    {
        CallOrigin origin;
        LinkCall call;
        TimePoint arrived{0};
        TimePoint deadline{0};
        bool running = false;
        bool cancelled = false; ///< The sender does not want the outcome.
    };
    /** An outcome kept for a sender that may ask. */
    struct Kept
    {
        HostOutcome outcome;
        TimePoint until{0};
    };

    void carryOut(const HostDecisions &decisions);
    void start(HostCallId id);
    void ended(HostCallId id, const ServerResult &result);
    void finish(HostCallId id, const HostOutcome &outcome);
    void watchSilence();
    void probeServer();
    void serverDown();
    HttpRequest serverRequest(const Call &call) const;

    EventLoop &m_loop;
    const CallFields &m_fields;
    HostDeskListener &m_listener;
    DecisionLog &m_log;
    HostScheduler m_gate;
    ServerConnectionPool m_pool;
    std::unordered_map<HostCallId, Call> m_calls;
    std::map<CallOrigin, HostCallId> m_byOrigin;
    std::map<CallOrigin, Kept> m_kept;
    std::deque<std::pair<TimePoint, CallOrigin>> m_keptOrder;
    std::deque<std::pair<TimePoint, std::pair<std::uint64_t, std::string>>>
        m_suspects; ///< Broken lately.
    NestedFailures m_innerFailures;
    HostCallId m_lastCall = 0;
    TimePoint m_nextProbe{0};
};

} // namespace cornelwell
