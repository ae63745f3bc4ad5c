/** @file confirmation_fleet.h A fleet in virtual time, for tests of replication and confirmation.
 */
#pragma once

#include "replication/confirmation_renewal.h"
#include "replication/ping_targets_func.h"
#include "replication/route_replicator.h"
#include "replication/store_era.h"
#include "replication/version_confirmation.h"

#include <catch2/catch.hpp>

#include <functional>
#include <queue>
#include <set>

namespace cornelwell {

using CallKind = VersionConfirmation::CallKind;

constexpr Duration AGE_MAX{3800};
constexpr Duration TICK{200};
constexpr Duration HEARTBEAT{400};
constexpr Duration REMOTE_HEARTBEAT{1200};
constexpr Duration READ_TIMEOUT{1200};

/** Daemons with the real decisions of replication and confirmation; links, store and clocks are
 * modelled. Each step checks that no confirmation is younger than what it claims. */
class Fleet
{
public:
    explicit Fleet(const std::vector<unsigned> &centreSizes, std::uint64_t seed = 1)
        : m_random(seed)
    {
        for (std::size_t centre = 0; centre < centreSizes.size(); centre++) {
            for (unsigned i = 0; i < centreSizes[centre]; i++) {
                Daemon daemon;
                daemon.record = {ServerId("d" + std::to_string(m_daemons.size())),
                                 DataCentreId("c" + std::to_string(centre)),
                                 {"127.0.0.1", 1},
                                 ServiceName("desk"),
                                 1};
                daemon.centre = centre;
                m_daemons.push_back(std::move(daemon));
            }
        }
        for (std::size_t i = 0; i < m_daemons.size(); i++)
            start(i);
        publish();
    }

    void start(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        daemon.up = true;
        daemon.life++;
        daemon.peers = std::make_unique<PeerTable>(daemon.record, PeerOptions());
        daemon.replicator
            = std::make_unique<RouteReplicator>(*daemon.peers, ReplicationOptions(), index + 7);
        daemon.confirmation = VersionConfirmation();
        daemon.renewal = ConfirmationRenewal();
        daemon.era = StoreEra();
        daemon.openCall = 0;
        for (const Daemon &other : m_daemons)
            daemon.peers->addOrUpdate(other.record, true);
        perform(index, daemon.replicator->start(m_now));
        tick(index);
        sendState(index);
    }

    void kill(std::size_t index) { m_daemons[index].up = false; }

    /** The VM stands still; only its boot clock goes on. */
    void suspend(std::size_t index, Duration time)
    {
        m_daemons[index].suspendedUntil = m_now + time;
    }

    void publish()
    {
        m_version++;
        m_revision++;
        m_publishedAt[m_version] = m_now;
    }

    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.act();
            checkClaims();
        }
        m_now = end;
    }

    /** Runs and returns the largest age of a running daemon's confirmation; NEVER without one. */
    Duration largestAge(Duration time, const std::set<std::size_t> &without = {})
    {
        Duration largest{0};
        for (const TimePoint end = m_now + time; m_now < end;) {
            run({50});
            for (std::size_t i = 0; i < m_daemons.size(); i++) {
                if (m_daemons[i].up && without.count(i) == 0
                    && m_daemons[i].suspendedUntil <= m_now)
                    largest = std::max(largest, ageOf(i));
            }
        }
        return largest;
    }

    Duration ageOf(std::size_t index) const
    {
        return m_daemons[index].confirmation.age(m_now).value_or(Duration{1'000'000});
    }
    Revision versionOf(std::size_t index) const { return m_daemons[index].replicator->version(); }
    std::optional<std::size_t> watcherOf(std::size_t centre) const
    {
        for (std::size_t i = 0; i < m_daemons.size(); i++) {
            if (m_daemons[i].up && m_daemons[i].centre == centre
                && m_daemons[i].replicator->isWatching())
                return i;
        }
        return std::nullopt;
    }
    void restoreStore()
    {
        m_storeEra++;
        m_revision = 1;
    }

    /** The calls of the store that are open now are never answered; later ones are. */
    void loseStoreCalls()
    {
        for (const Daemon &daemon : m_daemons)
            m_lostCalls.insert(daemon.openCall);
    }
    /** No message passes between daemons for a while, as when their links fall silent. */
    void silenceLinks(Duration time) { m_linksSilentUntil = m_now + time; }
    TimePoint now() const { return m_now; }
    std::size_t size() const { return m_daemons.size(); }

    bool confirms = true; ///< The daemons need a confirmation: watches are short, pings are sent.
    std::set<std::size_t> refused;         ///< Daemons whose store calls fail.
    std::set<std::size_t> cutCentres;      ///< Cut off from the store and other data centres.
    Duration messageDelayMax{5};           ///< Longest delay of a message.
    std::vector<unsigned> pingsReceived{}; ///< By daemon.
    unsigned storeCalls = 0;

