/** @file quota_model.cpp Daemons, their messages, callers and faults. */
#include "quota_model.h"

#include "base/hash_func.h"
#include "base/random.h"
#include "link/link_codec.h"
#include "quota/quota_client.h"
#include "quota/quota_coordinator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace cornelwell {

namespace {

constexpr Duration UNRESPONSIVE_AFTER{1300}; ///< As PeerOptions::unresponsiveAfter.
constexpr Duration LINK_TIME{300};           ///< Until a restarted daemon has its links.
constexpr Duration MEMBERS_INTERVAL{200};    ///< As the tick of the daemon.
constexpr Duration COORDINATOR_INTERVAL{100};
constexpr Duration CLIENT_INTERVAL{10};
constexpr Duration WINDOW{5000}; ///< `quota-window-s`.
constexpr double EXCESS = 0.1;   ///< `quota-excess`.
constexpr double SLACK = 20;     ///< `quota-slack`.
constexpr double BELOW = 0.9;    ///< Demand up to this part of the quota counts as below it.

double zipfWeight(const QuotaModelOptions &options, unsigned tenant)
{
    double sum = 0;
    for (unsigned i = 1; i <= options.tenants; i++)
        sum += std::pow(i, -options.exponent);
    return std::pow(tenant + 1, -options.exponent) / sum;
}

using Payload = std::variant<QuotaRequest, QuotaGrant, QuotaExchange>;

/** A message on its way. */
struct Message
{
    unsigned from = 0;
    unsigned to = 0;
    Payload payload;
};

/** One modelled daemon. */
struct Daemon
{
    ServerId name;
    unsigned centre = 0;
    bool alive = true;
    TimePoint startedAt{0};
    TimePoint frozenSince{0};
    TimePoint frozenUntil{0};
    std::unique_ptr<QuotaFleet> fleet;
    std::unique_ptr<QuotaClient> client;
    std::unique_ptr<QuotaCoordinator> coordinator;
    std::vector<Message> held; ///< Received while it stands still.
    std::uint64_t messages = 0;
};

/** Counts of one tenant. */
struct Tenant
{
    TenantQuota quota;
    double usual = 0;
    double factor = 1;
    int onlyCentre = -1;
    std::deque<TimePoint> asked;    ///< In the last second.
    std::deque<TimePoint> admitted; ///< In the last window.
    double allowed = 0;             ///< In a window.
    TimePoint allowedLowersAt = NEVER;
    double allowedThen = 0;
};

/** The fleet and its callers. */
class QuotaModel
{
public:
    explicit QuotaModel(const QuotaModelOptions &options)
        : m_options(options), m_random(options.seed)
    {}

    QuotaModelReport run()
    {
        build();
        for (m_now = {0}; m_now < TimePoint{0} + m_options.duration; m_now = m_now + Duration{1}) {
            beginEvents();
            endEvents();
            deliver();
            newRequests();
            runTimers();
        }
        for (const Daemon &daemon : m_daemons)
            m_report.messagesBusiest = std::max(m_report.messagesBusiest,
                                                static_cast<double>(daemon.messages) * 1000
                                                    / static_cast<double>(m_options.duration.ms));
        return m_report;
    }

private:
    static std::string tenantName(unsigned tenant) { return "t" + std::to_string(tenant); }
    std::vector<TenantQuota> quotas() const
    {
        std::vector<TenantQuota> list;
        for (const Tenant &tenant : m_tenants)
            list.push_back(tenant.quota);
        return list;
    }
    static double allowedOf(const TenantQuota &quota)
    {
        return (quota.perSecond * static_cast<double>(WINDOW.ms) / 1000 + quota.burst)
                   * (1 + EXCESS)
               + SLACK;
    }
    double uniform()
    {
        constexpr std::uint64_t STEPS = 1000000007;
        return (static_cast<double>(m_random.below(STEPS)) + 0.5) / static_cast<double>(STEPS);
    }

    template<typename Function>
    auto timed(Function function)
    {
        const auto begin = std::chrono::steady_clock::now();
        auto result = function();
        m_report.processorSeconds
            += std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
        return result;
    }

