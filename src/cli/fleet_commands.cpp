/** @file fleet_commands.cpp Commands that ask the daemons: status, timeline, and the wait for a
 * version. */
#include "cli/cli_internal.h"

#include "base/table/result_codes.h"
#include "timeline/timeline_func.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr unsigned ASKING_THREADS = 16;            ///< Daemons asked at once.
constexpr Duration ASK_TIMEOUT = {2000};           ///< Longest wait for one daemon.
constexpr std::chrono::milliseconds WAIT_POLL(20); ///< Pause between rounds of questions.

/** What one daemon answered. */
struct DaemonAnswer
{
    Json member; ///< What the asked daemon knows of it.
    Json answer; ///< Its own answer, when reachable.
    bool reached = false;
    std::string reason; ///< Why not.
};

bool isLivingMember(const Json &member)
{
    return textOf(member, "opinion") != "failed" && textOf(member, "state") != "gone";
}

/** Asks many daemons at once. */
void askAll(std::vector<DaemonAnswer> &answers, const std::string &path)
{
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < answers.size(); i = next++) {
            DaemonAnswer &one = answers[i];
            auto answer = askDaemon(textOf(one.member, "admin"), path, ASK_TIMEOUT);
            one.reached = answer.has_value();
            if (answer)
                one.answer = std::move(answer.value());
            else
                one.reason = answer.error().detail;
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < ASKING_THREADS && i < answers.size(); i++)
        threads.emplace_back(work);
    for (std::thread &thread : threads)
        thread.join();
}

Result<std::vector<DaemonAnswer>> askFleet(const std::string &daemon, const std::string &path,
                                           bool livingOnly)
{
    BOOST_OUTCOME_TRY(members, askDaemon(daemon, "/members", ASK_TIMEOUT));
    std::vector<DaemonAnswer> answers;
    for (const Json &member : members) {
        if (!livingOnly || isLivingMember(member)) {
            DaemonAnswer one;
            one.member = member;
            answers.push_back(std::move(one));
        }
    }
    askAll(answers, path);
    return answers;
}

std::uint64_t revisionOf(const DaemonAnswer &one)
{
    return one.reached ? one.answer.value("revision", std::uint64_t(0)) : 0;
}

int writeOut(const CommandOptions &options, const std::string &text)
{
    if (options.file.empty()) {
        std::cout << text;
        return EXIT_OK;
    }
    std::ofstream file(options.file, std::ios::binary);
    if (!(file << text))
        return reportError({ResultCode::FileUnreadable, "cannot be written", options.file});
    return EXIT_OK;
}

} // namespace

Result<FleetProgress> waitForVersion(const std::string &daemon, std::uint64_t revision,
                                     Duration timeout)
{
    const SystemClock clock;
    const TimePoint end = clock.now() + timeout;
    while (true) {
        BOOST_OUTCOME_TRY(answers, askFleet(daemon, "/status", true));
        FleetProgress progress;
        progress.daemons = answers.size();
        for (const DaemonAnswer &one : answers) {
            if (revisionOf(one) >= revision) {
                progress.inForce++;
                continue;
            }
            const std::string reason = one.reached
                                           ? "runs version " + std::to_string(revisionOf(one))
                                           : "unreachable: " + one.reason;
            progress.missing.push_back(textOf(one.member, "id") + " " + reason);
        }
        if (progress.missing.empty() || clock.now() >= end)
            return progress;
        std::this_thread::sleep_for(WAIT_POLL);
    }
}

int runStatus(const CommandOptions &options)
{
    if (options.daemon.empty())
        return reportError({ResultCode::UsageError, "give --daemon IP:PORT", {}});
    const auto answers = askFleet(options.daemon, "/status", false);
    if (!answers)
        return reportError(answers.error());
    Json list = Json::array();
    std::vector<std::vector<std::string>> rows
        = {{"DAEMON", "DATA_CENTRE", "SERVICE", "STATE", "OPINION", "VERSION", "DIGEST", "RELAY",
            "LINKS", "MEMBERS"}};
    for (const DaemonAnswer &one : answers.value()) {
        Json item = one.member;
        if (one.reached)
            item.update(one.answer);
        else
            item["unreachable"] = one.reason;
        rows.push_back({textOf(item, "id"), textOf(item, "data_centre"), textOf(item, "service"),
                        textOf(item, "state"),
                        one.reached ? textOf(item, "opinion") : "unreachable",
                        textOf(item, "revision"), textOf(item, "digest"), textOf(item, "relay"),
                        textOf(item, "links"), textOf(item, "members_living")});
        list.push_back(std::move(item));
    }
    if (options.output == OutputForm::Json)
        std::cout << list.dump(2) << "\n";
    else
        printTable(rows);
    return EXIT_OK;
}

int runTimeline(const CommandOptions &options)
{
    if (options.daemon.empty())
        return reportError({ResultCode::UsageError, "give --daemon IP:PORT", {}});
    const auto answers = askFleet(options.daemon, "/timeline", false);
    if (!answers)
        return reportError(answers.error());
    std::vector<Event> events;
    for (const DaemonAnswer &one : answers.value()) {
        if (!one.reached) {
            std::cerr << "no events of " << textOf(one.member, "id") << ": " << one.reason << "\n";
            continue;
        }
        for (const Json &object : one.answer) {
            auto event = eventFromJson(object);
            if (event)
                events.push_back(std::move(event.value()));
        }
    }
    events = filterEvents(mergeEvents(std::move(events)),
                          {options.server, options.subject, options.cause});
    if (options.output == OutputForm::Html)
        return writeOut(options, timelineHtml(events));
    if (options.output == OutputForm::Table)
        return writeOut(options, timelineTable(events));
    std::string lines;
    for (const Event &event : events)
        lines += eventToJson(event).dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    return writeOut(options, lines);
}

int runQuarantineList(const CommandOptions &options)
{
    if (options.daemon.empty())
        return reportError({ResultCode::UsageError, "give --daemon IP:PORT", {}});
    const auto list = askDaemon(options.daemon, "/quarantine", ASK_TIMEOUT);
    if (!list)
        return reportError(list.error());
    if (options.output == OutputForm::Json) {
        std::cout << list.value().dump(2) << "\n";
        return EXIT_OK;
    }
    std::vector<std::vector<std::string>> rows
        = {{"FINGERPRINT", "ENTRY", "CRASHED", "AGE_MS", "REFUSED"}};
    for (const Json &one : list.value())
        rows.push_back({textOf(one, "fingerprint"), textOf(one, "entry"), textOf(one, "server"),
                        textOf(one, "age_ms"), textOf(one, "refused")});
    printTable(rows);
    return EXIT_OK;
}

int runQuarantineRelease(const CommandOptions &options)
{
    if (options.daemon.empty())
        return reportError({ResultCode::UsageError, "give --daemon IP:PORT", {}});
    const auto members = askDaemon(options.daemon, "/members", ASK_TIMEOUT);
    if (!members)
        return reportError(members.error());
    int code = EXIT_OK;
    for (const Json &member : members.value()) {
        if (!isLivingMember(member))
            continue;
        const auto told = tellDaemon(textOf(member, "admin"), "/quarantine/release",
                                     "fingerprint=" + options.words[0], ASK_TIMEOUT);
        if (!told)
            code = reportError(told.error());
    }
    return code;
}

} // namespace cornelwell
