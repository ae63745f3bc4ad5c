/** @file distribution_command.cpp `distribution`: convergence and cost of control, with and without
 * faults. */
#include "bench_internal.h"
#include "distribution_experiment_type.h"
#include "fleet.h"
#include "load.h"

#include "base/hash_func.h"
#include "base/random.h"
#include "catalogue/entry_func.h"
#include "distribution/catalogue_writer.h"
#include "store/http_object_store.h"
#include "timeline/timeline_func.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr unsigned DATA_CENTRES = 3;       ///< Data centres of the fleet.
constexpr int FIRST_ENTRIES = 20;          ///< Entries before the measurement.
constexpr Duration SETTLE_AFTER = {3000};  ///< Time after the last change.
constexpr double SETTLE_SECONDS_MAX = 30;  ///< Longest wait for the fleet to find itself.
constexpr double OUTAGE_PART = 0.3;        ///< Part of the measurement for which a fault lasts.
constexpr std::size_t READING_THREADS = 8; ///< Daemons asked at once.

void pauseFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(seconds, 0.0)));
}

/** The experiment. */
class Experiment
{
public:
    explicit Experiment(const ExperimentOptions &options)
        : m_options(options)
        , m_fleet(options.net)
        , m_random(options.seed)
        , m_store({{m_fleet.platform()}, {2000}}, m_clock)
    {}

    int run()
    {
        start();
        if (!m_fleet.waitSettled(SETTLE_SECONDS_MAX)) {
            std::cerr << "the fleet did not find itself in " << SETTLE_SECONDS_MAX << " s\n";
            return 1;
        }
        for (int i = 0; i < FIRST_ENTRIES; i++)
            propose("first-" + std::to_string(i));
        pauseFor(2);
        m_accepted.clear();
        measure();
        collectLives();
        report();
        return 0;
    }

private:
    void start()
    {
        m_fleet.startPlatform();
        for (unsigned i = 0; i < m_options.daemons; i++) {
            ServerPlan plan;
            plan.dataCentre = 1 + i % DATA_CENTRES;
            plan.direct = m_options.direct;
            m_fleet.addServer(plan);
        }
        for (unsigned i = 0; i < m_options.daemons; i++)
            m_fleet.startDaemon(i);
    }

    bool propose(const std::string &name)
    {
        Entry entry;
        entry.name = EntryName(name);
        entry.owner = "bench";
        entry.service = ServiceName("bench");
        entry.method = "GET";
        entry.path = "/" + name + "/*";
        entry.patience = {2000};
        entry.idempotent = true;
        Change change;
        change.id = hex64(m_random.bits());
        change.entry = entry;
        change.author = "bench";
        change.vote = "bench";
        change.acceptedAt = m_clock.wallNow();
        const auto pause = [](Duration span) {
            std::this_thread::sleep_for(std::chrono::milliseconds(span.ms));
        };
        const auto accepted
            = CatalogueWriter(m_store, pause, m_random.bits()).accept(change, false);
        if (!accepted)
            return false;
        m_accepted.push_back({accepted.value().revision, m_clock.wallNow().ms});
        const auto state = readCatalogue(m_store);
        if (state)
            m_digests[state.value().head.revision] = hex64(state.value().configuration->digest());
        return true;
    }

    DaemonSample sample(std::size_t server) const
    {
        DaemonSample one;
        if (!m_fleet.daemonRuns(server))
            return one;
        const std::string text = fetch(m_fleet.admin(server), "/metrics");
        const Json status = Json::parse(fetch(m_fleet.admin(server), "/status"), nullptr, false);
        if (!status.is_object())
            return one;
        one.valid = true;
        one.incarnation = status.value("incarnation", std::uint64_t(0));
        one.bytes = metricSum(text, "control_wire_bytes", "")
                    + metricSum(text, "platform_wire_bytes", "");
        for (const char *kind :
             {"hello", "heartbeat", "members", "digest", "changes", "changes_request", "snapshot"})
            one.bytesByKind[kind] = metricSum(text, "control_message_bytes_total",
                                              std::string("kind=\"") + kind + "\"");
        one.bytesByKind["platform"] = metricSum(text, "platform_wire_bytes", "");
        one.usage = m_fleet.usage(server);
        return one;
    }

    std::vector<DaemonSample> sampleAll() const
    {
        std::vector<DaemonSample> samples;
        for (std::size_t i = 0; i < m_fleet.size(); i++)
            samples.push_back(sample(i));
        return samples;
    }

