/** @file departure_test.cpp The registry of departures and its calls of the store. */
#include "hosting/departure_registry.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

Result<StoredDepartures> holding(Departures departures, std::uint64_t revision)
{
    return StoredDepartures{std::move(departures), revision, {}};
}

Result<DepartureWriteAnswer> written(Departures departures, std::uint64_t revision)
{
    return DepartureWriteAnswer{true, {std::move(departures), revision, {}}};
}

Result<DepartureWriteAnswer> conflict(Departures departures, std::uint64_t revision)
{
    return DepartureWriteAnswer{false, {std::move(departures), revision, {}}};
}

const WriteDepartures &writeOf(const DepartureActions &actions)
{
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<WriteDepartures>(actions[0]));
    return std::get<WriteDepartures>(actions[0]);
}

DepartureRegistry readRegistry(Departures departures = {})
{
    DepartureRegistry registry(DepartureOptions(), 1);
    REQUIRE(std::holds_alternative<ReadDepartures>(registry.start().at(0)));
    CHECK(registry.handleReadAnswer(holding(std::move(departures), 7), NOW).empty());
    return registry;
}

} // namespace

TEST_CASE("a departure is stored by one write, and the same one again by none", "[hosting]")
{
    DepartureRegistry registry = readRegistry();
    const WriteDepartures write = writeOf(registry.add({"a", 10}, true, NOW));
    CHECK(write.revision == 7);
    CHECK(write.departures == Departures{{"a", 10}});
    CHECK_FALSE(registry.isStored({"a", 10}));
    CHECK(registry.handleWriteAnswer(written({{"a", 10}}, 8), NOW).empty());
    CHECK(registry.isStored({"a", 10}));
    CHECK(registry.isStored({"a", 0}));
    CHECK_FALSE(registry.isStored({"a", 11}));
    CHECK(registry.add({"a", 10}, true, NOW + seconds(1)).empty());
}

// Guards against a departure that is told before the record of earlier incarnations is read: a
// write must not replace what it does not know.
TEST_CASE("the record is read before it is written, and both are kept", "[hosting]")
{
    DepartureRegistry registry(DepartureOptions(), 1);
    registry.start();
    CHECK(registry.add({"b", 20}, true, NOW).empty());
    const auto next = registry.handleReadAnswer(holding({{"a", 10}}, 7), NOW);
    CHECK(writeOf(next).departures == Departures{{"a", 10}, {"b", 20}});
}

TEST_CASE("the answer to the announcement saves the read", "[hosting]")
{
    DepartureRegistry registry(DepartureOptions(), 1);
    CHECK(registry.handleRecord({{{"a", 10}}, 7, {}}, NOW).empty());
    CHECK(registry.isRead());
    CHECK(registry.tick(NOW + seconds(5)).empty());
    CHECK(registry.isStored({"a", 10}));
    // A later answer of that kind may be older than what was written since.
    registry.add({"b", 20}, true, NOW);
    registry.handleWriteAnswer(written({{"a", 10}, {"b", 20}}, 8), NOW);
    CHECK(registry.handleRecord({{{"a", 10}}, 7, {}}, NOW).empty());
    CHECK(registry.isStored({"b", 20}));
}

TEST_CASE("a write that meets another one merges with it", "[hosting]")
{
    DepartureRegistry registry = readRegistry();
    registry.add({"b", 20}, true, NOW);
    const auto next = registry.handleWriteAnswer(conflict({{"a", 10}}, 9), NOW);
    CHECK(writeOf(next).revision == 9);
    CHECK(writeOf(next).departures == Departures{{"a", 10}, {"b", 20}});
}

TEST_CASE("a write that is refused without another one waits before it is repeated", "[hosting]")
{
    DepartureRegistry registry = readRegistry();
    registry.add({"a", 10}, true, NOW);
    CHECK(registry.handleWriteAnswer(conflict({}, 7), NOW).empty());
    CHECK(writeOf(registry.tick(NOW + Duration{200})).revision == 7);
}

