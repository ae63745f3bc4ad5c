/** @file local_commands.cpp Commands that ask nobody: daemon, settings, codes, version. */
#include "cli/cli_internal.h"

#include "base/result_code_func.h"
#include "base/table/result_codes.h"
#include "daemon/daemon.h"
#include "settings/settings_func.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace cornelwell {

int runDaemonCommand(const CommandOptions &options)
{
    if (options.settings.empty())
        return reportError({ResultCode::UsageError, "give --settings FILE", {}});
    const auto settings = loadSettings(options.settings);
    if (!settings)
        return reportError(settings.error());
    const auto ended = runDaemon(settings.value());
    return ended ? EXIT_OK : reportError(ended.error());
}

int runSettingsCheck(const CommandOptions &options)
{
    const auto settings = loadSettings(options.words[0]);
    if (!settings)
        return reportError(settings.error());
    std::cout << options.words[0] << ": good, daemon '" << settings.value().id.text()
              << "' in data centre '" << settings.value().dataCentre.text() << "'\n";
    return EXIT_OK;
}

int runSettingsSchema(const CommandOptions &)
{
    std::cout << settingsMarkdown();
    return EXIT_OK;
}

int runCodes(const CommandOptions &options)
{
    if (options.output == OutputForm::Markdown) {
        std::cout << resultCodesMarkdown();
        return EXIT_OK;
    }
    nlohmann::json list = nlohmann::json::array();
    std::vector<std::vector<std::string>> rows = {{"NUMBER", "NAME", "EXIT", "HTTP", "CAUSE"}};
    for (std::size_t i = 0; i < resultCodeCount(); i++) {
        const ResultCodeInfo &row = resultCodeAt(i);
        list.push_back({{"number", resultCodeNumber(row.code)},
                        {"name", row.name},
                        {"cause", row.cause},
                        {"remedy", row.remedy},
                        {"http", row.httpStatus},
                        {"exit", row.exitCode}});
        rows.push_back({std::to_string(resultCodeNumber(row.code)), row.name,
                        std::to_string(row.exitCode),
                        row.httpStatus == 0 ? "-" : std::to_string(row.httpStatus), row.cause});
    }
    if (options.output == OutputForm::Json)
        std::cout << list.dump(2) << "\n";
    else
        printTable(rows);
    return EXIT_OK;
}

int runVersion(const CommandOptions &)
{
    std::cout << "cornelwell " << CORNELWELL_VERSION << "\n";
    return EXIT_OK;
}

} // namespace cornelwell