private:
    struct Daemon
    {
        DaemonRecord record;
        std::size_t centre = 0;
        bool up = false;
        unsigned life = 0;
        TimePoint suspendedUntil{0};
        std::unique_ptr<PeerTable> peers;
        std::unique_ptr<RouteReplicator> replicator;
        VersionConfirmation confirmation;
        ConfirmationRenewal renewal;
        StoreEra era;
        std::uint64_t openCall = 0; ///< Number of the open store call; 0 for none.
        Random random{5};
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void after(Duration delay, std::function<void()> act)
    {
        m_events.push({m_now + delay, m_order++, std::move(act)});
    }

    /** Runs on a daemon of this life; later when its VM is suspended. */
    void onDaemon(std::size_t index, Duration delay, std::function<void()> act)
    {
        after(delay, [this, index, life = m_daemons[index].life, act = std::move(act)] {
            const Daemon &daemon = m_daemons[index];
            if (!daemon.up || daemon.life != life)
                return;
            if (daemon.suspendedUntil > m_now)
                onDaemon(index, daemon.suspendedUntil - m_now, act);
            else
                act();
        });
    }

    bool connected(std::size_t a, std::size_t b) const
    {
        const std::size_t from = m_daemons[a].centre;
        const std::size_t to = m_daemons[b].centre;
        return m_daemons[a].up && m_daemons[b].up && m_now >= m_linksSilentUntil
               && (from == to || (cutCentres.count(from) == 0 && cutCentres.count(to) == 0));
    }

    void send(std::size_t from, std::size_t to, std::function<void()> act)
    {
        if (connected(from, to))
            onDaemon(to, {1 + static_cast<std::int64_t>(m_random.below(messageDelayMax.ms))},
                     std::move(act));
    }

    std::size_t indexOf(const ServerId &name) const
    {
        return static_cast<std::size_t>(std::stoul(name.text().substr(1)));
    }

    void tick(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        for (std::size_t i = 0; i < m_daemons.size(); i++) {
            Peer *peer = daemon.peers->find(m_daemons[i].record.name);
            if (peer != nullptr && !connected(index, i))
                peer->linked = false;
        }
        perform(index, daemon.replicator->tick(m_now));
        if (!confirms) {
            onDaemon(index, TICK, [this, index] { tick(index); });
            return;
        }
        const RenewalDue due
            = daemon.renewal.tick(daemon.confirmation.age(m_now), *daemon.peers, m_now);
        if (due.pings)
            sendPings(index);
        if (due.read)
            perform(index, daemon.replicator->requestRead(m_now));
        onDaemon(index, TICK, [this, index] { tick(index); });
    }

    void sendPings(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        const TimePoint sentAt = m_now;
        const Revision version = daemon.replicator->version();
        pingsReceived.resize(m_daemons.size());
        for (const ServerId &name : choosePingTargets(*daemon.peers, m_now, daemon.random)) {
            const std::size_t target = indexOf(name);
            send(index, target, [this, index, target, sentAt, version] {
                pingsReceived[target]++;
                const auto report = m_daemons[target].confirmation.reportFor(version, m_now);
                send(target, index, [this, index, sentAt, report] {
                    Daemon &asker = m_daemons[index];
                    asker.confirmation.handleReport(sentAt, report, asker.replicator->version(),
                                                    m_now);
                });
            });
        }
    }

    void sendState(std::size_t index)
    {
        const Daemon &daemon = m_daemons[index];
        for (std::size_t i = 0; i < m_daemons.size(); i++) {
            const bool remote = m_daemons[i].centre != daemon.centre;
            if (i != index && (!remote || m_beat % (REMOTE_HEARTBEAT.ms / HEARTBEAT.ms) == 0))
                sendStateTo(index, i);
        }
        m_beat++;
        onDaemon(index, HEARTBEAT, [this, index] { sendState(index); });
    }

    void sendStateTo(std::size_t from, std::size_t to)
    {
        const Daemon &daemon = m_daemons[from];
        const Revision version = daemon.replicator->version();
        const Duration storeAge = daemon.replicator->storeAge(m_now);
        const bool watching = daemon.replicator->isWatching();
        send(from, to, [=] {
            Daemon &receiver = m_daemons[to];
            Peer *peer = receiver.peers->find(m_daemons[from].record.name);
            peer->linked = true;
            peer->lastMessageAt = m_now;
            peer->storeAge = storeAge;
            peer->watchingStore = watching;
            peer->readsPings = true;
            const bool changed = peer->version != version;
            peer->version = version;
            if (changed)
                perform(to, receiver.replicator->handlePeerVersion(peer->record.name, m_now));
        });
    }

    RouteDocument document() const
    {
        Route route;
        route.name = "r";
        route.host = "h";
        route.prefix = "/";
        route.timeout = {1000};
        route.split = {{ServiceName("desk"), 1}};
        RouteDocument document;
        document.version = m_version;
        document.routes = {route};
        document.services = {{ServiceName("desk"), 1}};
        return document;
    }

    /** @return the number of a store call, which fails when it is not answered in time. */
    std::uint64_t openCall(std::size_t index, bool watch, Duration timeout)
    {
        storeCalls++;
        const std::uint64_t call = ++m_lastCall;
        m_daemons[index].openCall = call;
        onDaemon(index, timeout, [this, index, watch, call] {
            endCall(index, watch, call, fail(ResultCode::PlatformUnknown, "no answer"));
        });
        return call;
    }

    /** Ends a store call, unless it has ended before. */
    void endCall(std::size_t index, bool watch, std::uint64_t call,
                 const Result<StoredRoutes> &result)
    {
        Daemon &daemon = m_daemons[index];
        if (daemon.openCall != call)
            return;
        daemon.openCall = 0;
        const auto actions = watch ? daemon.replicator->handleWatchAnswer(result, m_now)
                                   : daemon.replicator->handleReadAnswer(result, m_now);
        if (result)
            daemon.confirmation.handleStoreAnswer(daemon.replicator->version());
        perform(index, actions);
    }

    void answer(std::size_t index, bool watch, std::uint64_t revision, TimePoint until,
                std::uint64_t call)
    {
        if (m_lostCalls.count(call) != 0)
            return;
        const bool cut
            = refused.count(index) != 0 || cutCentres.count(m_daemons[index].centre) != 0;
        // A watch looks again until something has changed or its time is over.
        if (!cut && watch && revision >= m_revision && m_now < until) {
            after({20}, [=] { answer(index, watch, revision, until, call); });
            return;
        }
        StoredRoutes routes;
        routes.storeRevision = m_revision;
        if (!watch || revision < m_revision)
            routes.document = Result<RouteDocument>(document());
        Result<StoredRoutes> result = routes;
        if (cut)
            result = fail(ResultCode::PlatformThrottled, "refused");
        onDaemon(index, {5 + static_cast<std::int64_t>(m_random.below(20))},
                 [this, index, watch, call, result, era = m_storeEra] {
                     Daemon &daemon = m_daemons[index];
                     if (result && daemon.era.observe(era) == EraVerdict::Raised)
                         onDaemon(index, {0}, [this, index] {
                             perform(index,
                                     m_daemons[index].replicator->handleStoreRestored(m_now));
                         });
                     if (result)
                         daemon.confirmation.handleEra(daemon.era.current());
                     endCall(index, watch, call, result);
                 });
    }

    void perform(std::size_t index, const ReplicationActions &actions)
    {
        for (const ReplicationAction &action : actions)
            std::visit([&](const auto &one) { performOne(index, one); }, action);
    }
    void performOne(std::size_t index, const ReadRoutes &action)
    {
        m_daemons[index].confirmation.storeCallSent(
            action.allowStale ? CallKind::StaleRead : CallKind::Read, m_now);
        const std::uint64_t call = openCall(index, false, READ_TIMEOUT);
        after({5}, [=] { answer(index, false, 0, m_now, call); });
    }
    void performOne(std::size_t index, const WatchRoutes &action)
    {
        VersionConfirmation &confirmation = m_daemons[index].confirmation;
        if (confirms && confirmation.needsRead()) {
            performOne(index, ReadRoutes{});
            return;
        }
        confirmation.storeCallSent(CallKind::Watch, m_now);
        const Duration wait
            = confirms ? std::min(action.timeout, confirmingWatchTimeout(confirmation.age(m_now)))
                       : action.timeout;
        const std::uint64_t call = openCall(index, true, wait + action.answerMargin);
        after({5}, [=] { answer(index, true, action.storeRevision, m_now + wait, call); });
    }
    void performOne(std::size_t index, const AbandonWatch &)
    {
        onDaemon(index, {0}, [this, index, call = m_daemons[index].openCall] {
            endCall(index, true, call, fail(ResultCode::PlatformUnknown, "abandoned"));
        });
    }
    void performOne(std::size_t index, const ApplyRoutes &action)
    {
        m_daemons[index].confirmation.handleApplied(action.table->version());
    }
    void performOne(std::size_t index, const AnnounceVersion &action)
    {
        for (std::size_t i = 0; i < m_daemons.size(); i++) {
            const bool named
                = std::find(action.peers.begin(), action.peers.end(), m_daemons[i].record.name)
                  != action.peers.end();
            if (i != index && (action.toAllPeers || named))
                sendStateTo(index, i);
        }
    }
    void performOne(std::size_t index, const PushRoutes &action)
    {
        for (const ServerId &name : action.peers)
            sendUpdate(index, indexOf(name), action.update);
    }
    void performOne(std::size_t index, const RequestRoutes &action)
    {
        const std::size_t peer = indexOf(action.peer);
        send(index, peer, [=] {
            if (auto update = m_daemons[peer].replicator->updateSince(action.currentVersion))
                sendUpdate(peer, index, *update);
        });
    }
    void performOne(std::size_t, const RejectRoutes &) {}
    void performOne(std::size_t index, const StoreAvailabilityChanged &)
    {
        performOne(index, AnnounceVersion{true, {}});
    }

    void sendUpdate(std::size_t from, std::size_t to, const RouteUpdate &update)
    {
        send(from, to, [=] {
            const ServerId &sender = m_daemons[from].record.name;
            perform(to, m_daemons[to].replicator->handleUpdate(sender, update, m_now));
        });
    }

    /** A confirmation must not be later than the publication of the next version. */
    void checkClaims()
    {
        for (std::size_t i = 0; i < m_daemons.size(); i++) {
            const auto age = m_daemons[i].confirmation.age(m_now);
            const auto next = m_publishedAt.upper_bound(versionOf(i));
            if (age && next != m_publishedAt.end() && m_now - *age > next->second)
                FAIL("daemon " << i << " claims a version that was not the newest");
        }
    }

    Random m_random;
    TimePoint m_now{100000};
    TimePoint m_linksSilentUntil{0};
    std::uint64_t m_lastCall = 0;
    std::set<std::uint64_t> m_lostCalls;
    std::uint64_t m_order = 0;
    std::uint64_t m_beat = 0;
    std::priority_queue<Event> m_events;
    std::vector<Daemon> m_daemons;
    Revision m_version = 0;
    std::uint64_t m_revision = 1;
    std::uint64_t m_storeEra = 1;
    std::map<Revision, TimePoint> m_publishedAt;
};

} // namespace cornelwell
