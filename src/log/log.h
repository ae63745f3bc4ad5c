/** @file log.h Structured log: one JSON object per line on standard error. */
#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>

namespace cornelwell {

/** Severity of a line. */
enum class LogLevel : std::uint8_t
{
    Trace, ///< Every step.
    Debug, ///< Details for debugging.
    Info,  ///< State changes.
    Warn,  ///< A fault that the daemon handles itself.
    Error, ///< A fault that needs an operator.
    Count, ///< Number of levels; not a level.
};

/** Part of the program that a line is about. */
enum class LogCategory : std::uint8_t
{
    Daemon,       ///< Start, shutdown, signals.
    Platform,     ///< The platform's object API.
    Distribution, ///< Distribution of the configuration.
    Membership,   ///< Daemons of the fleet and their states.
    Peer,         ///< Links between daemons.
    Call,         ///< Calls and their dispatch.
    Backend,      ///< The local server.
    Count,        ///< Number of categories; not a category.
};

/** Identity of the process that writes the log. */
struct LogIdentity
{
    std::string process;    ///< Name of the daemon.
    std::string dataCentre; ///< Its data centre.
};

/**
 * Starts the log.
 * @param newIdentity Identity that every line names.
 * @param level Name of the lowest level to write, such as `info`; an unknown name changes nothing.
 */
void startLog(const LogIdentity &newIdentity, const std::string &level);

/** Writes a line. @param code Result code; ResultCode::Ok adds no name. */
void logLine(LogLevel level, LogCategory category, const std::string &message,
             ResultCode code = ResultCode::Ok);

/** Writes the detail, place and code of an error. */
void logError(LogLevel level, LogCategory category, const Error &error);

/** Flushes buffered lines. */
void flushLog();

} // namespace cornelwell