TEST_CASE("a write without an answer is repeated under the same condition", "[hosting]")
{
    DepartureRegistry registry = readRegistry();
    registry.add({"a", 10}, true, NOW);
    CHECK(registry.handleWriteAnswer(fail(ResultCode::PlatformUnknown, "lost"), NOW).empty());
    CHECK_FALSE(registry.isStored({"a", 10}));
    CHECK(registry.tick(NOW + Duration{10}).empty());
    CHECK(writeOf(registry.tick(NOW + Duration{200})).revision == 7);
    // The first write had been carried out.
    CHECK(registry.handleWriteAnswer(conflict({{"a", 10}}, 8), NOW + Duration{210}).empty());
    CHECK(registry.isStored({"a", 10}));
}

TEST_CASE("before the daemon's object exists the record is read again", "[hosting]")
{
    DepartureRegistry registry(DepartureOptions(), 1);
    registry.start();
    registry.add({"a", 10}, true, NOW);
    CHECK(registry.handleReadAnswer(holding({}, 0), NOW).empty());
    CHECK(registry.isRead());
    const auto again = registry.tick(NOW + Duration{200});
    REQUIRE(again.size() == 1);
    CHECK(std::holds_alternative<ReadDepartures>(again[0]));
    CHECK(writeOf(registry.handleReadAnswer(holding({}, 3), NOW + Duration{210})).revision == 3);
}

// Guards against a store that came back without an acknowledged departure.
TEST_CASE("a restored store gets the departures again", "[hosting]")
{
    DepartureRegistry registry = readRegistry({{"a", 10}});
    registry.handleStoreRestored();
    REQUIRE(std::holds_alternative<ReadDepartures>(registry.tick(NOW + seconds(1)).at(0)));
    const auto next = registry.handleReadAnswer(holding({}, 4), NOW + seconds(1));
    CHECK(writeOf(next).departures == Departures{{"a", 10}});
}

// Guards against deregistrations of unknown servers in great number: they neither drop the
// departure of a server that was registered here nor cost a write each.
TEST_CASE("many departures of unknown servers share few writes and drop no other", "[hosting]")
{
    DepartureRegistry registry = readRegistry();
    registry.add({"a", 10}, true, NOW);
    registry.handleWriteAnswer(written({{"a", 10}}, 8), NOW);
    unsigned writes = 0;
    Departures stored{{"a", 10}};
    std::uint64_t revision = 8;
    for (int i = 0; i < 1000; i++) {
        const TimePoint at = NOW + Duration{i};
        const auto actions = registry.add({"x" + std::to_string(i), 10}, false, at);
        if (actions.empty())
            continue;
        writes++;
        stored = writeOf(actions).departures;
        registry.handleWriteAnswer(written(stored, ++revision), at);
        CHECK(registry.isStored({"a", 10}));
        CHECK(stored.size() <= DepartureOptions().departuresMax);
    }
    CHECK(writes <= 5);
}

// Guards against a departure without a start that is held against the same server's next start.
TEST_CASE("a server that is ready again is taken out of the record", "[hosting]")
{
    DepartureRegistry registry = readRegistry({{"a", 0}, {"b", 20}});
    const auto actions = registry.serverReady("a", 30, NOW);
    CHECK(writeOf(actions).departures == Departures{{"b", 20}});
    // The record of another write does not bring it back.
    const auto next = registry.handleWriteAnswer(conflict({{"a", 0}, {"b", 20}}, 9), NOW);
    CHECK(writeOf(next).departures == Departures{{"b", 20}});
    registry.handleWriteAnswer(written({{"b", 20}}, 10), NOW);
    CHECK(writeOf(registry.add({"a", 30}, true, NOW + seconds(1))).departures
          == Departures{{"b", 20}, {"a", 30}});
}
