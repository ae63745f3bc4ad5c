/** @file decision_log.h One JSON line for each decision; bounded and never blocking. */
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cornelwell {

/** The fields of one line. */
class LogFields
{
public:
    /** Adds a text. */
    void add(std::string_view key, std::string_view value);
    /** Adds a number. */
    void add(std::string_view key, std::int64_t value);
    /** Adds a number. */
    void add(std::string_view key, std::uint64_t value);
    /** @return the line's text without braces. */
    const std::string &text() const { return m_text; }

private:
    void key(std::string_view name);

    std::string m_text;
};

/** How much is written. */
enum class DecisionLogLevel : std::uint8_t
{
    Off,     ///< Nothing.
    Bounded, ///< Within the budget.
    Full,    ///< All.
};

/** Bounds of the log. */
struct DecisionLogOptions
{
    DecisionLogLevel level = DecisionLogLevel::Bounded; ///< How much is written.
    unsigned linesPerSecond = 200;                      ///< Lines a second.
    unsigned reservedLinesPerSecond = 120; ///< Of these, kept for what failed and for beliefs.
    std::size_t bufferBytesMax = 262144;   ///< Bytes that wait for the reader of the log.
};

/** Writes to standard output; drops lines rather than wait, and counts what it dropped. */
class DecisionLog
{
public:
    /** Adds the fields of a line; called only when the line is written. */
    using Fill = std::function<void(LogFields &)>;

    DecisionLog(const Clock &clock, DecisionLogOptions options);

    /** Sets who writes. */
    void setIdentity(std::string daemon, std::string dataCentre);
    /** A decision about a request. @param failed True when it did not go well. */
    void logRequest(std::string_view event, bool failed, const Fill &fill);
    /** A change of what this daemon believes, of its life or of a dependency. */
    void logStateChange(std::string_view event, const Fill &fill);
    /** Writes out what is buffered, as far as that does not block. */
    void flush();

private:
    bool admit(bool failed);
    void write(std::string_view event, const Fill &fill);
    void reportDropped();

    const Clock &m_clock;
    const DecisionLogOptions m_options;
    std::string m_who;
    std::string m_buffer;
    std::int64_t m_second = 0;
    unsigned m_lines = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace cornelwell