    void build()
    {
        m_tenants.resize(m_options.tenants);
        for (unsigned i = 0; i < m_options.tenants; i++) {
            m_tenants[i].quota = modelQuota(m_options, i);
            m_tenants[i].usual = m_tenants[i].quota.perSecond / m_options.quotaFactor;
            m_tenants[i].allowed = allowedOf(m_tenants[i].quota);
        }
        m_report.askedOf.resize(m_options.tenants);
        m_report.admittedOf.resize(m_options.tenants);
        m_report.askedBelowOf.resize(m_options.tenants);
        m_report.refusedBelowOf.resize(m_options.tenants);
        m_daemons.resize(m_options.daemons);
        m_ofCentre.resize(m_options.centres);
        for (unsigned i = 0; i < m_options.daemons; i++) {
            m_daemons[i].name = ServerId("vm-" + std::to_string(i));
            m_daemons[i].centre = i % m_options.centres;
            m_ofCentre[m_daemons[i].centre].push_back(i);
            m_index[m_daemons[i].name.text()] = i;
            start(m_daemons[i], TimePoint{-10000});
        }
        updateDemand();
        for (unsigned i = 0; i < m_options.daemons; i++)
            updateMembers(i);
    }

    void start(Daemon &daemon, TimePoint at)
    {
        daemon.alive = true;
        daemon.startedAt = at;
        daemon.held.clear();
        daemon.client.reset();
        daemon.coordinator.reset();
        daemon.fleet = std::make_unique<QuotaFleet>(daemon.name);
        daemon.client = std::make_unique<QuotaClient>(*daemon.fleet, m_options.quota);
        daemon.coordinator = std::make_unique<QuotaCoordinator>(
            *daemon.fleet, centreName(daemon.centre), m_options.quota, at);
        daemon.client->setQuotas(quotas(), at);
        daemon.coordinator->setQuotas(quotas(), at);
        std::vector<DataCentreId> others;
        for (unsigned i = 0; i < m_options.centres; i++) {
            if (i != daemon.centre)
                others.push_back(centreName(i));
        }
        daemon.coordinator->setRemoteDataCentres(others);
    }

    static DataCentreId centreName(unsigned centre)
    {
        return DataCentreId("dc" + std::to_string(centre));
    }

    bool isFrozen(const Daemon &daemon) const { return m_now < daemon.frozenUntil; }

    /** @return true when no message passes between two daemons. */
    bool isCut(const Daemon &a, const Daemon &b) const
    {
        for (const QuotaEvent &event : m_running) {
            if (event.kind == QuotaEventKind::Cut && a.centre != b.centre
                && (a.centre == event.centre || b.centre == event.centre))
                return true;
            if (event.kind == QuotaEventKind::SmallHalf && a.centre == event.centre
                && b.centre == event.centre && half(a) != half(b))
                return true;
        }
        return false;
    }
    static bool half(const Daemon &daemon) { return (hash64(daemon.name.text()) & 1) != 0; }

    /** @return true when @p a takes @p b for responsive. */
    bool sees(const Daemon &a, const Daemon &b) const
    {
        if (!b.alive || m_now - b.startedAt < LINK_TIME || m_now - a.startedAt < LINK_TIME)
            return false;
        if (isFrozen(b) && m_now - b.frozenSince > UNRESPONSIVE_AFTER)
            return false;
        for (const QuotaEvent &event : m_running) {
            if (m_now - event.at > UNRESPONSIVE_AFTER && isCut(a, b))
                return false;
        }
        return true;
    }

    void updateMembers(unsigned index)
    {
        Daemon &daemon = m_daemons[index];
        QuotaMembers members;
        for (const unsigned other : m_ofCentre[daemon.centre]) {
            if (other == index || sees(daemon, m_daemons[other]))
                members.responsive.push_back(m_daemons[other].name);
        }
        members.knownDaemons = m_options.daemons;
        members.complete = m_now - daemon.startedAt >= LINK_TIME;
        if (daemon.fleet->setMembers(std::move(members)))
            daemon.coordinator->fleetChanged(m_now);
    }

    // Callers.
    void updateDemand()
    {
        m_cumulative.clear();
        double sum = 0;
        for (const Tenant &tenant : m_tenants)
            m_cumulative.push_back(sum += tenant.usual * tenant.factor);
    }

    void newRequests()
    {
        const double mean = m_cumulative.back() / 1000;
        m_untilNext -= mean;
        while (m_untilNext <= 0) {
            m_untilNext -= std::log(uniform());
            const double at = uniform() * m_cumulative.back();
            const auto tenant = static_cast<unsigned>(
                std::lower_bound(m_cumulative.begin(), m_cumulative.end(), at)
                - m_cumulative.begin());
            request(std::min(tenant, m_options.tenants - 1));
        }
    }

