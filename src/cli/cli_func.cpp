/** @file cli_func.cpp Output, errors and connections of the commands. */
#include "cli/cli_internal.h"

#include "base/endpoint_func.h"
#include "base/json_func.h"
#include "base/result_code_func.h"
#include "http/http_client.h"
#include "settings/settings_func.h"
#include "store/http_object_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace cornelwell {

namespace {

constexpr Duration PLATFORM_TIMEOUT = {3000}; ///< Longest wait for one call to the platform.
constexpr std::size_t ANSWER_BYTES_MAX = 64 * 1024 * 1024; ///< Longest answer of a daemon.
constexpr std::size_t ANSWER_DEPTH_MAX = 16;               ///< Deepest nesting of an answer.

} // namespace

int reportError(const Error &error)
{
    const ResultCodeInfo &info = resultCodeInfo(error.code);
    std::cerr << "cornelwell: " << resultCodeNumber(error.code) << " " << info.name << ": "
              << info.cause << "\n";
    if (!error.where.empty())
        std::cerr << "  at: " << error.where << "\n";
    if (!error.detail.empty())
        std::cerr << "  " << error.detail << "\n";
    std::cerr << "  what to do: " << info.remedy << "\n";
    return info.exitCode;
}

Result<std::unique_ptr<ObjectStore>> openPlatform(const CommandOptions &options, const Clock &clock)
{
    HttpObjectStoreOptions store;
    store.timeout = PLATFORM_TIMEOUT;
    for (const std::string &text : options.platform) {
        BOOST_OUTCOME_TRY(endpoint, parseEndpoint(text));
        store.addresses.push_back(endpoint);
    }
    if (!options.settings.empty()) {
        BOOST_OUTCOME_TRY(settings, loadSettings(options.settings));
        const auto &more = settings.platform.addresses;
        store.addresses.insert(store.addresses.end(), more.begin(), more.end());
    }
    if (store.addresses.empty())
        return fail(ResultCode::UsageError, "give --platform IP:PORT or --settings FILE");
    return std::unique_ptr<ObjectStore>(new HttpObjectStore(std::move(store), clock));
}

namespace {

Result<std::string> exchange(const std::string &address, const HttpRequest &request,
                             Duration timeout)
{
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(address));
    const SystemClock clock;
    HttpClient client(clock, 0);
    HttpBounds bounds;
    bounds.deadline = clock.now() + timeout;
    bounds.bodyBytesMax = ANSWER_BYTES_MAX;
    HttpOutcome outcome = client.execute(endpoint, request, bounds);
    if (outcome.failure != HttpFailure::None)
        return fail(ResultCode::DaemonUnreachable, outcome.detail, address);
    if (outcome.response.status != 200)
        return fail(ResultCode::DaemonUnreachable,
                    "status " + std::to_string(outcome.response.status), address);
    return std::move(outcome.response.body);
}

} // namespace

Result<nlohmann::json> askDaemon(const std::string &address, const std::string &path,
                                 Duration timeout)
{
    HttpRequest request;
    request.path = path;
    BOOST_OUTCOME_TRY(body, exchange(address, request, timeout));
    JsonOptions options;
    options.bytesMax = ANSWER_BYTES_MAX;
    options.depthMax = ANSWER_DEPTH_MAX;
    options.syntaxCode = ResultCode::DaemonUnreachable;
    return parseJson(body, options);
}

Result<void> tellDaemon(const std::string &address, const std::string &path,
                        const std::string &query, Duration timeout)
{
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.query = query;
    BOOST_OUTCOME_TRY(exchange(address, request, timeout));
    return success();
}

void printTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t i = 0; i < row.size(); i++)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); i++)
            line += row[i]
                    + std::string(i + 1 < row.size() ? widths[i] - row[i].size() + 2 : 0, ' ');
        std::cout << line << "\n";
    }
}

std::string textOf(const nlohmann::json &object, const char *key)
{
    if (!object.contains(key))
        return "-";
    return object[key].is_string() ? object[key].get<std::string>() : object[key].dump();
}

} // namespace cornelwell
