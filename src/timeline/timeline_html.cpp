/** @file timeline_html.cpp The time line as one HTML page without outside parts. */
#include "timeline/timeline_func.h"

#include "base/result_code_func.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace cornelwell {

namespace {

constexpr int LANE_HEIGHT = 18;  ///< Pixels of a lane.
constexpr int LABEL_WIDTH = 190; ///< Pixels of the lane labels.
constexpr int PLOT_WIDTH = 1400; ///< Pixels of the time axis.
constexpr int AXIS_HEIGHT = 26;  ///< Pixels above the first lane.
constexpr int AXIS_TICKS = 10;   ///< Labelled ticks of the axis.

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

const char *colourOf(const Event &event)
{
    switch (event.kind) {
    case EventKind::VersionApplied:
    case EventKind::SnapshotTaken:
        return "#1a7f37";
    case EventKind::VersionRejected:
    case EventKind::CallUnknown:
    case EventKind::CallFailed:
    case EventKind::MemberFailed:
    case EventKind::BackendDown:
    case EventKind::PlatformLost:
        return "#c1121f";
    case EventKind::MemberSuspected:
    case EventKind::LinkClosed:
    case EventKind::CallRefused:
    case EventKind::LeaseLost:
    case EventKind::LimitLapsed:
        return "#d97706";
    case EventKind::DaemonStarted:
    case EventKind::DaemonDraining:
    case EventKind::DaemonStopped:
        return "#111111";
    default:
        return "#2563eb";
    }
}

/** Lane of each process, ordered by data centre, then by name. */
std::map<std::pair<DataCentreId, ServerId>, int> lanesOf(const std::vector<Event> &events)
{
    std::map<std::pair<DataCentreId, ServerId>, int> lanes;
    for (const Event &event : events)
        lanes[{event.dataCentre, event.server}] = 0;
    int next = 0;
    for (auto &lane : lanes)
        lane.second = next++;
    return lanes;
}

void writeAxis(std::ostringstream &page, std::int64_t span)
{
    for (int i = 0; i <= AXIS_TICKS; i++) {
        const int x = LABEL_WIDTH + PLOT_WIDTH * i / AXIS_TICKS;
        page << "<line x1='" << x << "' y1='" << AXIS_HEIGHT - 4 << "' x2='" << x
             << "' y2='100%' stroke='#e5e7eb'/><text x='" << x << "' y='14' text-anchor='middle'>"
             << span * i / AXIS_TICKS << " ms</text>";
    }
}

void writeEvents(std::ostringstream &page, const std::vector<Event> &events,
                 const std::map<std::pair<DataCentreId, ServerId>, int> &lanes, std::int64_t start,
                 std::int64_t span)
{
    for (const Event &event : events) {
        const int lane = lanes.at({event.dataCentre, event.server});
        const auto x = LABEL_WIDTH + PLOT_WIDTH * (event.stamp.ms - start) / span;
        const int y = AXIS_HEIGHT + lane * LANE_HEIGHT + LANE_HEIGHT / 2;
        page << "<circle class='e' cx='" << x << "' cy='" << y << "' r='4' fill='"
             << colourOf(event) << "' data-c='" << escaped(event.cause) << "'><title>"
             << event.stamp.ms - start << " ms  " << escaped(event.server.text()) << "\n"
             << eventKindName(event.kind) << " " << escaped(event.subject) << "\n"
             << escaped(event.detail) << "\ncause " << escaped(event.cause)
             << "</title></circle>\n";
    }
}

void writeRows(std::ostringstream &page, const std::vector<Event> &events, std::int64_t start)
{
    page << "<table "
            "id='t'><tr><th>ms</th><th>process</th><th>event</th><th>subject</th><th>code</th>"
            "<th>detail</th><th>cause</th></tr>\n";
    for (const Event &event : events) {
        page << "<tr data-c='" << escaped(event.cause) << "'><td>" << event.stamp.ms - start
             << "</td><td>" << escaped(event.server.text())
             << "</td><td style='color:" << colourOf(event) << "'>" << eventKindName(event.kind)
             << "</td><td>" << escaped(event.subject) << "</td><td>";
        if (event.code != ResultCode::Ok)
            page << resultCodeNumber(event.code);
        page << "</td><td>" << escaped(event.detail) << "</td><td>" << escaped(event.cause)
             << "</td></tr>\n";
    }
    page << "</table>\n";
}

constexpr const char *PAGE_HEAD
    = "<!DOCTYPE html><html lang='en'><meta charset='utf-8'><title>cornelwell time "
      "line</title><style>"
      "body{font:13px sans-serif;margin:1em}svg{font-size:11px;border:1px solid "
      "#d1d5db;display:block}"
      "table{border-collapse:collapse;margin-top:1em}td,th{padding:1px 8px;text-align:left;"
      "border-bottom:1px solid "
      "#e5e7eb;white-space:nowrap}.dim{opacity:.12}input{width:24em;margin:.5em 0}"
      "</style><h1>Time line</h1><p>Each row of dots is a process; point at a dot for its event, "
      "click it "
      "to show only what has the same cause.</p><input id='q' placeholder='filter: process, entry, "
      "request, "
      "cause'>";

constexpr const char *PAGE_SCRIPT
    = "<script>const rows=[...document.querySelectorAll('#t tr[data-c]')],dots=[...document."
      "querySelectorAll('.e')];function show(f){rows.forEach((r,i)=>{const "
      "on=f(r);r.style.display=on?'':"
      "'none';dots[i].classList.toggle('dim',!on)})}q.oninput=()=>{const s=q.value.toLowerCase();"
      "show(r=>r.textContent.toLowerCase().includes(s))};dots.forEach((d,i)=>d.onclick=()=>{const "
      "c="
      "d.dataset.c;q.value=c;show(r=>c===''?true:r.dataset.c===c)})</script></html>\n";

} // namespace

std::string timelineHtml(const std::vector<Event> &events)
{
    const auto lanes = lanesOf(events);
    const std::int64_t start = events.empty() ? 0 : events.front().stamp.ms;
    const std::int64_t end = events.empty() ? 0 : events.back().stamp.ms;
    const std::int64_t span = std::max<std::int64_t>(end - start, 1);
    const int height = AXIS_HEIGHT + static_cast<int>(lanes.size()) * LANE_HEIGHT;
    std::ostringstream page;
    page << PAGE_HEAD << "<svg width='" << LABEL_WIDTH + PLOT_WIDTH + 40 << "' height='" << height
         << "'>";
    writeAxis(page, span);
    for (const auto &lane : lanes) {
        const int y = AXIS_HEIGHT + lane.second * LANE_HEIGHT;
        page << "<text x='4' y='" << y + 13 << "'>" << escaped(lane.first.second.text())
             << "</text><line x1='" << LABEL_WIDTH << "' y1='" << y + LANE_HEIGHT / 2 << "' x2='"
             << LABEL_WIDTH + PLOT_WIDTH << "' y2='" << y + LANE_HEIGHT / 2
             << "' stroke='#d1d5db'/>\n";
    }
    writeEvents(page, events, lanes, start, span);
    page << "</svg>\n";
    writeRows(page, events, start);
    page << PAGE_SCRIPT;
    return page.str();
}

} // namespace cornelwell
