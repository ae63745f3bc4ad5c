/** @file settings_schema.h Schema of the settings: type, unit, range and default of each key. */
#pragma once

#include <cstdint>

namespace cornelwell {

/** Type of a settings value. */
enum class SettingKind : std::uint8_t
{
    Object,      ///< An object with nested keys.
    Name,        ///< A plain name.
    Ip,          ///< An IP address without a port.
    Address,     ///< IP:PORT.
    AddressList, ///< A list of IP:PORT.
    NameList,    ///< A list of plain names.
    Number,      ///< A whole number within a range.
    LogLevel,    ///< One of the log levels.
};

/** One key of the schema. */
struct SettingRow
{
    const char *pointer;       ///< JSON pointer of the key.
    SettingKind kind;          ///< Type of the value.
    bool required;             ///< The key must be present when its parent object is.
    std::int64_t min;          ///< Smallest number, or shortest length of a list.
    std::int64_t max;          ///< Largest number, or longest length of a list.
    std::int64_t defaultValue; ///< Default of a number.
    const char *unit;          ///< Unit of a number; "" for none.
    const char *description;   ///< Description for the operations manual.
};

using K = SettingKind;

/** The schema; each object precedes its keys. */
constexpr SettingRow SETTINGS_SCHEMA[] = {
    {"/id", K::Name, true, 0, 0, 0, "",
     "name of the server, the same after a restart, unique in the fleet"},
    {"/region", K::Name, true, 0, 0, 0, "", "region of the data centre"},
    {"/data_centre", K::Name, true, 0, 0, 0, "", "data centre of the VM"},
    {"/address", K::Ip, true, 0, 0, 0, "", "IP number that all listeners of the daemon use"},
    {"/ports", K::Object, true, 0, 0, 0, "", "TCP ports, all different"},
    {"/ports/call", K::Number, true, 1, 65535, 0, "port", "HTTP, for callers"},
    {"/ports/relay", K::Number, true, 1, 65535, 0, "port", "HTTP, for calls from other daemons"},
    {"/ports/peer", K::Number, true, 1, 65535, 0, "port",
     "WebSocket, for control messages of other daemons"},
    {"/ports/admin", K::Number, true, 1, 65535, 0, "port", "HTTP, for operators"},
    {"/platform", K::Object, true, 0, 0, 0, "", "the platform's object API"},
    {"/platform/addresses", K::AddressList, true, 1, 8, 0, "",
     "IP:PORT of the object API, tried in turn"},
    {"/platform/timeout_ms", K::Number, false, 50, 60000, 1000, "ms", "longest wait for one call"},
    {"/platform/watch_ms", K::Number, false, 1000, 60000, 1500, "ms",
     "longest wait of one watch; one that is lost is noticed timeout_ms later"},
    {"/platform/retry_min_ms", K::Number, false, 10, 60000, 200, "ms",
     "first pause after a failed call"},
    {"/platform/retry_max_ms", K::Number, false, 100, 300000, 5000, "ms",
     "longest pause between tries"},
    {"/platform/direct", K::Number, false, 0, 1, 0, "0 or 1",
     "1: this daemon watches the platform on its own; for comparison only"},
    {"/backend", K::Object, false, 0, 0, 0, "",
     "the backend server on this VM; left out when there is none"},
    {"/backend/service", K::Name, true, 0, 0, 0, "", "service that it runs"},
    {"/backend/address", K::Address, true, 0, 0, 0, "", "IP:PORT where it listens"},
    {"/backend/slots", K::Number, false, 1, 1000, 8, "requests", "requests that it runs at once"},
    {"/backend/index", K::Number, false, 0, 10000, 0, "number",
     "number of this server in its service, from 1, no two alike: its part of voted limits; 0: no "
     "part"},
    {"/backend/connections", K::Number, false, 1, 10000, 120, "connections",
     "connections that it takes"},
    {"/backend/queue", K::Number, false, 0, 10000, 32, "requests", "requests that wait for a slot"},
    {"/backend/warm_up_ms", K::Number, false, 0, 600000, 2000, "ms",
     "time from ready to full share of the calls"},
    {"/backend/probe_ms", K::Number, false, 100, 600000, 2000, "ms", "pause between health probes"},
    {"/calls", K::NameList, false, 0, 200, 0, "",
     "services that this VM calls, for endpoints in other data centres"},
    {"/seeds", K::AddressList, false, 0, 32, 0, "",
     "peer addresses to try while the platform is down"},
    {"/peer", K::Object, false, 0, 0, 0, "", "links between daemons"},
    {"/peer/links", K::Number, false, 1, 16, 3, "links", "links opened inside the data centre"},
    {"/peer/links_max", K::Number, false, 4, 1000, 64, "links", "links accepted"},
    {"/peer/heartbeat_ms", K::Number, false, 50, 10000, 1000, "ms",
     "pause between heartbeats on a link"},
    {"/peer/silence_ms", K::Number, false, 200, 60000, 3500, "ms",
     "a link silent for this long is closed"},
    {"/peer/suspicion_ms", K::Number, false, 100, 60000, 2000, "ms",
     "time a suspected server has to answer"},
    {"/peer/message_bytes_max", K::Number, false, 65536, 16777216, 4194304, "bytes",
     "longest message"},
    {"/peer/messages_per_second_max", K::Number, false, 10, 100000, 500, "messages/s",
     "messages taken from one link"},
    {"/call", K::Object, false, 0, 0, 0, "", "the call path"},
    {"/call/body_bytes_max", K::Number, false, 1024, 67108864, 1048576, "bytes",
     "longest body of a request or an answer"},
    {"/call/threads_max", K::Number, false, 4, 2000, 200, "threads",
     "requests handled at once by each listener"},
    {"/call/patience_max_ms", K::Number, false, 100, 600000, 60000, "ms",
     "longest patience that is honoured"},
    {"/drain", K::Object, false, 0, 0, 0, "", "graceful shutdown"},
    {"/drain/announce_ms", K::Number, false, 0, 60000, 1000, "ms",
     "time from the announcement to the refusal of new calls"},
    {"/drain/limit_ms", K::Number, false, 100, 600000, 20000, "ms",
     "calls that still run after this are given up"},
    {"/log", K::Object, false, 0, 0, 0, "", "logs, as JSON lines on standard error"},
    {"/log/level", K::LogLevel, false, 0, 0, 0, "", "trace, debug, info (default), warn or error"},
    {"/timeline", K::Object, false, 0, 0, 0, "", "the time line"},
    {"/timeline/events", K::Number, false, 64, 1000000, 4096, "events", "events kept in memory"},
    {"/experiment", K::Object, false, 0, 0, 0, "", "for experiments only"},
    {"/experiment/cuts", K::Number, false, 0, 1, 0, "0 or 1",
     "1: POST /experiment/cut on the admin address cuts this daemon off from IP numbers"},
};

} // namespace cornelwell
