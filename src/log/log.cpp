/** @file log.cpp JSON lines, written with spdlog. */
#include "log/log.h"

#include "base/result_code_func.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <iterator>

namespace cornelwell {

namespace {

constexpr const char *LEVEL_NAMES[] = {"trace", "debug", "info", "warn", "error"};
static_assert(std::size(LEVEL_NAMES) == static_cast<std::size_t>(LogLevel::Count),
              "a name for each level");

constexpr const char *CATEGORY_NAMES[]
    = {"daemon", "platform", "distribution", "membership", "peer", "call", "backend"};
static_assert(std::size(CATEGORY_NAMES) == static_cast<std::size_t>(LogCategory::Count),
              "a name for each category");

LogIdentity &identity()
{
    static LogIdentity instance;
    return instance;
}

spdlog::logger &logger()
{
    static const std::shared_ptr<spdlog::logger> INSTANCE = [] {
        auto created = spdlog::stderr_logger_mt("cornelwell");
        created->set_pattern("%v");
        return created;
    }();
    return *INSTANCE;
}

spdlog::level::level_enum spdlogLevel(LogLevel level)
{
    constexpr spdlog::level::level_enum LEVELS[]
        = {spdlog::level::trace, spdlog::level::debug, spdlog::level::info, spdlog::level::warn,
           spdlog::level::err};
    return LEVELS[static_cast<std::size_t>(level)];
}

/** @return time of day, in milliseconds since the Unix epoch. */
std::int64_t wallMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

void startLog(const LogIdentity &newIdentity, const std::string &level)
{
    identity() = newIdentity;
    for (std::size_t i = 0; i < std::size(LEVEL_NAMES); i++) {
        if (level == LEVEL_NAMES[i])
            logger().set_level(spdlogLevel(static_cast<LogLevel>(i)));
    }
}

void logLine(LogLevel level, LogCategory category, const std::string &message, ResultCode code)
{
    const auto severity = spdlogLevel(level);
    if (!logger().should_log(severity))
        return;
    nlohmann::ordered_json line = {{"time_ms", wallMs()},
                                   {"level", LEVEL_NAMES[static_cast<std::size_t>(level)]},
                                   {"process", identity().process},
                                   {"data_centre", identity().dataCentre},
                                   {"category", CATEGORY_NAMES[static_cast<std::size_t>(category)]},
                                   {"code", resultCodeNumber(code)},
                                   {"message", message}};
    if (code != ResultCode::Ok)
        line["name"] = resultCodeInfo(code).name;
    logger().log(severity, "{}",
                 line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

void logError(LogLevel level, LogCategory category, const Error &error)
{
    const std::string place = error.where.empty() ? "" : " (" + error.where + ")";
    logLine(level, category, error.detail + place, error.code);
}

void flushLog()
{
    logger().flush();
}

} // namespace cornelwell
