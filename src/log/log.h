/** @file log.h Structured logs: one JSON object a line on standard error. */
#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>

namespace cornelwell {

/** Severity of a line. */
enum class LogLevel : std::uint8_t
{
    Trace, ///< Every step.
    Debug, ///< For finding faults.
    Info,  ///< Changes of state.
    Warn,  ///< Something is wrong and is dealt with.
    Error, ///< Something is wrong and needs a person.
    Count, ///< Number of levels; not a level.
};

/** Part of the program that writes a line. */
enum class LogCategory : std::uint8_t
{
    Daemon,       ///< Start, shutdown, signals.
    Platform,     ///< The platform's object API.
    Distribution, ///< Versions of the configuration.
    Membership,   ///< Servers and their states.
    Peer,         ///< Links between daemons.
    Call,         ///< The call path.
    Backend,      ///< The backend server on this VM.
    Count,        ///< Number of categories; not a category.
};

/** Who writes; set once at start. */
struct LogIdentity
{
    std::string process;    ///< Name of the server.
    std::string dataCentre; ///< Its data centre.
};

/** Begins to write lines of at least this level. */
void startLog(const LogIdentity &identity, const std::string &level);

/** Writes a line. */
void logLine(LogLevel level, LogCategory category, const std::string &message,
             ResultCode code = ResultCode::Ok);

/** Writes an error's detail, place and code. */
void logError(LogLevel level, LogCategory category, const Error &error);

/** Writes out what is buffered. */
void flushLog();

} // namespace cornelwell
