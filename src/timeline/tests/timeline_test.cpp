/** @file timeline_test.cpp The ring of events, their merge and their forms. */
#include "manual_clock.h"
#include "timeline/timeline.h"
#include "timeline/timeline_func.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace cornelwell;

TEST_CASE("the ring keeps the newest events in order", "[timeline]")
{
    ManualClock clock;
    Timeline timeline({ServerId("a"), DataCentreId("dc"), 1}, 3, clock);
    for (int i = 0; i < 5; i++)
        timeline.record(EventKind::LinkOpened, {}, std::to_string(i));
    const auto events = timeline.events();
    REQUIRE(events.size() == 3);
    CHECK(events.front().subject == "2");
    CHECK(events.back().subject == "4");
}

TEST_CASE("an effect stands behind its cause although its clock is behind", "[timeline]")
{
    ManualClock ahead;
    ManualClock behind;
    behind.time = ahead.time - seconds(60);
    Timeline a({ServerId("a"), DataCentreId("dc"), 1}, 10, ahead);
    Timeline b({ServerId("b"), DataCentreId("dc"), 1}, 10, behind);
    a.record(EventKind::VersionApplied, "change-1", "version 1");
    b.observe(a.stamp());
    b.record(EventKind::VersionApplied, "change-1", "version 1");
    std::vector<Event> all = b.events();
    for (const Event &event : a.events())
        all.push_back(event);
    all.push_back(all.front());
    const auto merged = mergeEvents(all);
    REQUIRE(merged.size() == 2);
    CHECK(merged[0].server.text() == "a");
    CHECK(merged[1].server.text() == "b");
    CHECK(filterEvents(merged, {"b", "", "change-1"}).size() == 1);
    CHECK(filterEvents(merged, {"", "version 2", ""}).empty());
}

TEST_CASE("events survive their way through JSON and are shown safely", "[timeline]")
{
    ManualClock clock;
    Timeline timeline({ServerId("a"), DataCentreId("dc"), 1}, 10, clock);
    timeline.record(EventKind::CallRefused, "c", "<script>", "a & b", ResultCode::CallOverloaded);
    const Event event = timeline.events().front();
    CHECK(eventToJson(eventFromJson(eventToJson(event)).value()) == eventToJson(event));
    CHECK_FALSE(eventFromJson(nlohmann::json{{"kind", "Dance"}}).has_value());
    const std::string page = timelineHtml({event});
    CHECK(page.find("<script>a") == std::string::npos);
    CHECK(page.find("&lt;script&gt;") != std::string::npos);
    CHECK(timelineTable({event}).find("502 CallOverloaded") != std::string::npos);
    CHECK(timelineHtml({}).find("</html>") != std::string::npos);
}