    Json platformCounts() const
    {
        return Json::parse(fetch(m_fleet.platform(), "/control"), nullptr, false);
    }

    void measure()
    {
        m_before = sampleAll();
        m_platformBefore = platformCounts();
        const TimePoint begun = m_clock.now();
        const double step = m_options.seconds / std::max(m_options.changes, 1U);
        std::thread fault([this] { causeFault(); });
        std::thread churn([this] { causeChurn(); });
        for (unsigned i = 0; i < m_options.changes; i++) {
            m_refused += propose("change-" + std::to_string(i)) ? 0 : 1;
            const double next
                = (i + 1) * step - static_cast<double>((m_clock.now() - begun).ms) / 1000.0;
            pauseFor(next);
        }
        fault.join();
        churn.join();
        pauseFor(static_cast<double>(SETTLE_AFTER.ms) / 1000.0);
        m_platformAfter = platformCounts();
        m_spanSeconds = static_cast<double>((m_clock.now() - begun).ms) / 1000.0;
        m_after = sampleAll();
    }

    void causeChurn()
    {
        if (m_options.churn <= 0)
            return;
        Random random(m_options.seed + 1);
        const auto restarts = static_cast<unsigned>(m_options.seconds * m_options.churn);
        for (unsigned i = 0; i < restarts; i++) {
            restart(random.below(m_fleet.size()));
            pauseFor(1.0 / m_options.churn);
        }
    }

    void restart(std::size_t server)
    {
        collectLife(server);
        m_fleet.signalDaemon(server, SIGKILL);
        m_fleet.startDaemon(server);
    }

    void causeFault()
    {
        if (m_options.fault == "none")
            return;
        pauseFor(m_options.seconds * OUTAGE_PART);
        if (m_options.fault == "herd")
            killAndReturn([this](std::size_t i) { return m_fleet.plan(i).dataCentre == 1; });
        else if (m_options.fault == "watcher-loss")
            killAndReturn(
                [this](std::size_t i) { return m_fleet.plan(i).dataCentre == 1 && isRelay(i); });
        else if (m_options.fault == "platform-outage")
            platformOutage();
        else if (m_options.fault == "partition")
            partition();
    }

    bool isRelay(std::size_t server) const
    {
        const Json status = Json::parse(fetch(m_fleet.admin(server), "/status"), nullptr, false);
        return status.is_object() && status.value("relay", false);
    }

    template<typename Chosen>
    void killAndReturn(Chosen chosen)
    {
        std::vector<std::size_t> victims;
        for (std::size_t i = 0; i < m_fleet.size(); i++) {
            if (chosen(i))
                victims.push_back(i);
        }
        for (const std::size_t server : victims)
            collectLife(server);
        for (const std::size_t server : victims)
            m_fleet.signalDaemon(server, SIGKILL);
        pauseFor(m_options.seconds * OUTAGE_PART / 2);
        for (const std::size_t server : victims)
            m_fleet.startDaemon(server);
    }

    void platformOutage()
    {
        m_fleet.platformControl(R"({"down":true})");
        pauseFor(m_options.seconds * OUTAGE_PART);
        m_fleet.platformControl(R"({"down":false})");
    }

    /** Cuts data centre 1 off from the platform and from the other data centres, then heals. */
    void partition()
    {
        setCut(true);
        pauseFor(m_options.seconds * OUTAGE_PART);
        setCut(false);
    }

    void setCut(bool cut)
    {
        for (std::size_t i = 0; i < m_fleet.size(); i++) {
            Json cuts = Json::array();
            const bool inside = m_fleet.plan(i).dataCentre == 1;
            for (std::size_t j = 0; cut && j < m_fleet.size(); j++) {
                if (inside != (m_fleet.plan(j).dataCentre == 1))
                    cuts.push_back(m_fleet.call(j).ip);
            }
            if (cut && inside)
                cuts.push_back(m_fleet.platform().ip);
            post(m_fleet.admin(i), "/experiment/cut", cuts.dump());
        }
    }

