/** @file control_loop.h Runs the control of a daemon: one thread, one event loop, links and
 * platform calls. */
#pragma once

#include "base/clock.h"
#include "control/control_node.h"
#include "metrics/metrics.h"
#include "proxy/call_receiver.h"
#include "proxy/shared_view.h"
#include "settings/settings_type.h"
#include "store/http_object_store.h"
#include "timeline/timeline.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelwell {

/** What the loop works with; all of it outlives the loop. */
struct ControlLoopParts
{
    const Settings &settings;    ///< Settings of the daemon.
    const Clock &clock;          ///< Time.
    HttpObjectStore &store;      ///< The platform, for short calls.
    HttpObjectStore &watchStore; ///< The platform, for watches.
    Metrics &metrics;            ///< Counters.
    Timeline &timeline;          ///< Events.
    SharedView &view;            ///< Read by calls.
    const NetworkCuts &cuts;     ///< Addresses that an experiment cuts off.
    ReceiverIdentity &identity;  ///< Incarnation, as claims carry it.
};

/** A copy of the control's state, for operators. */
struct ControlStatus
{
    MemberRecord self;                ///< This daemon's announcement.
    Revision revision = 0;            ///< Version in force.
    std::uint64_t digest = 0;         ///< Digest of it.
    bool relay = false;               ///< True while it watches the platform.
    bool platformAnswers = false;     ///< True when the platform answered the last watch.
    std::size_t links = 0;            ///< Links to peers.
    std::vector<CrashReport> crashes; ///< Crashes known.
    std::vector<MemberClaim> members; ///< Servers known.
};

/** Owns the event loop. */
class ControlLoop
{
public:
    ControlLoop(ControlLoopParts parts, std::uint64_t incarnation);
    ~ControlLoop();
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /** Listens for peers. */
    Result<void> listen();

    /** Runs until stop. @param onSignal Called on the loop for SIGTERM and SIGINT. */
    void run(std::function<void()> onSignal);

    /** Ends run. Safe for threads. */
    void stop();

    /** Announces a state of this server. Safe for threads. */
    void announce(MemberState state);

    /** Tells that a server's machine refused a connection. Safe for threads. */
    void serverRefused(const ServerId &id);

    /** Tells that a request crashed the backend server. Safe for threads. */
    void serverCrashed(std::uint64_t fingerprint, const EntryName &entry);

    /** Lets a request through again, on this daemon. Safe for threads. */
    void releaseQuarantine(std::uint64_t fingerprint);

    /** @return a copy of the state. Safe for threads; waits for the loop. */
    ControlStatus status();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cornelwell
