/** @file path_cases.cpp The call path on the event loop: steady load, and a chain whose last
 * service fails. */
#include "bench_internal.h"
#include "load.h"
#include "proxy_fleet.h"

#include "platform/object_platform.h"

#include <algorithm>
#include <iostream>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr double START_SECONDS = 20;     ///< Longest wait for the fleet.
constexpr double CALLS_PER_DAEMON = 255; ///< Calls a second and daemon at the size to design for.
constexpr unsigned CHAIN_DEPTH = 18;     ///< Depth of calls at the size to design for.
constexpr Duration PATIENCE = {2000};
constexpr const char *ZONES[] = {"east", "west"};

LoadPlan planOf(const ProxyFleet &fleet, const PathCaseOptions &options, const std::string &service,
                const std::string &query, double rate, double seconds)
{
    static const ObjectPlatform PLATFORM;
    LoadPlan plan;
    for (std::size_t vm = 0; vm < fleet.size(); vm++)
        plan.targets.push_back(fleet.calls(vm));
    plan.calls = {{service, "GET", "/" + service + "/" + query, 1, 0, PATIENCE, false, 0}};
    plan.ratePerSecond = rate;
    plan.seconds = seconds;
    plan.seed = options.seed;
    plan.fields = PLATFORM.callFields();
    plan.host = service + ".bench";
    return plan;
}

Json latencies(const LoadSummary &summary)
{
    return {{"p50", summary.p50Ms}, {"p99", summary.p99Ms}, {"p999", summary.p999Ms}};
}

} // namespace

Json steadyFigures(LoadPlan through, const LoadPlan &direct, std::size_t daemons,
                   const std::function<ProcessUsage(std::size_t)> &usage)
{
    (void)runLoad(through);
    const LoadSummary plain = summarise(runLoad(direct), direct);
    double cpu = 0;
    for (std::size_t i = 0; i < daemons; i++)
        cpu -= usage(i).cpuSeconds;
    through.prefix += "-again";
    const LoadSummary carried = summarise(runLoad(through), through);
    double rss = 0;
    for (std::size_t i = 0; i < daemons; i++) {
        cpu += usage(i).cpuSeconds;
        rss = std::max(rss, usage(i).rssMegabytes);
    }
    return {
        {"calls_per_second", through.ratePerSecond},
        {"added_ms",
         {{"p50", carried.p50Ms - plain.p50Ms},
          {"p99", carried.p99Ms - plain.p99Ms},
          {"p999", carried.p999Ms - plain.p999Ms}}},
        {"direct_ms", latencies(plain)},
        {"answered", carried.answered},
        {"sent", carried.sent},
        {"wrong_answers", carried.wrong},
        {"cpu_ms_per_call", 1000.0 * cpu / std::max<double>(static_cast<double>(carried.sent), 1)},
        {"rss_megabytes", rss}};
}

Json runLoopSteady(const PathCaseOptions &options)
{
    constexpr std::size_t SERVERS = 3;
    ProxyFleet fleet(options.net);
    std::vector<ProxyPlan> plans;
    for (std::size_t i = 0; i < SERVERS; i++)
        plans.push_back({"desk", ZONES[0], 64, {0}, ""});
    if (!fleet.start(plans, PATIENCE.ms / 2, PATIENCE.ms, START_SECONDS))
        return nullptr;
    const double rate = CALLS_PER_DAEMON * SERVERS;
    LoadPlan through = planOf(fleet, options, "desk", "", rate, options.seconds / 3);
    LoadPlan direct = through;
    direct.prefix = "direct";
    for (std::size_t i = 0; i < SERVERS; i++)
        direct.targets[i] = fleet.server(i);
    return steadyFigures(through, direct, SERVERS, [&](std::size_t vm) { return fleet.usage(vm); });
}

Json runChain(const PathCaseOptions &options)
{
    constexpr double RATE = 150;
    ProxyFleet fleet(options.net);
    std::vector<ProxyPlan> plans;
    for (unsigned i = 1; i <= CHAIN_DEPTH; i++) {
        const std::string next = i == CHAIN_DEPTH ? "" : "s" + std::to_string(i + 1);
        for (const char *zone : ZONES)
            plans.push_back({"s" + std::to_string(i), zone, 64, {1}, next});
    }
    if (!fleet.start(plans, PATIENCE.ms / 2, PATIENCE.ms, START_SECONDS))
        return nullptr;
    const auto all = [&] {
        std::vector<std::uint64_t> runs;
        for (unsigned i = 1; i <= CHAIN_DEPTH; i++)
            runs.push_back(fleet.runs("s" + std::to_string(i)));
        return runs;
    };
    LoadPlan sound = planOf(fleet, options, "s1", "", RATE, options.seconds / 3);
    const LoadSummary before = summarise(runLoad(sound), sound);
    const auto start = all();
    LoadPlan failing = planOf(fleet, options, "s1", "?deepfail=1", RATE, options.seconds * 2 / 3);
    failing.prefix = "failing";
    const LoadSummary during = summarise(runLoad(failing), failing);
    const auto end = all();
    std::uint64_t runs = 0;
    Json byService = Json::array();
    double worst = 0;
    const double sent = std::max<double>(static_cast<double>(during.sent), 1);
    for (std::size_t i = 0; i < end.size(); i++) {
        runs += end[i] - start[i];
        byService.push_back(static_cast<double>(end[i] - start[i]) / sent);
        worst = std::max(worst, static_cast<double>(end[i] - start[i]) / sent);
    }
    return {{"depth", CHAIN_DEPTH},
            {"sent", during.sent},
            {"sound_answered", before.answered},
            {"sound_sent", before.sent},
            {"sound_ms", latencies(before)},
            {"failing_ms", latencies(during)},
            {"wrong_answers", before.wrong + during.wrong},
            {"attempts_per_call", static_cast<double>(runs) / sent / CHAIN_DEPTH},
            {"attempts_at_worst_service", worst},
            {"attempts_by_service", byService}};
}

} // namespace cornelwell