    /** Reads the time line of a running daemon. */
    void collectLife(std::size_t server)
    {
        if (!m_fleet.daemonRuns(server))
            return;
        const Json events = Json::parse(fetch(m_fleet.admin(server), "/timeline"), nullptr, false);
        if (!events.is_array())
            return;
        Life life;
        life.server = server;
        for (const Json &object : events) {
            const auto event = eventFromJson(object);
            if (!event)
                continue;
            if (event.value().kind == EventKind::DaemonStarted)
                life.startedMs = event.value().wall.ms;
            const bool applied = event.value().kind == EventKind::VersionApplied
                                 || event.value().kind == EventKind::SnapshotTaken;
            if (applied)
                takeApplied(life, event.value());
        }
        const std::lock_guard<std::mutex> lock(m_livesMutex);
        m_lives.push_back(std::move(life));
    }

    void takeApplied(Life &life, const Event &event)
    {
        const Revision revision
            = std::strtoull(event.subject.c_str() + std::string("version ").size(), nullptr, 10);
        const bool back = !life.applied.empty() && revision <= life.applied.back().second;
        m_reverted += back ? 1 : 0;
        const auto known = m_digests.find(revision);
        m_partial += known != m_digests.end() && known->second != event.detail ? 1 : 0;
        life.applied.emplace_back(event.wall.ms, revision);
    }