    void request(unsigned index)
    {
        Tenant &tenant = m_tenants[index];
        const std::vector<unsigned> &places
            = tenant.onlyCentre >= 0 ? m_ofCentre[static_cast<unsigned>(tenant.onlyCentre)]
                                     : allDaemons();
        unsigned place = places[m_random.below(places.size())];
        Daemon &daemon = m_daemons[place];
        // Callers of a daemon that is dead or stands still get no answer; they are not counted.
        if (!daemon.alive || isFrozen(daemon))
            return;
        tenant.asked.push_back(m_now);
        while (tenant.asked.front() <= m_now - seconds(1))
            tenant.asked.pop_front();
        const bool below
            = static_cast<double>(tenant.asked.size()) <= BELOW * tenant.quota.perSecond;
        m_report.asked++;
        m_report.askedOf[index]++;
        m_report.askedBelow += below ? 1 : 0;
        m_report.askedBelowOf[index] += below ? 1 : 0;
        const std::uint64_t id = ++m_lastRequest;
        m_pending[id] = {index, m_now, below};
        perform(place,
                timed([&] { return daemon.client->acquire(tenant.quota.tenant, id, m_now); }));
        m_report.waited += m_pending.count(id);
    }

    const std::vector<unsigned> &allDaemons()
    {
        if (m_everywhere.empty()) {
            for (unsigned i = 0; i < m_options.daemons; i++)
                m_everywhere.push_back(i);
        }
        return m_everywhere;
    }

    void admit(std::uint64_t id)
    {
        const Pending pending = m_pending.at(id);
        m_pending.erase(id);
        Tenant &tenant = m_tenants[pending.tenant];
        m_report.admitted++;
        m_report.admittedOf[pending.tenant]++;
        m_report.waitMsMax = std::max(m_report.waitMsMax, (m_now - pending.since).ms);
        tenant.admitted.push_back(m_now);
        while (tenant.admitted.front() <= m_now - WINDOW)
            tenant.admitted.pop_front();
        if (m_now >= tenant.allowedLowersAt) {
            tenant.allowed = tenant.allowedThen;
            tenant.allowedLowersAt = NEVER;
        }
        const auto count = static_cast<double>(tenant.admitted.size());
        m_report.worstRatio = std::max(m_report.worstRatio, count / tenant.allowed);
        if (count - tenant.allowed > m_report.worstExcess) {
            m_report.worstExcess = count - tenant.allowed;
            m_report.worstTenant = tenant.quota.tenant;
            m_report.worstAt = m_now;
        }
    }

    // Actions.
    void perform(unsigned daemon, const QuotaActions &actions)
    {
        for (const QuotaAction &action : actions) {
            if (const auto *admitted = std::get_if<AdmitRequest>(&action)) {
                m_report.fallback += admitted->fallback ? 1 : 0;
                admit(admitted->request);
            } else if (const auto *refused = std::get_if<RefuseRequest>(&action)) {
                const Pending pending = m_pending.at(refused->request);
                m_pending.erase(refused->request);
                m_report.refusedBelow += pending.below ? 1 : 0;
                m_report.refusedBelowOf[pending.tenant] += pending.below ? 1 : 0;
            } else if (const auto *send = std::get_if<SendQuotaRequest>(&action)) {
                const unsigned to = m_index.at(send->coordinator.text());
                if (to == daemon)
                    handle({daemon, daemon, send->request});
                else
                    post(daemon, to, send->request);
            }
        }
    }

    void perform(unsigned daemon, const QuotaExchanges &exchanges)
    {
        for (const SendQuotaExchange &send : exchanges) {
            if (!send.daemon.empty()) {
                post(daemon, m_index.at(send.daemon.text()), send.exchange);
                continue;
            }
            const auto centre
                = static_cast<unsigned>(std::stoul(send.exchange.dataCentre.text().substr(2)));
            // The recipient itself when it is linked, else any linked daemon.
            int best = -1;
            std::uint64_t bestWeight = 0;
            for (const unsigned other : m_ofCentre[centre]) {
                const std::uint64_t weight
                    = rendezvousWeight(m_daemons[other].name.text(), m_daemons[daemon].name.text());
                const bool linked = weight % 1000 < m_options.remoteLinkPerMille;
                if (!linked || !sees(m_daemons[daemon], m_daemons[other]))
                    continue;
                if (m_daemons[other].name == send.exchange.recipient) {
                    best = static_cast<int>(other);
                    break;
                }
                if (weight >= bestWeight) {
                    best = static_cast<int>(other);
                    bestWeight = weight;
                }
            }
            if (best >= 0)
                post(daemon, static_cast<unsigned>(best), send.exchange);
        }
    }

