/** @file settings_func.cpp Validation of settings against the schema, and their reading. */
#include "settings/settings_func.h"

#include "base/endpoint_func.h"
#include "base/json_func.h"
#include "settings/table/settings_schema.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <sstream>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr const char *LOG_LEVELS[] = {"trace", "debug", "info", "warn", "error"};

const SettingRow *findRow(const std::string &pointer)
{
    for (const SettingRow &row : SETTINGS_SCHEMA) {
        if (pointer == row.pointer)
            return &row;
    }
    return nullptr;
}

std::string parentOf(const std::string &pointer)
{
    return pointer.substr(0, pointer.rfind('/'));
}

Result<void> checkKeys(const Json &object, const std::string &pointer)
{
    for (const auto &item : object.items()) {
        const std::string child = pointer + "/" + item.key();
        const SettingRow *row = findRow(child);
        if (row == nullptr)
            return fail(ResultCode::SettingsUnknownKey, "unknown key '" + item.key() + "'", child);
        if (row->kind != SettingKind::Object)
            continue;
        if (!item.value().is_object())
            return fail(ResultCode::SettingsWrongType, "must be an object", child);
        BOOST_OUTCOME_TRY(checkKeys(item.value(), child));
    }
    return success();
}

Result<void> wrongType(const SettingRow &row, const char *expected)
{
    return fail(ResultCode::SettingsWrongType, std::string("must be ") + expected, row.pointer);
}

Result<void> checkName(const SettingRow &row, const Json &value)
{
    if (!value.is_string())
        return wrongType(row, "a name in quotes");
    if (!isPlainName(value.get<std::string>()))
        return fail(ResultCode::SettingsNameInvalid,
                    "'" + value.get<std::string>()
                        + "' is not 1 to 64 of a-z, 0-9, '-', '_' and '.'",
                    row.pointer);
    return success();
}

Result<void> checkAddress(const SettingRow &row, const Json &value)
{
    if (!value.is_string())
        return wrongType(row, "an IP:PORT in quotes");
    const auto parsed = parseEndpoint(value.get<std::string>());
    if (!parsed)
        return fail(parsed.error().code, parsed.error().detail, row.pointer);
    return success();
}

Result<void> checkNumber(const SettingRow &row, const Json &value)
{
    if (!value.is_number_integer())
        return wrongType(row, "a whole number");
    const bool tooLarge = value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX;
    const std::int64_t number = tooLarge ? INT64_MAX : value.get<std::int64_t>();
    if (number < row.min || number > row.max)
        return fail(ResultCode::SettingsOutOfRange,
                    value.dump() + " is not from " + std::to_string(row.min) + " to "
                        + std::to_string(row.max) + " " + row.unit,
                    row.pointer);
    return success();
}

Result<void> checkValue(const SettingRow &row, const Json &value);

Result<void> checkList(const SettingRow &row, const Json &value, SettingKind item)
{
    if (!value.is_array())
        return wrongType(row, "a list");
    const auto length = static_cast<std::int64_t>(value.size());
    if (length < row.min || length > row.max)
        return fail(ResultCode::SettingsOutOfRange,
                    "has " + std::to_string(length) + " items, not from " + std::to_string(row.min)
                        + " to " + std::to_string(row.max),
                    row.pointer);
    std::set<std::string> seen;
    for (std::size_t i = 0; i < value.size(); i++) {
        const std::string pointer = std::string(row.pointer) + "/" + std::to_string(i);
        const SettingRow itemRow{pointer.c_str(), item, true, 0, 0, 0, "", ""};
        BOOST_OUTCOME_TRY(checkValue(itemRow, value[i]));
        if (!seen.insert(value[i].get<std::string>()).second)
            return fail(ResultCode::SettingsDuplicateAddress,
                        "'" + value[i].get<std::string>() + "' is listed twice", pointer);
    }
    return success();
}

Result<void> checkLogLevel(const SettingRow &row, const Json &value)
{
    if (!value.is_string())
        return wrongType(row, "a level in quotes");
    const auto known = [&](const char *level) { return value.get<std::string>() == level; };
    if (std::none_of(std::begin(LOG_LEVELS), std::end(LOG_LEVELS), known))
        return fail(ResultCode::SettingsOutOfRange,
                    value.dump() + " is not trace, debug, info, warn or error", row.pointer);
    return success();
}

