/** @file decision_log.h Log of decisions and state changes as JSON lines; never blocks. */
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cornelwell {

/** Fields of one line, in JSON. */
class LogFields
{
public:
    /** Adds a string field; escapes the value. */
    void add(std::string_view key, std::string_view value);
    /** Adds a number. */
    void add(std::string_view key, std::int64_t value);
    /** Adds a number. */
    void add(std::string_view key, std::uint64_t value);
    /** Adds a number with three decimals. */
    void add(std::string_view key, double value);
    /** @return the fields in JSON without braces, each with a leading comma. */
    const std::string &text() const { return m_text; }

private:
    void key(std::string_view name);

    std::string m_text;
};

/** Which lines are written. */
enum class DecisionLogLevel : std::uint8_t
{
    Off,     ///< None.
    Bounded, ///< At most DecisionLogOptions::linesPerSecond.
    Full,    ///< All that fit into the buffer.
};

/** Limits of the log. */
struct DecisionLogOptions
{
    DecisionLogLevel level = DecisionLogLevel::Bounded; ///< Which lines are written.
    unsigned linesPerSecond = 200;                      ///< Most lines in one second.
    /** Share of linesPerSecond for failures and state changes only. */
    unsigned reservedLinesPerSecond = 120;
    std::size_t bufferBytesMax = 262144; ///< New lines are dropped above this size.
};

/**
 * Writes to standard output, which it sets to non-blocking mode. It drops lines rather than wait,
 * and the line `lines_left_out` reports their number in a later second.
 */
class DecisionLog
{
public:
    /** Adds the fields of a line; called only when the line is written. */
    using Fill = std::function<void(LogFields &)>;

    /** @param clock Source of the times in the lines. @param options Limits. */
    DecisionLog(const Clock &clock, DecisionLogOptions options);

    /** Sets the daemon and data centre that every line names. */
    void setIdentity(std::string daemon, std::string dataCentre);
    /** Logs a decision about a request. @param failed True when the request failed. */
    void logRequest(std::string_view event, bool failed, const Fill &fill);
    /** Logs a state change of this daemon, a server, a peer or a dependency. */
    void logStateChange(std::string_view event, const Fill &fill);
    /** Writes as much of the buffer as possible without blocking. */
    void flush();

private:
    bool mayWrite(bool failed);
    void write(std::string_view event, const Fill &fill);
    void reportDropped();

    const Clock &m_clock;
    const DecisionLogOptions m_options;
    std::string m_identityFields; ///< Fields of every line, in JSON.
    std::string m_buffer;
    std::int64_t m_second = 0; ///< Steady clock, in seconds, at the last line.
    unsigned m_linesThisSecond = 0;
    std::uint64_t m_droppedLines = 0; ///< Since the last report.
};

} // namespace cornelwell