    template<typename T>
    static LinkMessage linkMessage(const T &payload)
    {
        if constexpr (std::is_same_v<T, QuotaRequest>)
            return LinkQuotaRequest{payload};
        else if constexpr (std::is_same_v<T, QuotaGrant>)
            return LinkQuotaGrant{payload};
        else
            return LinkQuotaDemand{payload};
    }

    template<typename T>
    void post(unsigned from, unsigned to, const T &payload)
    {
        const bool cross = m_daemons[from].centre != m_daemons[to].centre;
        m_report.messages++;
        m_report.crossMessages += cross ? 1 : 0;
        m_daemons[from].messages++;
        m_daemons[to].messages++;
        if (m_options.measureMessages)
            m_report.bytes += timed([&] {
                const std::string bytes = encodeLinkMessage(linkMessage(payload));
                return decodeLinkMessage(std::string_view(bytes).substr(4)) ? bytes.size() : 0;
            });
        for (const QuotaEvent &event : m_running) {
            if (event.kind == QuotaEventKind::Lossy && uniform() < event.factor)
                return;
        }
        if (isCut(m_daemons[from], m_daemons[to]))
            return;
        const Duration latency{cross ? 20 + static_cast<std::int64_t>(m_random.below(20))
                                     : 1 + static_cast<std::int64_t>(m_random.below(3))};
        m_messages.emplace(m_now.ms + latency.ms, Message{from, to, payload});
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now.ms) {
            const Message message = m_messages.begin()->second;
            m_messages.erase(m_messages.begin());
            Daemon &daemon = m_daemons[message.to];
            if (!daemon.alive)
                continue;
            if (isFrozen(daemon))
                daemon.held.push_back(message);
            else
                handle(message);
        }
    }

    void handle(const Message &message)
    {
        Daemon &daemon = m_daemons[message.to];
        if (const auto *request = std::get_if<QuotaRequest>(&message.payload)) {
            const QuotaGrant grant = timed([&] {
                return daemon.coordinator->handleRequest(m_daemons[message.from].name, *request,
                                                         m_now);
            });
            if (daemon.coordinator->isShort())
                perform(message.to, timed([&] { return daemon.coordinator->tick(m_now); }));
            if (message.from == message.to)
                perform(message.to,
                        timed([&] { return daemon.client->handleGrant(grant, m_now); }));
            else
                post(message.to, message.from, grant);
        } else if (const auto *grant = std::get_if<QuotaGrant>(&message.payload)) {
            perform(message.to, timed([&] { return daemon.client->handleGrant(*grant, m_now); }));
        } else {
            const auto &exchange = std::get<QuotaExchange>(message.payload);
            perform(message.to,
                    timed([&] { return daemon.coordinator->handleExchange(exchange, m_now); }));
        }
    }

    void runTimers()
    {
        for (unsigned i = 0; i < m_options.daemons; i++) {
            Daemon &daemon = m_daemons[i];
            if (!daemon.alive || isFrozen(daemon))
                continue;
            const std::int64_t phase = m_now.ms + static_cast<std::int64_t>(i) * 7;
            if (phase % MEMBERS_INTERVAL.ms == 0)
                updateMembers(i);
            if (phase % COORDINATOR_INTERVAL.ms == 0)
                perform(i, timed([&] { return daemon.coordinator->tick(m_now); }));
            if (phase % CLIENT_INTERVAL.ms == 0 && daemon.client->isWaiting())
                perform(i, timed([&] { return daemon.client->tick(m_now); }));
        }
    }

    // Events.
    unsigned coordinatorOf(unsigned tenant, unsigned centre)
    {
        Daemon &any = m_daemons[m_ofCentre[centre].front()];
        return m_index.at(any.fleet->coordinatorOf(tenantName(tenant)).text());
    }

