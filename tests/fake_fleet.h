/** @file fake_fleet.h Daemons' controls on a fake network and platform in virtual time. */
#pragma once

#include "base/random.h"
#include "control/control_node.h"
#include "distribution/catalogue_writer.h"
#include "fake_store.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace cornelwell {

/** Faults of the network, of 1000 messages each. */
struct NetworkFaults
{
    unsigned dropPerMille = 0;      ///< Messages lost.
    unsigned duplicatePerMille = 0; ///< Messages that arrive twice.
    Duration delayMax = {5};        ///< Longest delay; messages on a link may overtake each other.
};

/** A few controls with everything that surrounds them. Checks the promises about versions at each
 * step. */
class FakeFleet
{
public:
    /** @param seed Of all that is random. */
    explicit FakeFleet(std::uint64_t seed);

    /** Adds a daemon that is not running yet. @return its number. */
    std::size_t addDaemon(const std::string &dataCentre);

    /** Starts a daemon, or starts it again. */
    void start(std::size_t daemon);
    /** Starts all daemons. */
    void startAll();
    /** Ends a daemon without a word. */
    void kill(std::size_t daemon);
    /** Stops a daemon's time; messages to it wait. */
    void setPaused(std::size_t daemon, bool paused);
    /** A daemon announces a state of its server. */
    void announce(std::size_t daemon, MemberState state);
    /** A request crashed the backend server of a daemon. */
    void crash(std::size_t daemon, std::uint64_t fingerprint);
    /** Cuts or restores the direction from one data centre to another; "platform" names the
     * platform. */
    void setCut(const std::string &from, const std::string &to, bool cut);
    /** Cuts or restores both directions. */
    void setCutBoth(const std::string &a, const std::string &b, bool cut);

    /** Proposes an entry of this name. @return its version. */
    Revision propose(const std::string &name);
    /** Accepts any change. */
    Result<AcceptedChange> accept(const Change &change);

    /** Lets time pass. */
    void run(Duration span);

    /** @return the control of a running daemon. */
    ControlNode &node(std::size_t daemon) { return *m_daemons[daemon].node; }
    /** @return true when the daemon runs. */
    bool isUp(std::size_t daemon) const { return m_daemons[daemon].node != nullptr; }
    /** @return number of daemons. */
    std::size_t size() const { return m_daemons.size(); }
    /** @return time now. */
    TimePoint now() const { return m_now; }
    /** @return least version of the running daemons. */
    Revision leastRevision() const;
    /** @return true when all running daemons have the same table of servers. */
    bool tablesAgree() const;
    /** @return events of this kind recorded by all daemons so far. */
    unsigned events(EventKind kind) const;

    NetworkFaults faults;               ///< Faults of the network.
    FakeStore store;                    ///< The platform's objects.
    bool platformDown = false;          ///< The platform refuses calls.
    unsigned platformStalePerMille = 0; ///< Watches that show an older head.
    std::map<std::size_t, std::vector<std::uint64_t>> quarantined; ///< Refused requests by daemon.
    unsigned platformCalls = 0;                      ///< Calls of daemons to the platform.
    std::map<std::string, std::size_t> messagesSent; ///< Messages by kind.
    unsigned revertsOverRestart
        = 0; ///< Versions applied by a later life that are older than an earlier one's.

private:
    struct Daemon
    {
        std::unique_ptr<ControlNode> node;
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        bool paused = false;
        Revision applied = 0;
        Revision appliedEver = 0;
    };

    struct LinkEnd
    {
        std::size_t daemon;
        std::uint64_t incarnation;
        LinkId peerLink;
        std::size_t peer;
        std::uint64_t peerIncarnation;
    };

    struct Later
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const Later &other) const
        {
            return at != other.at ? other.at < at : other.order < order;
        }
    };

    struct Perform;

    void later(Duration delay, std::function<void()> act);
    void onDaemon(std::size_t daemon, std::uint64_t incarnation, Duration delay,
                  std::function<ControlActions(ControlNode &)> input);
    void execute(std::size_t daemon, ControlActions actions);
    void openLink(std::size_t from, const Endpoint &endpoint);
    void send(std::size_t from, const SendMessage &message);
    void closeLink(LinkId link, ResultCode code);
    void breakLinks(std::size_t daemon);
    void tick(std::size_t daemon, std::uint64_t incarnation);
    void apply(std::size_t daemon, const ApplyVersion &action);
    void answerWatch(std::size_t daemon, std::uint64_t incarnation, std::uint64_t version,
                     TimePoint until);
    template<typename Call>
    auto platformCall(std::size_t daemon, Call call) -> decltype(call());
    Duration delay();
    bool isCut(const std::string &from, const std::string &to) const;
    bool isRunning(std::size_t daemon, std::uint64_t incarnation) const;

    Random m_random;
    TimePoint m_now{1000000};
    std::uint64_t m_order = 0;
    std::priority_queue<Later> m_queue;
    std::vector<Daemon> m_daemons;
    std::map<LinkId, LinkEnd> m_ends;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<Revision, std::uint64_t> m_digests;
    std::vector<StoredObject> m_oldHeads;
    std::map<EventKind, unsigned> m_events;
    LinkId m_nextLink = 1;
};

} // namespace cornelwell
