/** @file timeline_func.cpp JSON form, merge and table of the time line. */
#include "timeline/timeline_func.h"

#include "base/result_code_func.h"
#include "timeline/table/event_kinds.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <sstream>
#include <tuple>

namespace cornelwell {

namespace {

constexpr int SUBJECT_WIDTH = 28; ///< Columns of the subject in the table.

Result<EventKind> eventKindFromName(const std::string &name)
{
    for (std::size_t i = 0; i < std::size(EVENT_KIND_NAMES); i++) {
        if (name == EVENT_KIND_NAMES[i])
            return static_cast<EventKind>(i);
    }
    return fail(ResultCode::PlatformProtocol, "unknown event '" + name + "'");
}

auto orderKey(const Event &event)
{
    return std::tie(event.stamp.ms, event.stamp.counter, event.server, event.incarnation,
                    event.sequence);
}

bool contains(const std::string &text, const std::string &part)
{
    return part.empty() || text.find(part) != std::string::npos;
}

std::string timeOfDay(TimePoint wall)
{
    const std::time_t second = static_cast<std::time_t>(wall.ms / 1000);
    std::tm parts{};
    gmtime_r(&second, &parts);
    char text[24];
    std::snprintf(text, sizeof text, "%02d:%02d:%02d.%03d", parts.tm_hour, parts.tm_min,
                  parts.tm_sec, static_cast<int>(wall.ms % 1000));
    return text;
}

std::string padded(std::string text, std::size_t width)
{
    if (text.size() < width)
        text.resize(width, ' ');
    return text;
}

} // namespace

nlohmann::json eventToJson(const Event &event)
{
    return {{"kind", eventKindName(event.kind)},
            {"server", event.server.text()},
            {"data_centre", event.dataCentre.text()},
            {"incarnation", event.incarnation},
            {"sequence", event.sequence},
            {"stamp_ms", event.stamp.ms},
            {"stamp_counter", event.stamp.counter},
            {"wall_ms", event.wall.ms},
            {"cause", event.cause},
            {"subject", event.subject},
            {"code", resultCodeNumber(event.code)},
            {"detail", event.detail}};
}

Result<Event> eventFromJson(const nlohmann::json &object)
{
    try {
        Event event;
        BOOST_OUTCOME_TRY(kindValue, eventKindFromName(object.at("kind").get<std::string>()));
        event.kind = kindValue;
        event.server = ServerId(object.at("server").get<std::string>());
        event.dataCentre = DataCentreId(object.at("data_centre").get<std::string>());
        event.incarnation = object.at("incarnation").get<std::uint64_t>();
        event.sequence = object.at("sequence").get<std::uint64_t>();
        event.stamp = {object.at("stamp_ms").get<std::int64_t>(),
                       object.at("stamp_counter").get<std::uint32_t>()};
        event.wall = {object.at("wall_ms").get<std::int64_t>()};
        event.cause = object.at("cause").get<std::string>();
        event.subject = object.at("subject").get<std::string>();
        event.code = static_cast<ResultCode>(object.at("code").get<int>());
        event.detail = object.at("detail").get<std::string>();
        return event;
    } catch (const nlohmann::json::exception &error) {
        return fail(ResultCode::PlatformProtocol, error.what());
    }
}

std::vector<Event> mergeEvents(std::vector<Event> events)
{
    const auto before = [](const Event &a, const Event &b) { return orderKey(a) < orderKey(b); };
    const auto same = [](const Event &a, const Event &b) { return orderKey(a) == orderKey(b); };
    std::sort(events.begin(), events.end(), before);
    events.erase(std::unique(events.begin(), events.end(), same), events.end());
    return events;
}

std::vector<Event> filterEvents(const std::vector<Event> &events, const TimelineFilter &filter)
{
    std::vector<Event> result;
    for (const Event &event : events) {
        const bool wanted = (filter.server.empty() || event.server.text() == filter.server)
                            && contains(event.subject, filter.subject)
                            && (filter.cause.empty() || event.cause == filter.cause);
        if (wanted)
            result.push_back(event);
    }
    return result;
}

std::string timelineTable(const std::vector<Event> &events)
{
    std::ostringstream table;
    for (const Event &event : events) {
        table << timeOfDay(event.wall) << "  " << padded(event.server.text(), 18) << " "
              << padded(eventKindName(event.kind), 18) << " "
              << padded(event.subject, SUBJECT_WIDTH);
        if (event.code != ResultCode::Ok)
            table << " " << resultCodeNumber(event.code) << " " << resultCodeInfo(event.code).name;
        if (!event.detail.empty())
            table << " " << event.detail;
        if (!event.cause.empty())
            table << " [" << event.cause << "]";
        table << "\n";
    }
    return table.str();
}

} // namespace cornelwell
