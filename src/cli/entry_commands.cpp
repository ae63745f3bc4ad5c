/** @file entry_commands.cpp Commands about catalogue entries. */
#include "cli/cli_internal.h"

#include "base/hash_func.h"
#include "base/json_func.h"
#include "base/table/result_codes.h"
#include "catalogue/entry_func.h"
#include "distribution/catalogue_writer.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <chrono>
#include <iostream>
#include <random>
#include <thread>

namespace cornelwell {

namespace {

void sleepFor(Duration pause)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(pause.ms));
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

Result<Change> baseChange(const CommandOptions &options, ChangeKind kind, Entry entry,
                          const Clock &clock)
{
    if (options.author.empty())
        return fail(ResultCode::UsageError, "give --author NAME");
    if (options.vote.empty())
        return fail(ResultCode::UsageError, "give --vote TEXT, the reference of the members' vote");
    if (options.wait && options.daemon.empty())
        return fail(ResultCode::UsageError, "--wait needs --daemon IP:PORT");
    Change change;
    change.id = hex64(randomSeed());
    change.kind = kind;
    change.entry = std::move(entry);
    change.base = options.base;
    change.author = options.author;
    change.vote = options.vote;
    change.acceptedAt = clock.wallNow();
    return change;
}

/** Without --base a change starts from the version in force when the command began. */
Result<void> fillBase(ObjectStore &store, Change &change)
{
    if (change.kind == ChangeKind::Propose || change.base != 0)
        return success();
    BOOST_OUTCOME_TRY(state, readCatalogue(store));
    const EntryInForce *inForce = state.configuration->find(change.entry.name);
    if (inForce == nullptr)
        return fail(ResultCode::EntryUnknown, "'" + change.entry.name.text() + "' is not in force",
                    change.entry.name.text());
    change.base = inForce->revision;
    return success();
}

int reportWait(const CommandOptions &options, nlohmann::json &report, Revision revision)
{
    const auto begun = std::chrono::steady_clock::now();
    const auto progress = waitForVersion(options.daemon, revision, {options.timeoutMs});
    if (!progress)
        return reportError(progress.error());
    const auto spent = std::chrono::steady_clock::now() - begun;
    const FleetProgress &fleet = progress.value();
    report["daemons"] = fleet.daemons;
    report["in_force"] = fleet.inForce;
    report["missing"] = fleet.missing;
    report["waited_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(spent).count();
    return fleet.missing.empty() ? EXIT_OK : EXIT_PARTIAL;
}

void printReport(const CommandOptions &options, const nlohmann::json &report)
{
    if (options.output == OutputForm::Json) {
        std::cout << report.dump() << "\n";
        return;
    }
    std::cout << textOf(report, "change") << " of '" << textOf(report, "entry") << "' "
              << (options.dryRun ? "would be accepted as version " : "accepted as version ")
              << textOf(report, "revision") << "\n";
    if (!report.contains("daemons"))
        return;
    std::cout << "in force on " << textOf(report, "in_force") << " of " << textOf(report, "daemons")
              << " daemons after " << textOf(report, "waited_ms") << " ms\n";
    for (const auto &missing : report["missing"])
        std::cout << "  missing: " << missing.get<std::string>() << "\n";
}

int change(const CommandOptions &options, ChangeKind kind, Entry entry)
{
    const SystemClock clock;
    auto proposed = baseChange(options, kind, std::move(entry), clock);
    if (!proposed)
        return reportError(proposed.error());
    const auto store = openPlatform(options, clock);
    if (!store)
        return reportError(store.error());
    const auto based = fillBase(*store.value(), proposed.value());
    if (!based)
        return reportError(based.error());
    CatalogueWriter writer(*store.value(), sleepFor, randomSeed());
    const auto accepted = writer.accept(proposed.value(), options.dryRun);
    if (!accepted)
        return reportError(accepted.error());
    nlohmann::json report
        = {{"change", changeKindName(kind)},  {"entry", proposed.value().entry.name.text()},
           {"id", proposed.value().id},       {"revision", accepted.value().revision},
           {"tries", accepted.value().tries}, {"dry_run", options.dryRun}};
    const bool waits = options.wait && !options.dryRun;
    const int code = waits ? reportWait(options, report, accepted.value().revision) : EXIT_OK;
    printReport(options, report);
    if (code == EXIT_PARTIAL)
        reportError({ResultCode::NotInForce, {}, {}});
    return code;
}

int changeFromFile(const CommandOptions &options, ChangeKind kind)
{
    const auto text = readFile(options.words[0], ResultCode::FileUnreadable);
    if (!text)
        return reportError(text.error());
    auto entry = parseEntry(text.value());
    if (!entry) {
        Error error = entry.error();
        error.where = options.words[0] + (error.where.empty() ? "" : ": " + error.where);
        return reportError(error);
    }
    return change(options, kind, std::move(entry.value()));
}

Result<CatalogueState> loadCatalogue(const CommandOptions &options)
{
    const SystemClock clock;
    BOOST_OUTCOME_TRY(store, openPlatform(options, clock));
    return readCatalogue(*store);
}

std::vector<std::string> entryRow(const EntryInForce &inForce)
{
    const Entry &entry = inForce.entry;
    const auto limit
        = [](std::uint32_t value) { return value == 0 ? std::string("-") : std::to_string(value); };
    return {entry.name.text(),
            entry.service.text(),
            entry.method + " " + entry.path,
            requestClassName(entry.requestClass),
            std::to_string(entry.patience.ms),
            limit(entry.limits.ratePerSecond),
            limit(entry.limits.concurrency),
            entry.idempotent ? "yes" : "no",
            std::to_string(inForce.revision),
            inForce.author};
}

const std::vector<std::string> ENTRY_HEADING
    = {"NAME",   "SERVICE",     "REQUEST",    "CLASS",   "PATIENCE_MS",
       "RATE/S", "CONCURRENCY", "IDEMPOTENT", "VERSION", "BY"};

} // namespace

int runEntryPropose(const CommandOptions &options)
{
    return changeFromFile(options, ChangeKind::Propose);
}

int runEntryAmend(const CommandOptions &options)
{
    return changeFromFile(options, ChangeKind::Amend);
}

int runEntryRetire(const CommandOptions &options)
{
    Entry entry;
    entry.name = EntryName(options.words[0]);
    return change(options, ChangeKind::Retire, std::move(entry));
}

int runEntryShow(const CommandOptions &options)
{
    const auto state = loadCatalogue(options);
    if (!state)
        return reportError(state.error());
    const EntryInForce *inForce = state.value().configuration->find(EntryName(options.words[0]));
    if (inForce == nullptr)
        return reportError(
            {ResultCode::EntryUnknown, "'" + options.words[0] + "' is not in force", {}});
    if (options.output == OutputForm::Json)
        std::cout << entryInForceToJson(*inForce).dump(2) << "\n";
    else
        printTable({ENTRY_HEADING, entryRow(*inForce)});
    return EXIT_OK;
}

int runEntryList(const CommandOptions &options)
{
    const auto state = loadCatalogue(options);
    if (!state)
        return reportError(state.error());
    nlohmann::json list = nlohmann::json::array();
    std::vector<std::vector<std::string>> rows = {ENTRY_HEADING};
    for (const auto &item : state.value().configuration->entries()) {
        list.push_back(entryInForceToJson(item.second));
        rows.push_back(entryRow(item.second));
    }
    if (options.output == OutputForm::Json)
        std::cout
            << nlohmann::json{{"revision", state.value().head.revision}, {"entries", list}}.dump(2)
            << "\n";
    else
        printTable(rows);
    return EXIT_OK;
}

int runEntryHistory(const CommandOptions &options)
{
    const auto state = loadCatalogue(options);
    if (!state)
        return reportError(state.error());
    nlohmann::json list = nlohmann::json::array();
    std::vector<std::vector<std::string>> rows
        = {{"VERSION", "CHANGE", "ENTRY", "BY", "VOTE", "ID"}};
    for (const Change &change : state.value().head.changes) {
        const std::string &name = change.entry.name.text();
        if (!options.words.empty() && options.words[0] != name)
            continue;
        list.push_back(changeToJson(change));
        rows.push_back({std::to_string(change.revision), changeKindName(change.kind), name,
                        change.author, change.vote, change.id});
    }
    if (options.output == OutputForm::Json)
        std::cout << list.dump(2) << "\n";
    else
        printTable(rows);
    return EXIT_OK;
}

} // namespace cornelwell