    void beginEvents()
    {
        for (QuotaEvent event : m_options.events) {
            if (event.at != m_now)
                continue;
            switch (event.kind) {
            case QuotaEventKind::Hot:
                m_tenants[event.tenant].factor = event.factor;
                updateDemand();
                break;
            case QuotaEventKind::Shift:
                m_tenants[event.tenant].onlyCentre = static_cast<int>(event.centre);
                break;
            case QuotaEventKind::Kill:
                m_affected[m_running.size()] = coordinatorOf(event.tenant, event.centre);
                kill(m_daemons[m_affected[m_running.size()]]);
                break;
            case QuotaEventKind::Freeze: {
                Daemon &daemon = m_daemons[coordinatorOf(event.tenant, event.centre)];
                daemon.frozenSince = m_now;
                daemon.frozenUntil = m_now + event.length;
                break;
            }
            case QuotaEventKind::HerdKill:
                for (const unsigned daemon : m_ofCentre[event.centre])
                    kill(m_daemons[daemon]);
                break;
            case QuotaEventKind::Limit:
                changeLimit(event);
                break;
            default:
                break;
            }
            m_running.push_back(event);
        }
        // Each daemon hears of a new quota within a second.
        for (auto change = m_newQuotas.begin();
             change != m_newQuotas.end() && change->first <= m_now.ms;) {
            Daemon &daemon = m_daemons[change->second];
            if (daemon.alive) {
                perform(change->second, daemon.client->setQuotas(quotas(), m_now));
                daemon.coordinator->setQuotas(quotas(), m_now);
            }
            change = m_newQuotas.erase(change);
        }
    }

    void changeLimit(const QuotaEvent &event)
    {
        Tenant &tenant = m_tenants[event.tenant];
        tenant.quota.perSecond *= event.factor;
        tenant.quota.burst *= event.factor;
        const double allowed = allowedOf(tenant.quota);
        if (allowed > tenant.allowed) {
            tenant.allowed = allowed;
        } else {
            tenant.allowedThen = allowed;
            tenant.allowedLowersAt = m_now + seconds(1) + WINDOW;
        }
        for (unsigned i = 0; i < m_options.daemons; i++)
            m_newQuotas.emplace(m_now.ms + static_cast<std::int64_t>(m_random.below(1000)), i);
    }

    void kill(Daemon &daemon) { daemon.alive = false; }

    void restart(Daemon &daemon)
    {
        start(daemon, m_now);
        updateMembers(m_index.at(daemon.name.text()));
    }

    void endEvents()
    {
        for (unsigned i = 0; i < m_options.daemons; i++) {
            Daemon &daemon = m_daemons[i];
            if (daemon.held.empty() || isFrozen(daemon) || !daemon.alive)
                continue;
            const std::vector<Message> held = std::move(daemon.held);
            daemon.held.clear();
            for (const Message &message : held)
                handle(message);
        }
        for (std::size_t i = 0; i < m_running.size(); i++) {
            const QuotaEvent event = m_running[i];
            if (event.at + event.length != m_now)
                continue;
            if (event.kind == QuotaEventKind::Hot) {
                m_tenants[event.tenant].factor = 1;
                updateDemand();
            } else if (event.kind == QuotaEventKind::Shift) {
                m_tenants[event.tenant].onlyCentre = -1;
            } else if (event.kind == QuotaEventKind::Kill) {
                restart(m_daemons[m_affected[i]]);
            } else if (event.kind == QuotaEventKind::HerdKill) {
                for (const unsigned daemon : m_ofCentre[event.centre])
                    restart(m_daemons[daemon]);
            }
            m_running[i].kind = QuotaEventKind::Count;
        }
    }

    /** A request without a decision. */
    struct Pending
    {
        unsigned tenant = 0;
        TimePoint since{0};
        bool below = false;
    };

    const QuotaModelOptions m_options;
    Random m_random;
    TimePoint m_now{0};
    std::vector<Daemon> m_daemons;
    std::vector<std::vector<unsigned>> m_ofCentre;
    std::vector<unsigned> m_everywhere;
    std::unordered_map<std::string, unsigned> m_index;
    std::vector<Tenant> m_tenants;
    std::vector<double> m_cumulative;
    double m_untilNext = 0;
    std::multimap<std::int64_t, Message> m_messages;
    std::multimap<std::int64_t, unsigned> m_newQuotas;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastRequest = 0;
    std::vector<QuotaEvent> m_running; ///< Begun; kind Count: ended.
    std::map<std::size_t, unsigned> m_affected;
    QuotaModelReport m_report;
};

} // namespace

TenantQuota modelQuota(const QuotaModelOptions &options, unsigned tenant)
{
    const double perSecond
        = zipfWeight(options, tenant) * options.requestsPerSecond * options.quotaFactor;
    return {"t" + std::to_string(tenant), perSecond, perSecond};
}

QuotaModelReport runQuotaModel(const QuotaModelOptions &options)
{
    return QuotaModel(options).run();
}

} // namespace cornelwell