Result<void> checkValue(const SettingRow &row, const Json &value)
{
    switch (row.kind) {
    case SettingKind::Object:
        return success();
    case SettingKind::Name:
        return checkName(row, value);
    case SettingKind::Ip:
        if (!value.is_string())
            return wrongType(row, "an IP number in quotes");
        if (!isIpAddress(value.get<std::string>()))
            return fail(ResultCode::AddressInvalid,
                        "'" + value.get<std::string>() + "' is not an IP number", row.pointer);
        return success();
    case SettingKind::Address:
        return checkAddress(row, value);
    case SettingKind::AddressList:
        return checkList(row, value, SettingKind::Address);
    case SettingKind::NameList:
        return checkList(row, value, SettingKind::Name);
    case SettingKind::Number:
        return checkNumber(row, value);
    case SettingKind::LogLevel:
        return checkLogLevel(row, value);
    }
    return success();
}

Result<void> checkDocument(const Json &document)
{
    if (!document.is_object())
        return fail(ResultCode::SettingsWrongType, "the settings must be an object", "/");
    BOOST_OUTCOME_TRY(checkKeys(document, ""));
    for (const SettingRow &row : SETTINGS_SCHEMA) {
        const Json::json_pointer pointer(row.pointer);
        const std::string parent = parentOf(row.pointer);
        if (!parent.empty() && !document.contains(Json::json_pointer(parent)))
            continue;
        if (document.contains(pointer)) {
            BOOST_OUTCOME_TRY(checkValue(row, document[pointer]));
        } else if (row.required) {
            return fail(ResultCode::SettingsMissingKey, "required", row.pointer);
        }
    }
    return success();
}

/** Reads values of a validated document; keys that are absent have their default. */
class SettingsReader
{
public:
    explicit SettingsReader(const Json &document) : m_document(document) {}

    bool has(const char *pointer) const { return m_document.contains(Json::json_pointer(pointer)); }

    std::string text(const char *pointer, const char *fallback = "") const
    {
        return has(pointer) ? m_document[Json::json_pointer(pointer)].get<std::string>() : fallback;
    }

    std::int64_t number(const char *pointer) const
    {
        const SettingRow *row = findRow(pointer);
        return has(pointer) ? m_document[Json::json_pointer(pointer)].get<std::int64_t>()
                            : row->defaultValue;
    }

    unsigned count(const char *pointer) const { return static_cast<unsigned>(number(pointer)); }
    std::uint16_t port(const char *pointer) const
    {
        return static_cast<std::uint16_t>(number(pointer));
    }
    Duration duration(const char *pointer) const { return {number(pointer)}; }

    std::vector<std::string> list(const char *pointer) const
    {
        if (!has(pointer))
            return {};
        return m_document[Json::json_pointer(pointer)].get<std::vector<std::string>>();
    }

    std::vector<Endpoint> endpoints(const char *pointer) const
    {
        std::vector<Endpoint> result;
        for (const std::string &text : list(pointer))
            result.push_back(parseEndpoint(text).value());
        return result;
    }

private:
    const Json &m_document;
};

void readPlatform(const SettingsReader &reader, PlatformSettings &platform)
{
    platform.addresses = reader.endpoints("/platform/addresses");
    platform.timeout = reader.duration("/platform/timeout_ms");
    platform.watchTimeout = reader.duration("/platform/watch_ms");
    platform.retryMin = reader.duration("/platform/retry_min_ms");
    platform.retryMax = reader.duration("/platform/retry_max_ms");
    platform.watchDirectly = reader.number("/platform/direct") != 0;
}

void readBackend(const SettingsReader &reader, BackendSettings &backend)
{
    backend.present = reader.has("/backend");
    if (!backend.present)
        return;
    backend.service = ServiceName(reader.text("/backend/service"));
    backend.address = parseEndpoint(reader.text("/backend/address")).value();
    backend.slots = reader.count("/backend/slots");
    backend.index = reader.count("/backend/index");
    backend.connections = reader.count("/backend/connections");
    backend.queue = reader.count("/backend/queue");
    backend.warmUp = reader.duration("/backend/warm_up_ms");
    backend.probeInterval = reader.duration("/backend/probe_ms");
}

void readPeer(const SettingsReader &reader, PeerSettings &peer)
{
    peer.links = reader.count("/peer/links");
    peer.linksMax = reader.count("/peer/links_max");
    peer.heartbeatInterval = reader.duration("/peer/heartbeat_ms");
    peer.silenceTimeout = reader.duration("/peer/silence_ms");
    peer.suspicionTimeout = reader.duration("/peer/suspicion_ms");
    peer.messageBytesMax = static_cast<std::size_t>(reader.number("/peer/message_bytes_max"));
    peer.messagesPerSecondMax = reader.count("/peer/messages_per_second_max");
}

