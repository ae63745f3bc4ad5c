/** @file cli.cpp The table of commands, their options and their help. */
#include "cli/cli.h"

#include "cli/cli_internal.h"

#include "base/table/result_codes.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <iostream>
#include <sstream>

namespace cornelwell {

namespace {

/** One command. */
struct CommandRow
{
    const char *group;    ///< First word, or the whole command.
    const char *verb;     ///< Second word; "" when there is none.
    const char *words;    ///< Words that follow.
    std::size_t wordsMin; ///< Fewest of them.
    const char *options;  ///< Options that it takes, by name, each followed by a blank.
    const char *summary;  ///< What it does.
    const char *example;  ///< Example.
    int (*run)(const CommandOptions &);
};

constexpr CommandRow COMMANDS[] = {
    {"daemon", "", "", 0, "settings ",
     "Runs the daemon of this VM until SIGTERM (a second one stops it at once).",
     "cornelwell daemon --settings /etc/cornelwell.json", runDaemonCommand},
    {"entry", "propose", "FILE", 1,
     "platform settings daemon author vote dry-run wait timeout output ",
     "Proposes the entry of a JSON document; without effect when anything is wrong with it.",
     "cornelwell entry propose lot-lookup.json --author awa --vote 2026-114 --platform "
     "127.0.0.1:7000",
     runEntryPropose},
    {"entry", "amend", "FILE", 1,
     "platform settings daemon author vote base dry-run wait timeout output ",
     "Replaces the entry of the document's name.",
     "cornelwell entry amend lot-lookup.json --author awa --vote 2026-120 --platform "
     "127.0.0.1:7000 --wait --daemon "
     "127.1.1.1:7104",
     runEntryAmend},
    {"entry", "retire", "NAME", 1,
     "platform settings daemon author vote base dry-run wait timeout output ", "Retires an entry.",
     "cornelwell entry retire lot-lookup --author awa --vote 2026-131 --platform 127.0.0.1:7000",
     runEntryRetire},
    {"entry", "show", "NAME", 1, "platform settings output ", "Shows one entry in force.",
     "cornelwell entry show lot-lookup --platform 127.0.0.1:7000", runEntryShow},
    {"entry", "list", "", 0, "platform settings output ", "Lists the entries in force.",
     "cornelwell entry list --platform 127.0.0.1:7000", runEntryList},
    {"entry", "history", "[NAME]", 0, "platform settings output ",
     "Lists the last changes, newest last.",
     "cornelwell entry history lot-lookup --platform 127.0.0.1:7000", runEntryHistory},
    {"status", "", "", 0, "daemon timeout output ",
     "Shows every daemon that the asked one knows of.", "cornelwell status --daemon 127.1.1.1:7104",
     runStatus},
    {"timeline", "", "", 0, "daemon server subject cause file timeout output ",
     "Merges the events of all daemons into one time line.",
     "cornelwell timeline --daemon 127.1.1.1:7104 --output html --file timeline.html", runTimeline},
    {"quarantine", "list", "", 0, "daemon output ",
     "Lists requests that crashed backend servers, and whether they are refused.",
     "cornelwell quarantine list --daemon 127.1.1.1:7104", runQuarantineList},
    {"quarantine", "release", "FINGERPRINT", 1, "daemon ",
     "Lets a refused request through again, on every daemon.",
     "cornelwell quarantine release 00c0ffee00c0ffee --daemon 127.1.1.1:7104",
     runQuarantineRelease},
    {"settings", "check", "FILE", 1, "",
     "Checks a settings file as the daemon would, without starting.",
     "cornelwell settings check examples/agence/thies-1-desk-1.json", runSettingsCheck},
    {"settings", "schema", "", 0, "", "Prints the keys of the settings as a Markdown table.",
     "cornelwell settings schema", runSettingsSchema},
    {"explain", "", "REQUEST LOG...", 2, "",
     "Tells the story of one request out of the logs of several daemons.",
     "cornelwell explain 9c41d07be2a35f68 vm-1.log vm-2.log", runExplain},
    {"codes", "", "", 0, "output ", "Lists the numbered result codes.",
     "cornelwell codes --output json", runCodes},
    {"version", "", "", 0, "", "Prints the version.", "cornelwell version", runVersion},
};

constexpr const char *EXIT_CODES
    = "Exit codes: 0 done; 1 failed; 2 wrong command line; 3 conflict with another change; 4 "
      "invalid document or\n"
      "settings; 5 platform or daemon unreachable, nothing done; 6 unknown whether done; 7 "
      "accepted, not yet in\n"
      "force everywhere. 'cornelwell codes' lists the numbered causes.\n";

std::string commandName(const CommandRow &row)
{
    return *row.verb == '\0' ? row.group : std::string(row.group) + " " + row.verb;
}

std::string generalHelp(const std::string &group)
{
    std::ostringstream text;
    text << "cornelwell: configuration distribution for a service mesh\n\nCommands:\n";
    for (const CommandRow &row : COMMANDS) {
        if (!group.empty() && group != row.group)
            continue;
        const std::string name = commandName(row) + " " + row.words;
        text << "  " << name << std::string(name.size() < 24 ? 24 - name.size() : 1, ' ')
             << row.summary << "\n";
    }
    text << "\nEach command has --help with its options and an example.\n\n" << EXIT_CODES;
    return text.str();
}

bool takes(const CommandRow &row, const std::string &option)
{
    return (" " + std::string(row.options)).find(" " + option + " ") != std::string::npos;
}

cxxopts::Options optionsOf(const CommandRow &row)
{
    cxxopts::Options options("cornelwell " + commandName(row), row.summary);
    auto add = options.add_options();
    add("h,help", "Shows this help");
    const auto addText
        = [&](const char *name, const char *text, const char *value, const char *fallback) {
              if (takes(row, name))
                  add(name, text, cxxopts::value<std::string>()->default_value(fallback), value);
          };
    addText("settings", "Settings file; gives the platform's addresses too", "FILE", "");
    addText("daemon", "Admin address of any daemon", "IP:PORT", "");
    addText("author", "Who makes the change", "NAME", "");
    addText("vote", "Reference of the members' vote", "TEXT", "");
    addText("output", "table, json, and for some commands markdown or html", "FORM", "table");
    addText("file", "File to write to instead of standard output", "FILE", "");
    addText("server", "Only events of this daemon", "ID", "");
    addText("subject", "Only events about this entry, server or request", "TEXT", "");
    addText("cause", "Only events with this cause", "TEXT", "");
    if (takes(row, "platform"))
        add("platform", "Address of the platform; may be given several times",
            cxxopts::value<std::vector<std::string>>(), "IP:PORT");
    if (takes(row, "base"))
        add("base", "Version of the entry that the change starts from; default: the one in force",
            cxxopts::value<std::uint64_t>()->default_value("0"), "N");
    if (takes(row, "timeout"))
        add("timeout", "Longest wait in milliseconds",
            cxxopts::value<std::int64_t>()->default_value("10000"), "MS");
    if (takes(row, "dry-run"))
        add("dry-run", "Tests the change without effect");
    if (takes(row, "wait"))
        add("wait", "Waits until the change is in force on every daemon; needs --daemon");
    options.add_options("words")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    options.positional_help(row.words);
    return options;
}

Result<OutputForm> outputForm(const std::string &text)
{
    if (text == "table")
        return OutputForm::Table;
    if (text == "json")
        return OutputForm::Json;
    if (text == "markdown")
        return OutputForm::Markdown;
    if (text == "html")
        return OutputForm::Html;
    return fail(ResultCode::UsageError,
                "--output " + text + " is not table, json, markdown or html");
}

Result<CommandOptions> readOptions(const CommandRow &row, const cxxopts::ParseResult &parsed)
{
    CommandOptions options;
    const auto text = [&](const char *name) {
        return takes(row, name) ? parsed[name].as<std::string>() : std::string();
    };
    if (parsed.count("words") > 0)
        options.words = parsed["words"].as<std::vector<std::string>>();
    if (options.words.size() < row.wordsMin)
        return fail(ResultCode::UsageError, commandName(row) + " needs " + row.words);
    const std::string names = row.words;
    const std::size_t wordsMax = names.empty() ? 0 : 1;
    const bool anyNumber = names.find("...") != std::string::npos;
    if (!anyNumber && options.words.size() > wordsMax)
        return fail(ResultCode::UsageError, "'" + options.words.back() + "' is one word too many");
    options.settings = text("settings");
    options.daemon = text("daemon");
    options.author = text("author");
    options.vote = text("vote");
    options.file = text("file");
    options.server = text("server");
    options.subject = text("subject");
    options.cause = text("cause");
    if (takes(row, "output")) {
        BOOST_OUTCOME_TRY(form, outputForm(parsed["output"].as<std::string>()));
        options.output = form;
    }
    if (takes(row, "platform") && parsed.count("platform") > 0)
        options.platform = parsed["platform"].as<std::vector<std::string>>();
    if (takes(row, "base"))
        options.base = parsed["base"].as<std::uint64_t>();
    if (takes(row, "timeout"))
        options.timeoutMs = parsed["timeout"].as<std::int64_t>();
    options.dryRun = takes(row, "dry-run") && parsed.count("dry-run") > 0;
    options.wait = takes(row, "wait") && parsed.count("wait") > 0;
    return options;
}

int runRow(const CommandRow &row, std::vector<std::string> words)
{
    cxxopts::Options options = optionsOf(row);
    std::vector<char *> argv = {const_cast<char *>("cornelwell")};
    for (std::string &word : words)
        argv.push_back(word.data());
    try {
        const cxxopts::ParseResult parsed
            = options.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") > 0) {
            std::cout << options.help({""}) << "\nExample:\n  " << row.example << "\n\n"
                      << EXIT_CODES;
            return EXIT_OK;
        }
        const auto read = readOptions(row, parsed);
        return read ? row.run(read.value()) : reportError(read.error());
    } catch (const cxxopts::exceptions::exception &error) {
        return reportError({ResultCode::UsageError, error.what(), {}});
    }
}

} // namespace

int runCommandLine(const std::vector<std::string> &arguments)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h"
        || arguments[0] == "help") {
        std::cout << generalHelp({});
        return arguments.empty() ? EXIT_USAGE : EXIT_OK;
    }
    bool knownGroup = false;
    for (const CommandRow &row : COMMANDS) {
        if (arguments[0] != row.group)
            continue;
        knownGroup = true;
        const bool single = *row.verb == '\0';
        if (single)
            return runRow(row, {arguments.begin() + 1, arguments.end()});
        if (arguments.size() > 1 && arguments[1] == row.verb)
            return runRow(row, {arguments.begin() + 2, arguments.end()});
    }
    if (knownGroup && (arguments.size() < 2 || arguments[1] == "--help" || arguments[1] == "-h")) {
        std::cout << generalHelp(arguments[0]);
        return arguments.size() < 2 ? EXIT_USAGE : EXIT_OK;
    }
    const std::string name = knownGroup ? arguments[0] + " " + arguments[1] : arguments[0];
    return reportError({ResultCode::UsageError, "unknown command '" + name + "'", {}});
}

} // namespace cornelwell
