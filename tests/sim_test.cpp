/** @file sim_test.cpp A short fixed set of modelled days: every promise holds under each
 * disturbance. */
#include "model_type.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

TEST_CASE("every promise holds on modelled days of each disturbance", "[sim]")
{
    for (unsigned i = 0; i < static_cast<unsigned>(Disturbance::Count); i++) {
        for (std::uint64_t seed = 1; seed <= 3; seed++) {
            ModelOptions options;
            options.seed = seed;
            options.disturbance = static_cast<Disturbance>(i);
            options.length = seconds(15);
            const ModelReport report = playDay(options);
            INFO(disturbanceName(options.disturbance) << " seed " << seed);
            for (const std::string &broken : report.broken)
                CHECK(broken == "");
            CHECK(report.asked > 1000);
            CHECK(report.inGoal + report.late > report.asked / 2);
            // Each VM that can reach the store or a peer has a version within two seconds.
            const bool reached = options.disturbance != Disturbance::CutCentre
                                 && options.disturbance != Disturbance::OneWay
                                 && options.disturbance != Disturbance::Freeze
                                 && options.disturbance != Disturbance::KillDaemons;
            CHECK((!reached || report.spreadMs <= 2000));
        }
    }
}

TEST_CASE("daemons that the store turns away ask for versions that are too large to push", "[sim]")
{
    ModelOptions options;
    options.disturbance = Disturbance::StoreAway;
    options.replication.pushedRouteCopiesMax = 0;
    for (std::uint64_t seed = 1; seed <= 3; seed++) {
        options.seed = seed;
        const ModelReport report = playDay(options);
        CHECK(report.broken.empty());
        CHECK(report.spreadMs <= 2000);
    }
}

TEST_CASE("a calm modelled day is served in time, the same each time", "[sim]")
{
    ModelOptions options;
    const ModelReport once = playDay(options);
    const ModelReport again = playDay(options);
    CHECK(once.inGoal == again.inGoal);
    CHECK(once.messages == again.messages);
    CHECK(once.inGoal > once.asked * 93 / 100);
    CHECK(once.failed * 200 < once.asked);
    CHECK(once.spreadMs < 2000);
}
