/** @file decision_log.cpp Writes JSON directly; a document object for each line costs far more. */
#include "log/decision_log.h"

#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace cornelwell {

namespace {

constexpr std::int64_t MS_PER_SECOND = 1000;
constexpr std::size_t FLUSH_BYTES = 32768; ///< From this size the buffer is written at once.

/** Appends a JSON string without quotes; escapes bytes outside printable ASCII as Latin-1. */
void appendEscaped(std::string &text, std::string_view value)
{
    constexpr const char *HEX = "0123456789abcdef";
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            text += '\\';
            text += c;
        } else if (byte < 0x20 || byte >= 0x7f) {
            text += "\\u00";
            text += HEX[byte >> 4];
            text += HEX[byte & 0xf];
        } else {
            text += c;
        }
    }
}

} // namespace

void LogFields::key(std::string_view name)
{
    m_text += ",\"";
    m_text += name;
    m_text += "\":";
}

void LogFields::add(std::string_view name, std::string_view value)
{
    key(name);
    m_text += '"';
    appendEscaped(m_text, value);
    m_text += '"';
}

void LogFields::add(std::string_view name, std::int64_t value)
{
    key(name);
    m_text += std::to_string(value);
}

void LogFields::add(std::string_view name, std::uint64_t value)
{
    key(name);
    m_text += std::to_string(value);
}

void LogFields::add(std::string_view name, double value)
{
    char text[48];
    std::snprintf(text, sizeof(text), "%.3f", value);
    key(name);
    m_text += text;
}

DecisionLog::DecisionLog(const Clock &clock, DecisionLogOptions options)
    : m_clock(clock), m_options(options)
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void DecisionLog::setIdentity(std::string daemon, std::string dataCentre)
{
    LogFields fields;
    fields.add("daemon", daemon);
    fields.add("data_centre", dataCentre);
    m_identityFields = fields.text();
}

bool DecisionLog::mayWrite(bool failed)
{
    if (m_options.level == DecisionLogLevel::Off)
        return false;
    const std::int64_t second = m_clock.now().ms / MS_PER_SECOND;
    if (second != m_second) {
        reportDropped();
        m_second = second;
        m_linesThisSecond = 0;
    }
    const unsigned linesMax = failed ? m_options.linesPerSecond
                                     : m_options.linesPerSecond - m_options.reservedLinesPerSecond;
    const bool bounded = m_options.level == DecisionLogLevel::Bounded;
    if ((bounded && m_linesThisSecond >= linesMax) || m_buffer.size() > m_options.bufferBytesMax) {
        m_droppedLines++;
        return false;
    }
    m_linesThisSecond++;
    return true;
}

void DecisionLog::reportDropped()
{
    if (m_droppedLines == 0)
        return;
    const std::uint64_t droppedLines = m_droppedLines;
    m_droppedLines = 0;
    write("lines_left_out", [&](LogFields &fields) { fields.add("count", droppedLines); });
}

void DecisionLog::logRequest(std::string_view event, bool failed, const Fill &fill)
{
    if (mayWrite(failed))
        write(event, fill);
}

void DecisionLog::logStateChange(std::string_view event, const Fill &fill)
{
    if (mayWrite(true))
        write(event, fill);
}

void DecisionLog::write(std::string_view event, const Fill &fill)
{
    LogFields fields;
    fill(fields);
    m_buffer += "{\"time_ms\":" + std::to_string(m_clock.wallNow().ms) + ",\"steady_ms\":"
                + std::to_string(m_clock.now().ms) + m_identityFields + ",\"event\":\"";
    m_buffer += event;
    m_buffer += '"';
    m_buffer += fields.text();
    m_buffer += "}\n";
    if (m_buffer.size() >= FLUSH_BYTES)
        flush();
}

void DecisionLog::flush()
{
    if (m_buffer.empty())
        return;
    const ssize_t written = ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
    if (written > 0)
        m_buffer.erase(0, static_cast<std::size_t>(written));
}

} // namespace cornelwell
