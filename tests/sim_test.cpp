/** @file sim_test.cpp Short simulation runs with fixed seeds: all invariants hold under each
 * disruption. */
#include "model_type.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

TEST_CASE("all invariants hold in simulation runs of each disruption", "[sim]")
{
    for (unsigned i = 0; i < static_cast<unsigned>(Disruption::Count); i++) {
        for (std::uint64_t seed = 1; seed <= 3; seed++) {
            ModelOptions options;
            options.seed = seed;
            options.disruption = static_cast<Disruption>(i);
            options.duration = seconds(15);
            const ModelReport report = runModel(options);
            INFO(disruptionName(options.disruption) << " seed " << seed);
            for (const std::string &violation : report.violations)
                CHECK(violation == "");
            CHECK(report.requests > 1000);
            CHECK(report.withinTarget + report.late > report.requests / 2);
            // Each daemon that can reach the store or a peer applies a version within two seconds.
            const bool allReachable = options.disruption != Disruption::PartitionCentre
                                      && options.disruption != Disruption::LoseSentMessages
                                      && options.disruption != Disruption::FreezeVms
                                      && options.disruption != Disruption::KillDaemons;
            CHECK((!allReachable || report.replicationMsMax <= 2000));
        }
    }
}

TEST_CASE("daemons that the store throttles request versions that are too large to push", "[sim]")
{
    ModelOptions options;
    options.disruption = Disruption::StoreThrottles;
    options.replication.pushedRouteCopiesMax = 0;
    for (std::uint64_t seed = 1; seed <= 3; seed++) {
        options.seed = seed;
        const ModelReport report = runModel(options);
        CHECK(report.violations.empty());
        CHECK(report.replicationMsMax <= 2000);
    }
}

TEST_CASE("an undisrupted simulation run meets latency targets and is reproducible", "[sim]")
{
    ModelOptions options;
    const ModelReport first = runModel(options);
    const ModelReport second = runModel(options);
    CHECK(first.withinTarget == second.withinTarget);
    CHECK(first.messages == second.messages);
    CHECK(first.withinTarget > first.requests * 93 / 100);
    CHECK(first.failed * 200 < first.requests);
    CHECK(first.replicationMsMax < 2000);
}

namespace {

/** Runs six days of 24 s with a disruption; no promise may be broken, and half is served. */
void checkDays(Disruption disruption)
{
    ModelOptions options;
    options.disruption = disruption;
    options.duration = seconds(24);
    for (std::uint64_t seed = 1; seed <= 6; seed++) {
        options.seed = seed;
        INFO("seed " << seed);
        const ModelReport report = runModel(options);
        for (const std::string &violation : report.violations)
            CHECK(violation == "");
        CHECK(report.withinTarget + report.late > report.requests / 2);
    }
}

} // namespace

// Guards against daemons that send on at the old rate to a server that has named a limit, also when
// the server's own daemon restarts meanwhile.
TEST_CASE("servers that name a limit get no more requests than it allows", "[sim]")
{
    checkDays(Disruption::LimitServers);
}

// Guards against requests to a server that has said only in its answers that it leaves, also when
// its own daemon restarts and a late report still calls it ready.
TEST_CASE("servers that say in answers that they leave get no later requests", "[sim]")
{
    checkDays(Disruption::LeaveByAnswers);
}
