/** @file lost_watch_test.cpp Versions while watches of the store, or links, fall silent. */
#include "replication/tests/confirmation_fleet.h"

using namespace cornelwell;

namespace {

/** A change has to be in force this long after its acknowledgement. */
constexpr Duration IN_FORCE_WITHIN{2000};
/** A daemon has to follow again this long after the end of a disturbance. */
constexpr Duration CALM_AFTER{3000};

/** Fails when a daemon has not the newest version at @p due; @return the daemons that are late. */
std::vector<std::size_t> lateDaemons(Fleet &fleet, TimePoint due, Revision newest)
{
    fleet.run(due - fleet.now());
    std::vector<std::size_t> late;
    for (std::size_t i = 0; i < fleet.size(); i++) {
        if (fleet.versionOf(i) < newest)
            late.push_back(i);
    }
    return late;
}

} // namespace

// Guards against CONFIG: all watchers waited 5.5 s for watches that the store had lost.
TEST_CASE("a change is in force in time though the store lost the watches of all data centres",
          "[replication]")
{
    for (const std::vector<unsigned> &centres : {std::vector<unsigned>{9}, {3, 3, 3}, {30, 30}}) {
        for (const bool silentLinks : {false, true}) {
            for (std::int64_t moment = 0; moment < 4500; moment += 225) {
                Fleet fleet(centres, static_cast<std::uint64_t>(moment) + 1);
                fleet.confirms = false;
                fleet.run(seconds(10));
                // All watchers take this version and watch again in the same moment.
                fleet.publish();
                fleet.run({500 + moment});
                fleet.loseStoreCalls();
                if (silentLinks)
                    fleet.silenceLinks(seconds(2));
                const TimePoint lostAt = fleet.now();
                fleet.run({300});
                fleet.publish();
                const TimePoint due = std::max(lostAt + CALM_AFTER, fleet.now() + IN_FORCE_WITHIN);
                INFO("centres " << centres.size() << ", moment " << moment << ", silent links "
                                << silentLinks);
                CHECK(lateDaemons(fleet, due, 3).empty());
            }
        }
    }
}

TEST_CASE("a lost watch is noticed well before a change has to be in force", "[replication]")
{
    for (const std::int64_t bound : {2000, 2500, 3000, 10000}) {
        const auto options = ReplicationOptions::forChangeBound({bound});
        const Duration unnoticed = options.watchTimeout + options.watchAnswerMargin;
        CHECK(unnoticed.ms <= bound * 3 / 4);
        CHECK(options.freshStoreAge > unnoticed);
    }
    // A watch shorter than this would cost the store more calls than it saves time.
    CHECK(ReplicationOptions::forChangeBound({0}).watchTimeout.ms == 400);
}
