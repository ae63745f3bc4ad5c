/** @file sim_command.cpp `sim`: days of a modelled fleet in virtual time. */
#include "bench_internal.h"
#include "model_type.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace cornelwell {

namespace {

nlohmann::json toJson(const ModelOptions &options, const ModelReport &report)
{
    const double asked = report.requests == 0 ? 1 : report.requests;
    return {{"seed", options.seed},
            {"disturbance", disruptionName(options.disruption)},
            {"daemons", options.daemons},
            {"asked", report.requests},
            {"in_goal", report.withinTarget / asked},
            {"late", report.late / asked},
            {"failed", report.failed / asked},
            {"repeats", report.repeatedRuns},
            {"messages_a_daemon_second",
             report.messages / options.daemons / (static_cast<double>(options.duration.ms) / 1000)},
            {"across", report.crossCentreMessages},
            {"in_force_ms", report.replicationMsMax},
            {"broken", report.violations}};
}

} // namespace

int runSimCommand(int argc, char **argv)
{
    cxxopts::Options options("cornelwell-bench sim",
                             "Days of a modelled fleet; prints one JSON object a day");
    auto add = options.add_options();
    add("days", "Days of each disturbance", cxxopts::value<unsigned>()->default_value("1"));
    add("seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("daemons", "Daemons", cxxopts::value<unsigned>()->default_value("12"));
    add("centres", "Data centres", cxxopts::value<unsigned>()->default_value("3"));
    add("load", "Calls offered, as a share of what servers can run",
        cxxopts::value<double>()->default_value("0.6"));
    add("only", "One disturbance", cxxopts::value<std::string>()->default_value(""));
    add("compare", "Each day also without second servers");
    add("h,help", "Help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    bool kept = true;
    for (unsigned day = 0; day < parsed["days"].as<unsigned>(); day++) {
        for (unsigned i = 0; i < static_cast<unsigned>(Disruption::Count); i++) {
            ModelOptions model;
            model.seed = parsed["seed"].as<std::uint64_t>() + day;
            model.daemons = parsed["daemons"].as<unsigned>();
            model.centres = parsed["centres"].as<unsigned>();
            model.load = parsed["load"].as<double>();
            model.disruption = static_cast<Disruption>(i);
            const std::string only = parsed["only"].as<std::string>();
            if (!only.empty() && only != disruptionName(model.disruption))
                continue;
            const ModelReport report = runModel(model);
            kept = kept && report.violations.empty();
            std::cout << toJson(model, report).dump() << "\n";
            if (parsed.count("compare") == 0)
                continue;
            model.dispatch.hedgeDelayTimeShare = 100;
            std::cout << "  without: " << toJson(model, runModel(model)).dump() << "\n";
        }
    }
    return kept ? 0 : 1;
}

} // namespace cornelwell
