/** @file cli_internal.h What the commands share: options, output, errors. */
#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "http/http_type.h"
#include "store/object_store.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cornelwell {

/** Form of a command's output. */
enum class OutputForm
{
    Table,    ///< For a person.
    Json,     ///< For a program.
    Markdown, ///< For the docs; only some commands.
    Html,     ///< A page; only the time line.
};

/** Options of all commands; each takes the ones that its help names. */
struct CommandOptions
{
    std::vector<std::string> words;        ///< Words that are no options.
    OutputForm output = OutputForm::Table; ///< Form of the output.
    std::string settings;                  ///< Settings file.
    std::vector<std::string> platform;     ///< Addresses of the platform.
    std::string daemon;                    ///< Admin address of a daemon.
    std::string author;                    ///< Operator.
    std::string vote;                      ///< Reference of the vote.
    std::string file;                      ///< Output file.
    std::string server;                    ///< Filter of the time line.
    std::string subject;                   ///< Filter of the time line.
    std::string cause;                     ///< Filter of the time line.
    std::uint64_t base = 0;                ///< Version of the entry that the operator saw.
    std::int64_t timeoutMs = 0;            ///< Longest wait.
    bool dryRun = false;                   ///< Test without effect.
    bool wait = false;                     ///< Wait until the change is in force.
};

/** Prints an error with number, cause and what to do. @return its exit code. */
int reportError(const Error &error);

/** @return the platform's object API as the options name it. */
Result<std::unique_ptr<ObjectStore>> openPlatform(const CommandOptions &options,
                                                  const Clock &clock);

/** @return the answer of a daemon's admin address as JSON. */
Result<nlohmann::json> askDaemon(const std::string &address, const std::string &path,
                                 Duration timeout);

/** Posts to a daemon's admin address. */
Result<void> tellDaemon(const std::string &address, const std::string &path,
                        const std::string &query, Duration timeout);

/** Prints rows with columns in line; the first row is the heading. */
void printTable(const std::vector<std::vector<std::string>> &rows);

/** @return value of @p key as text, whatever its type. */
std::string textOf(const nlohmann::json &object, const char *key);

int runDaemonCommand(const CommandOptions &options);  ///< `daemon`
int runSettingsCheck(const CommandOptions &options);  ///< `settings check`
int runSettingsSchema(const CommandOptions &options); ///< `settings schema`
int runCodes(const CommandOptions &options);          ///< `codes`
int runExplain(const CommandOptions &options);        ///< `explain`
int runVersion(const CommandOptions &options);        ///< `version`
int runEntryPropose(const CommandOptions &options);   ///< `entry propose`
int runEntryAmend(const CommandOptions &options);     ///< `entry amend`
int runEntryRetire(const CommandOptions &options);    ///< `entry retire`
int runEntryShow(const CommandOptions &options);      ///< `entry show`
int runEntryList(const CommandOptions &options);      ///< `entry list`
int runEntryHistory(const CommandOptions &options);   ///< `entry history`
int runStatus(const CommandOptions &options);         ///< `status`
int runTimeline(const CommandOptions &options);       ///< `timeline`

int runQuarantineList(const CommandOptions &options);    ///< `quarantine list`
int runQuarantineRelease(const CommandOptions &options); ///< `quarantine release`

/** How far a version has come. */
struct FleetProgress
{
    std::size_t daemons = 0;          ///< Daemons that are not failed or gone.
    std::size_t inForce = 0;          ///< Daemons that run the version or a later one.
    std::vector<std::string> missing; ///< The others, with the reason.
};

/**
 * Asks all daemons which version they run until all run at least @p revision.
 * @param daemon Admin address of any daemon.
 * @param revision The version.
 * @param timeout Longest wait.
 */
Result<FleetProgress> waitForVersion(const std::string &daemon, std::uint64_t revision,
                                     Duration timeout);

} // namespace cornelwell