Settings readSettings(const Json &document)
{
    const SettingsReader reader(document);
    Settings settings;
    settings.id = ServerId(reader.text("/id"));
    settings.region = reader.text("/region");
    settings.dataCentre = DataCentreId(reader.text("/data_centre"));
    settings.address = reader.text("/address");
    settings.ports = {reader.port("/ports/call"), reader.port("/ports/relay"),
                      reader.port("/ports/peer"), reader.port("/ports/admin")};
    readPlatform(reader, settings.platform);
    readBackend(reader, settings.backend);
    for (const std::string &name : reader.list("/calls"))
        settings.calls.emplace_back(name);
    settings.seeds = reader.endpoints("/seeds");
    readPeer(reader, settings.peer);
    settings.call.bodyBytesMax = static_cast<std::size_t>(reader.number("/call/body_bytes_max"));
    settings.call.threadsMax = reader.count("/call/threads_max");
    settings.call.patienceMax = reader.duration("/call/patience_max_ms");
    settings.drain = {reader.duration("/drain/announce_ms"), reader.duration("/drain/limit_ms")};
    settings.logLevel = reader.text("/log/level", "info");
    settings.experimentCuts = reader.number("/experiment/cuts") != 0;
    settings.timelineEvents = static_cast<std::size_t>(reader.number("/timeline/events"));
    return settings;
}

Result<void> checkAddressesDiffer(const Settings &settings)
{
    struct AddressUse
    {
        Endpoint endpoint;
        const char *pointer;
    };
    std::vector<AddressUse> uses = {{{settings.address, settings.ports.call}, "/ports/call"},
                                    {{settings.address, settings.ports.relay}, "/ports/relay"},
                                    {{settings.address, settings.ports.peer}, "/ports/peer"},
                                    {{settings.address, settings.ports.admin}, "/ports/admin"}};
    if (settings.backend.present)
        uses.push_back({settings.backend.address, "/backend/address"});
    for (const Endpoint &platform : settings.platform.addresses)
        uses.push_back({platform, "/platform/addresses"});
    for (std::size_t i = 0; i < uses.size(); i++) {
        for (std::size_t j = 0; j < i; j++) {
            if (uses[i].endpoint == uses[j].endpoint)
                return fail(ResultCode::SettingsDuplicateAddress,
                            formatEndpoint(uses[i].endpoint) + " is also " + uses[j].pointer,
                            uses[i].pointer);
        }
    }
    return success();
}

Result<void> checkRelations(const Settings &settings)
{
    if (settings.platform.retryMax < settings.platform.retryMin)
        return fail(ResultCode::SettingsOutOfRange, "must not be below /platform/retry_min_ms",
                    "/platform/retry_max_ms");
    if (settings.peer.silenceTimeout < settings.peer.heartbeatInterval * 2)
        return fail(ResultCode::SettingsOutOfRange, "must be at least twice /peer/heartbeat_ms",
                    "/peer/silence_ms");
    return checkAddressesDiffer(settings);
}

const char *kindName(SettingKind kind)
{
    static constexpr const char *NAMES[]
        = {"object",          "name",          "IP number", "IP:PORT",
           "list of IP:PORT", "list of names", "number",    "log level"};
    static_assert(std::size(NAMES) == static_cast<std::size_t>(SettingKind::LogLevel) + 1,
                  "a name for each kind");
    return NAMES[static_cast<std::size_t>(kind)];
}

} // namespace

Result<Settings> parseSettings(const std::string &text)
{
    JsonOptions options;
    options.allowComments = true;
    options.syntaxCode = ResultCode::SettingsSyntax;
    options.duplicateCode = ResultCode::SettingsDuplicateKey;
    BOOST_OUTCOME_TRY(document, parseJson(text, options));
    BOOST_OUTCOME_TRY(checkDocument(document));
    Settings settings = readSettings(document);
    BOOST_OUTCOME_TRY(checkRelations(settings));
    return settings;
}

Result<Settings> loadSettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(text, readFile(path, ResultCode::SettingsUnreadable));
    auto settings = parseSettings(text);
    if (!settings) {
        Error error = settings.error();
        error.where = error.where.empty() ? path : path + ": " + error.where;
        return boost::outcome_v2::failure(error);
    }
    return settings;
}

std::string settingsMarkdown()
{
    std::ostringstream page;
    page << "| Key | Type | Unit | Range | Default | Meaning |\n|---|---|---|---|---|---|\n";
    for (const SettingRow &row : SETTINGS_SCHEMA) {
        const bool hasRange = row.max > 0;
        page << "| `" << row.pointer << "` | " << kindName(row.kind) << " | "
             << (*row.unit == '\0' ? "–" : row.unit) << " | ";
        if (hasRange)
            page << row.min << "–" << row.max;
        else
            page << "–";
        page << " | ";
        if (row.required)
            page << "required";
        else if (row.kind == SettingKind::Number)
            page << row.defaultValue;
        else
            page << "–";
        page << " | " << row.description << " |\n";
    }
    return page.str();
}

} // namespace cornelwell
