/** @file explain_command.cpp `explain`: the story of one request out of the logs of several
 * daemons. */
#include "cli/cli_internal.h"

#include "base/table/result_codes.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t BEFORE_MS
    = 3000; ///< Beliefs that changed so long before the request are shown.
constexpr std::int64_t AFTER_MS = 500; ///< And so long after it.
constexpr const char *COMMON_KEYS[]
    = {"time_ms", "steady_ms", "daemon", "data_centre", "event", "request"};

/** One line of a log. */
struct Line
{
    std::int64_t timeMs = 0;
    std::size_t order = 0; ///< Place in the files, for lines of the same millisecond.
    std::string daemon;
    std::string event;
    std::string request;
    std::string detail;
};

std::string detailOf(const Json &line)
{
    std::string detail;
    for (const auto &[key, value] : line.items()) {
        const bool common = std::find(std::begin(COMMON_KEYS), std::end(COMMON_KEYS), key)
                            != std::end(COMMON_KEYS);
        if (!common)
            detail += (detail.empty() ? "" : " ") + key + "="
                      + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return detail;
}

Result<std::vector<Line>> readLogs(const std::vector<std::string> &files)
{
    std::vector<Line> lines;
    for (const std::string &file : files) {
        std::ifstream stream(file);
        if (!stream)
            return fail(ResultCode::FileUnreadable, "the log cannot be read", file);
        std::string text;
        while (std::getline(stream, text)) {
            const std::size_t begin = text.find('{');
            if (begin == std::string::npos)
                continue;
            const Json line = Json::parse(text.substr(begin), nullptr, false);
            if (!line.is_object() || !line.contains("event") || !line.contains("time_ms"))
                continue;
            lines.push_back({line.value("time_ms", std::int64_t{0}), lines.size(),
                             line.value("daemon", ""), line.value("event", ""),
                             line.value("request", ""), detailOf(line)});
        }
    }
    return lines;
}

/** @return true for the request itself and for calls that its server made. */
bool belongs(const std::string &request, const std::string &id)
{
    return request == id || request.rfind(id + ".", 0) == 0;
}

/** Keeps the request's lines, and what its daemons came to believe around them. */
std::vector<Line> storyOf(const std::vector<Line> &lines, const std::string &id)
{
    std::set<std::string> daemons;
    std::int64_t first = INT64_MAX;
    std::int64_t last = 0;
    for (const Line &line : lines) {
        if (!belongs(line.request, id))
            continue;
        daemons.insert(line.daemon);
        first = std::min(first, line.timeMs);
        last = std::max(last, line.timeMs);
    }
    std::vector<Line> story;
    for (const Line &line : lines) {
        const bool around = line.request.empty() && daemons.count(line.daemon) != 0
                            && line.timeMs >= first - BEFORE_MS && line.timeMs <= last + AFTER_MS;
        if (belongs(line.request, id) || around)
            story.push_back(line);
    }
    std::stable_sort(story.begin(), story.end(), [](const Line &a, const Line &b) {
        return a.timeMs != b.timeMs ? a.timeMs < b.timeMs : a.order < b.order;
    });
    return story;
}

} // namespace

int runExplain(const CommandOptions &options)
{
    const std::string &id = options.words[0];
    const auto lines = readLogs({options.words.begin() + 1, options.words.end()});
    if (!lines)
        return reportError(lines.error());
    const std::vector<Line> story = storyOf(lines.value(), id);
    if (story.empty()) {
        std::cerr << "no line of request '" << id
                  << "' in these logs; lines may have been left out\n";
        return EXIT_FAILED;
    }
    std::vector<std::vector<std::string>> rows = {{"MS", "DAEMON", "EVENT", "REQUEST", "DETAIL"}};
    for (const Line &line : story)
        rows.push_back({std::to_string(line.timeMs - story.front().timeMs), line.daemon, line.event,
                        line.request.empty() ? "-" : line.request, line.detail});
    printTable(rows);
    return EXIT_OK;
}

} // namespace cornelwell
