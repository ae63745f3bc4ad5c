/** @file load_command.cpp `load`: calls against running daemons. */
#include "bench_internal.h"
#include "load.h"

#include "base/endpoint_func.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace cornelwell {

int runLoadCommand(int argc, char **argv)
{
    cxxopts::Options options("cornelwell-bench load",
                             "Calls against running daemons; prints one JSON object");
    auto add = options.add_options();
    add("targets", "Call addresses of daemons", cxxopts::value<std::vector<std::string>>(),
        "IP:PORT,...");
    add("method", "HTTP method", cxxopts::value<std::string>()->default_value("GET"));
    add("path", "Path", cxxopts::value<std::string>()->default_value("/"));
    add("rate", "Calls a second", cxxopts::value<double>()->default_value("100"));
    add("seconds", "Length", cxxopts::value<double>()->default_value("5"));
    add("threads", "Callers at once", cxxopts::value<unsigned>()->default_value("32"));
    add("patience-ms", "Patience of a caller",
        cxxopts::value<std::int64_t>()->default_value("2000"));
    add("seed", "Seed of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("prefix", "Beginning of tokens and keys",
        cxxopts::value<std::string>()->default_value("load"));
    add("repeats", "Repeats by a caller whose outcome is open",
        cxxopts::value<unsigned>()->default_value("0"));
    add("keyed", "Each call carries an Idempotency-Key");
    add("h,help", "Help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("targets") == 0) {
        std::cout << options.help();
        return parsed.count("help") > 0 ? 0 : 2;
    }
    LoadPlan plan;
    for (const std::string &text : parsed["targets"].as<std::vector<std::string>>()) {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint) {
            std::cerr << endpoint.error().detail << "\n";
            return 2;
        }
        plan.targets.push_back(endpoint.value());
    }
    LoadCall call;
    call.label = call.path = parsed["path"].as<std::string>();
    call.method = parsed["method"].as<std::string>();
    call.patience = {parsed["patience-ms"].as<std::int64_t>()};
    call.keyed = parsed.count("keyed") > 0;
    call.repeats = parsed["repeats"].as<unsigned>();
    plan.calls = {call};
    plan.ratePerSecond = parsed["rate"].as<double>();
    plan.seconds = parsed["seconds"].as<double>();
    plan.threads = parsed["threads"].as<unsigned>();
    plan.seed = parsed["seed"].as<std::uint64_t>();
    plan.prefix = parsed["prefix"].as<std::string>();
    const LoadSummary summary = summarise(runLoad(plan), plan);
    std::cout << nlohmann::json{{"sent", summary.sent},       {"answered", summary.answered},
                                {"good", summary.good},       {"not_run", summary.notRun},
                                {"unknown", summary.unknown}, {"failed", summary.failed},
                                {"wrong", summary.wrong},     {"p50_ms", summary.p50Ms},
                                {"p99_ms", summary.p99Ms},    {"p999_ms", summary.p999Ms}}
                     .dump()
              << "\n";
    return summary.wrong == 0 ? 0 : 1;
}

} // namespace cornelwell
