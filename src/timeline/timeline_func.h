/** @file timeline_func.h Events to JSON and back, merged over processes, filtered, and shown. */
#pragma once

#include "base/result.h"
#include "timeline/timeline_type.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace cornelwell {

/** Which events to show; an empty text takes all. */
struct TimelineFilter
{
    std::string server;  ///< Only of this process.
    std::string subject; ///< Only about this entry, request or server.
    std::string cause;   ///< Only with this cause.
};

/** @return the event as a JSON object. */
nlohmann::json eventToJson(const Event &event);

/** @return the event of a JSON object; unknown keys are left out. */
Result<Event> eventFromJson(const nlohmann::json &object);

/**
 * Merges the events of many processes into one order in which no effect stands before its cause.
 * @param events Events of all processes, in any order, possibly with repeats.
 * @return the events in order, each once.
 */
std::vector<Event> mergeEvents(std::vector<Event> events);

/** @return the events that pass the filter. */
std::vector<Event> filterEvents(const std::vector<Event> &events, const TimelineFilter &filter);

/** @return the events as lines of a table. */
std::string timelineTable(const std::vector<Event> &events);

/** @return the events as an HTML page with a lane for each process. */
std::string timelineHtml(const std::vector<Event> &events);

} // namespace cornelwell