    void collectLives()
    {
        std::vector<std::thread> threads;
        for (std::size_t t = 0; t < READING_THREADS; t++) {
            threads.emplace_back([this, t] {
                for (std::size_t i = t; i < m_fleet.size(); i += READING_THREADS)
                    collectLife(i);
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        for (std::size_t i = 0; i < m_fleet.size(); i++)
            m_dangling += m_fleet.daemonRuns(i) ? danglingIn(i) : 0;
    }

    /** Rebuilds the version that a daemon runs from what it shows. @return 1 when that fails. */
    unsigned danglingIn(std::size_t server) const
    {
        const Json shown = Json::parse(fetch(m_fleet.admin(server), "/entries"), nullptr, false);
        if (!shown.is_object())
            return 0;
        EntryMap entries;
        for (const Json &object : shown["entries"]) {
            const auto entry = entryInForceFromJson(object);
            if (!entry)
                return 1;
            entries[entry.value().entry.name] = entry.value();
        }
        const auto built
            = Configuration::build(shown.value("revision", Revision(0)), std::move(entries));
        return built && hex64(built.value()->digest()) == shown.value("digest", "") ? 0 : 1;
    }

    /** Milliseconds from each acceptance to each daemon's application, for daemons that lived
     * through it. */
    std::vector<double> convergences()
    {
        std::vector<double> all;
        for (const AcceptedAt &change : m_accepted) {
            for (const Life &life : m_lives) {
                const auto at
                    = std::find_if(life.applied.begin(), life.applied.end(),
                                   [&](const auto &one) { return one.second >= change.revision; });
                if (at == life.applied.end())
                    continue;
                const std::int64_t from = std::max(change.wallMs, life.startedMs);
                all.push_back(static_cast<double>(std::max<std::int64_t>(at->first - from, 0)));
            }
        }
        return all;
    }

    /** Daemons that run at the end without the newest version. */
    unsigned behind() const
    {
        unsigned count = 0;
        const Revision newest = m_accepted.empty() ? 0 : m_accepted.back().revision;
        for (std::size_t i = 0; i < m_fleet.size(); i++) {
            const Json status = Json::parse(fetch(m_fleet.admin(i), "/status"), nullptr, false);
            count += status.is_object() && status.value("revision", Revision(0)) >= newest ? 0 : 1;
        }
        return count;
    }

    void report()
    {
        std::vector<double> bytes;
        std::vector<double> cpu;
        double rss = 0;
        std::map<std::string, double> byKind;
        for (std::size_t i = 0; i < m_fleet.size(); i++) {
            rss = std::max(rss, m_after[i].usage.rssMegabytes);
            const bool same = m_before[i].valid && m_after[i].valid
                              && m_before[i].incarnation == m_after[i].incarnation;
            if (!same)
                continue;
            bytes.push_back((m_after[i].bytes - m_before[i].bytes) / m_spanSeconds);
            cpu.push_back(100.0 * (m_after[i].usage.cpuSeconds - m_before[i].usage.cpuSeconds)
                          / m_spanSeconds);
            for (const auto &kind : m_after[i].bytesByKind)
                byKind[kind.first]
                    += (kind.second - m_before[i].bytesByKind[kind.first]) / m_spanSeconds;
        }
        for (auto &kind : byKind)
            kind.second /= std::max<double>(static_cast<double>(bytes.size()), 1);
        const auto mean = [](const std::vector<double> &values) {
            double sum = 0;
            for (const double value : values)
                sum += value;
            return values.empty() ? 0.0 : sum / static_cast<double>(values.size());
        };
        const auto rate = [&](const char *key) {
            return (m_platformAfter.value(key, 0.0) - m_platformBefore.value(key, 0.0))
                   / m_spanSeconds;
        };
        const std::vector<double> times = convergences();
        std::cout << Json{{"daemons", m_options.daemons},
                          {"data_centres", DATA_CENTRES},
                          {"changes", m_accepted.size()},
                          {"changes_refused", m_refused},
                          {"fault", m_options.fault},
                          {"baseline", m_options.direct ? "direct" : "none"},
                          {"seconds", m_spanSeconds},
                          {"convergence_ms",
                           {{"p50", quantileOf(times, 0.5)},
                            {"p99", quantileOf(times, 0.99)},
                            {"max", quantileOf(times, 1)}}},
                          {"control_bytes_per_second",
                           {{"mean", mean(bytes)}, {"max", quantileOf(bytes, 1)}}},
                          {"control_bytes_by_kind", byKind},
                          {"platform_calls_per_second",
                           {{"reads", rate("reads")},
                            {"writes", rate("writes")},
                            {"throttled", rate("throttled")}}},
                          {"cpu_percent_of_core",
                           {{"mean", mean(cpu)}, {"max", quantileOf(cpu, 1)}}},
                          {"rss_megabytes", {{"max", rss}}},
                          {"behind", behind()},
                          {"reverted", m_reverted.load()},
                          {"partial", m_partial.load()},
                          {"dangling", m_dangling}}
                         .dump()
                  << "\n";
    }

    const ExperimentOptions m_options;
    SystemClock m_clock;
    Fleet m_fleet;
    Random m_random;
    HttpObjectStore m_store;
    std::vector<AcceptedAt> m_accepted;
    unsigned m_refused = 0;
    std::map<Revision, std::string> m_digests;
    std::vector<DaemonSample> m_before;
    std::vector<DaemonSample> m_after;
    Json m_platformBefore;
    Json m_platformAfter;
    double m_spanSeconds = 1;
    std::mutex m_livesMutex;
    std::vector<Life> m_lives;
    std::atomic<unsigned> m_reverted{0};
    std::atomic<unsigned> m_partial{0};
    unsigned m_dangling = 0;
};

} // namespace

int runDistributionCommand(int argc, char **argv)
{
    cxxopts::Options options(
        "cornelwell-bench distribution",
        "Real daemons on loopback against the stand-in platform; prints one JSON object");
    auto add = options.add_options();
    add("daemons", "Daemons, in three data centres",
        cxxopts::value<unsigned>()->default_value("50"));
    add("changes", "Changes, spread over the measurement",
        cxxopts::value<unsigned>()->default_value("10"));
    add("churn", "Daemons killed and started again in a second",
        cxxopts::value<double>()->default_value("0"));
    add("seconds", "Length of the measurement", cxxopts::value<double>()->default_value("15"));
    add("fault", "none, herd, platform-outage, watcher-loss or partition",
        cxxopts::value<std::string>()->default_value("none"));
    add("baseline", "none, or direct: every daemon watches the platform",
        cxxopts::value<std::string>()->default_value("none"));
    add("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("net", "Second number of the loopback addresses",
        cxxopts::value<unsigned>()->default_value("21"));
    add("json", "Prints JSON; always so");
    add("h,help", "Help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    ExperimentOptions wanted;
    wanted.daemons = parsed["daemons"].as<unsigned>();
    wanted.changes = parsed["changes"].as<unsigned>();
    wanted.churn = parsed["churn"].as<double>();
    wanted.seconds = parsed["seconds"].as<double>();
    wanted.fault = parsed["fault"].as<std::string>();
    wanted.direct = parsed["baseline"].as<std::string>() == "direct";
    wanted.seed = parsed["seed"].as<std::uint64_t>();
    wanted.net = parsed["net"].as<unsigned>();
    const std::set<std::string> faults
        = {"none", "herd", "platform-outage", "watcher-loss", "partition"};
    if (faults.count(wanted.fault) == 0 || wanted.daemons == 0) {
        std::cerr << "--fault is none, herd, platform-outage, watcher-loss or partition; --daemons "
                     "at least 1\n";
        return 2;
    }
    return Experiment(wanted).run();
}

} // namespace cornelwell
