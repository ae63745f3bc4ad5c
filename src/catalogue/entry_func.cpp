/** @file entry_func.cpp Reads, checks and writes entries. */
#include "catalogue/entry_func.h"

#include "base/json_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr std::size_t ENTRY_BYTES_MAX = 64 * 1024; ///< Longest entry document.
constexpr std::size_t LIST_MAX = 64;               ///< Longest list in an entry.
constexpr std::size_t PATH_LENGTH_MAX = 256;       ///< Longest path pattern.
constexpr std::int64_t PATIENCE_MIN_MS = 1;        ///< Shortest patience.
constexpr std::int64_t PATIENCE_MAX_MS = 600000;   ///< Longest patience.
constexpr std::int64_t RATE_MAX = 10000000;        ///< Greatest voted rate per second.
constexpr std::int64_t CONCURRENCY_MAX = 1000000;  ///< Greatest voted concurrency.
constexpr std::int64_t SERVERS_MAX = 10000;        ///< Greatest number of servers of a service.

/** Names and weights of the request classes. */
struct ClassRow
{
    const char *name;
    unsigned weight;
};

constexpr ClassRow CLASSES[]
    = {{"background", 1}, {"normal", 2}, {"interactive", 4}, {"critical", 8}};
static_assert(std::size(CLASSES) == REQUEST_CLASS_COUNT, "a row for each class");

constexpr const char *CHANGE_KINDS[] = {"propose", "amend", "retire"};
static_assert(std::size(CHANGE_KINDS) == static_cast<std::size_t>(ChangeKind::Count),
              "a name for each kind");

constexpr const char *METHODS[] = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};

constexpr const char *ENTRY_KEYS[]
    = {"name",        "owner",  "service",    "method",       "path",     "class",
       "patience_ms", "limits", "idempotent", "on_behalf_of", "provides", "resources"};

constexpr const char *LIMIT_KEYS[] = {"rate_per_second", "concurrency", "servers"};

template<std::size_t N>
Result<void> checkKeys(const Json &object, const char *const (&keys)[N], const std::string &prefix)
{
    for (const auto &item : object.items()) {
        const auto known = [&](const char *key) { return item.key() == key; };
        if (std::none_of(std::begin(keys), std::end(keys), known))
            return fail(ResultCode::EntryUnknownKey, "unknown key '" + item.key() + "'",
                        prefix + "/" + item.key());
    }
    return success();
}

Result<std::string> readText(const Json &object, const char *key)
{
    const std::string pointer = std::string("/") + key;
    if (!object.contains(key))
        return fail(ResultCode::EntryMissingKey, "required", pointer);
    if (!object[key].is_string())
        return fail(ResultCode::EntryWrongType, "must be a text", pointer);
    return object[key].get<std::string>();
}

Result<std::string> readName(const Json &object, const char *key)
{
    BOOST_OUTCOME_TRY(text, readText(object, key));
    if (!isPlainName(text))
        return fail(ResultCode::EntryNameInvalid,
                    "'" + text + "' is not 1 to 64 of a-z, 0-9, '-', '_' and '.'",
                    std::string("/") + key);
    return text;
}

Result<std::int64_t> readNumber(const Json &object, const char *key, std::int64_t min,
                                std::int64_t max, const std::string &pointer)
{
    const Json &value = object[key];
    if (!value.is_number_integer())
        return fail(ResultCode::EntryWrongType, "must be a whole number", pointer);
    const bool huge = value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX;
    const std::int64_t number = huge ? INT64_MAX : value.get<std::int64_t>();
    if (number < min || number > max)
        return fail(ResultCode::EntryOutOfRange,
                    value.dump() + " is not from " + std::to_string(min) + " to "
                        + std::to_string(max),
                    pointer);
    return number;
}

template<typename Name>
Result<std::vector<Name>> readNames(const Json &object, const char *key)
{
    std::vector<Name> names;
    if (!object.contains(key))
        return names;
    const std::string pointer = std::string("/") + key;
    if (!object[key].is_array())
        return fail(ResultCode::EntryWrongType, "must be a list of names", pointer);
    if (object[key].size() > LIST_MAX)
        return fail(ResultCode::EntryOutOfRange,
                    "has more than " + std::to_string(LIST_MAX) + " names", pointer);
    std::set<std::string> seen;
    for (const Json &item : object[key]) {
        const std::string place = pointer + "/" + std::to_string(names.size());
        if (!item.is_string())
            return fail(ResultCode::EntryWrongType, "must be a name", place);
        const auto text = item.get<std::string>();
        if (!isPlainName(text) || !seen.insert(text).second)
            return fail(ResultCode::EntryNameInvalid,
                        "'" + text + "' is not a name, or stands twice", place);
        names.emplace_back(text);
    }
    return names;
}

Result<RequestClass> readClass(const Json &object)
{
    BOOST_OUTCOME_TRY(text, readText(object, "class"));
    for (std::size_t i = 0; i < std::size(CLASSES); i++) {
        if (text == CLASSES[i].name)
            return static_cast<RequestClass>(i);
    }
    return fail(ResultCode::EntryOutOfRange,
                "'" + text + "' is not background, normal, interactive or critical", "/class");
}

Result<VotedLimits> readLimits(const Json &object)
{
    VotedLimits limits;
    if (!object.contains("limits"))
        return limits;
    const Json &value = object["limits"];
    if (!value.is_object())
        return fail(ResultCode::EntryWrongType, "must be an object", "/limits");
    BOOST_OUTCOME_TRY(checkKeys(value, LIMIT_KEYS, "/limits"));
    if (value.contains("rate_per_second")) {
        BOOST_OUTCOME_TRY(
            rate, readNumber(value, "rate_per_second", 1, RATE_MAX, "/limits/rate_per_second"));
        limits.ratePerSecond = static_cast<std::uint32_t>(rate);
    }
    if (value.contains("concurrency")) {
        BOOST_OUTCOME_TRY(
            most, readNumber(value, "concurrency", 1, CONCURRENCY_MAX, "/limits/concurrency"));
        limits.concurrency = static_cast<std::uint32_t>(most);
    }
    if (limits.ratePerSecond == 0 && limits.concurrency == 0)
        return fail(ResultCode::EntryMissingKey, "give rate_per_second or concurrency", "/limits");
    if (!value.contains("servers"))
        return fail(ResultCode::EntryMissingKey,
                    "required: the servers among which the limits are split", "/limits/servers");
    BOOST_OUTCOME_TRY(servers, readNumber(value, "servers", 1, SERVERS_MAX, "/limits/servers"));
    limits.servers = static_cast<std::uint32_t>(servers);
    return limits;
}

Result<std::string> readMethod(const Json &object)
{
    BOOST_OUTCOME_TRY(method, readText(object, "method"));
    const auto known = [&](const char *name) { return method == name; };
    if (std::none_of(std::begin(METHODS), std::end(METHODS), known))
        return fail(ResultCode::EntryPatternInvalid,
                    "'" + method + "' is not GET, HEAD, POST, PUT, PATCH or DELETE", "/method");
    return method;
}

bool isPathCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0
           || std::string("/-_.~*").find(c) != std::string::npos;
}

Result<std::string> readPath(const Json &object)
{
    BOOST_OUTCOME_TRY(path, readText(object, "path"));
    const auto bad = [&](const std::string &why) {
        return fail(ResultCode::EntryPatternInvalid, "'" + path + "' " + why, "/path");
    };
    if (path.empty() || path.front() != '/' || path.size() > PATH_LENGTH_MAX)
        return bad("does not begin with '/' or is longer than " + std::to_string(PATH_LENGTH_MAX));
    if (!std::all_of(path.begin(), path.end(), isPathCharacter))
        return bad("has characters that a pattern may not have");
    if (path.size() > 1 && path.back() == '/')
        return bad("ends with '/'");
    if (path.find("//") != std::string::npos)
        return bad("has an empty segment");
    std::size_t at = 0;
    while ((at = path.find('*', at)) != std::string::npos) {
        const bool whole = path[at - 1] == '/' && (at + 1 == path.size() || path[at + 1] == '/');
        if (!whole)
            return bad("has a '*' that is not a whole segment");
        at++;
    }
    return path;
}

template<typename Name>
Json namesToJson(const std::vector<Name> &names)
{
    Json list = Json::array();
    for (const Name &name : names)
        list.push_back(name.text());
    return list;
}

Result<ChangeKind> changeKindFromName(const std::string &name)
{
    for (std::size_t i = 0; i < std::size(CHANGE_KINDS); i++) {
        if (name == CHANGE_KINDS[i])
            return static_cast<ChangeKind>(i);
    }
    return fail(ResultCode::CatalogueFormat, "unknown change '" + name + "'");
}

} // namespace

const char *requestClassName(RequestClass requestClass)
{
    return CLASSES[static_cast<std::size_t>(requestClass)].name;
}

unsigned requestClassWeight(RequestClass requestClass)
{
    return CLASSES[static_cast<std::size_t>(requestClass)].weight;
}

const char *changeKindName(ChangeKind kind)
{
    return CHANGE_KINDS[static_cast<std::size_t>(kind)];
}

Result<Entry> parseEntry(const std::string &text)
{
    JsonOptions options;
    options.allowComments = true;
    options.bytesMax = ENTRY_BYTES_MAX;
    options.syntaxCode = ResultCode::EntrySyntax;
    options.duplicateCode = ResultCode::EntrySyntax;
    BOOST_OUTCOME_TRY(document, parseJson(text, options));
    return entryFromJson(document);
}

Result<Entry> entryFromJson(const Json &object)
{
    if (!object.is_object())
        return fail(ResultCode::EntryWrongType, "an entry must be an object", "/");
    BOOST_OUTCOME_TRY(checkKeys(object, ENTRY_KEYS, ""));
    Entry entry;
    BOOST_OUTCOME_TRY(name, readName(object, "name"));
    BOOST_OUTCOME_TRY(ownerValue, readName(object, "owner"));
    entry.owner = std::move(ownerValue);
    BOOST_OUTCOME_TRY(service, readName(object, "service"));
    BOOST_OUTCOME_TRY(methodValue, readMethod(object));
    entry.method = std::move(methodValue);
    BOOST_OUTCOME_TRY(pathValue, readPath(object));
    entry.path = std::move(pathValue);
    BOOST_OUTCOME_TRY(requestClassValue, readClass(object));
    entry.requestClass = requestClassValue;
    if (!object.contains("patience_ms"))
        return fail(ResultCode::EntryMissingKey, "required", "/patience_ms");
    BOOST_OUTCOME_TRY(patience, readNumber(object, "patience_ms", PATIENCE_MIN_MS, PATIENCE_MAX_MS,
                                           "/patience_ms"));
    BOOST_OUTCOME_TRY(limitsValue, readLimits(object));
    entry.limits = limitsValue;
    if (!object.contains("idempotent"))
        return fail(ResultCode::EntryMissingKey, "required", "/idempotent");
    if (!object["idempotent"].is_boolean())
        return fail(ResultCode::EntryWrongType, "must be true or false", "/idempotent");
    BOOST_OUTCOME_TRY(onBehalfOfValue, readNames<ServiceName>(object, "on_behalf_of"));
    entry.onBehalfOf = std::move(onBehalfOfValue);
    BOOST_OUTCOME_TRY(providesValue, readNames<ResourceName>(object, "provides"));
    entry.provides = std::move(providesValue);
    BOOST_OUTCOME_TRY(resourcesValue, readNames<ResourceName>(object, "resources"));
    entry.resources = std::move(resourcesValue);
    entry.name = EntryName(name);
    entry.service = ServiceName(service);
    entry.patience = {patience};
    entry.idempotent = object["idempotent"].get<bool>();
    return entry;
}

Json entryToJson(const Entry &entry)
{
    Json object = {{"name", entry.name.text()},
                   {"owner", entry.owner},
                   {"service", entry.service.text()},
                   {"method", entry.method},
                   {"path", entry.path},
                   {"class", requestClassName(entry.requestClass)},
                   {"patience_ms", entry.patience.ms},
                   {"idempotent", entry.idempotent}};
    if (entry.limits.ratePerSecond != 0)
        object["limits"]["rate_per_second"] = entry.limits.ratePerSecond;
    if (entry.limits.servers != 0)
        object["limits"]["servers"] = entry.limits.servers;
    if (entry.limits.concurrency != 0)
        object["limits"]["concurrency"] = entry.limits.concurrency;
    if (!entry.onBehalfOf.empty())
        object["on_behalf_of"] = namesToJson(entry.onBehalfOf);
    if (!entry.provides.empty())
        object["provides"] = namesToJson(entry.provides);
    if (!entry.resources.empty())
        object["resources"] = namesToJson(entry.resources);
    return object;
}

Result<Change> changeFromJson(const Json &object)
{
    try {
        Change change;
        change.revision = object.at("revision").get<Revision>();
        change.id = object.at("id").get<std::string>();
        BOOST_OUTCOME_TRY(kindValue, changeKindFromName(object.at("kind").get<std::string>()));
        change.kind = kindValue;
        change.base = object.at("base").get<Revision>();
        change.author = object.at("author").get<std::string>();
        change.vote = object.at("vote").get<std::string>();
        change.acceptedAt = {object.at("accepted_at_ms").get<std::int64_t>()};
        if (change.kind == ChangeKind::Retire) {
            change.entry.name = EntryName(object.at("name").get<std::string>());
            return change;
        }
        BOOST_OUTCOME_TRY(entryValue, entryFromJson(object.at("entry")));
        change.entry = std::move(entryValue);
        return change;
    } catch (const Json::exception &error) {
        return fail(ResultCode::CatalogueFormat, error.what());
    }
}

Json changeToJson(const Change &change)
{
    Json object = {{"revision", change.revision},
                   {"id", change.id},
                   {"kind", changeKindName(change.kind)},
                   {"base", change.base},
                   {"author", change.author},
                   {"vote", change.vote},
                   {"accepted_at_ms", change.acceptedAt.ms}};
    if (change.kind == ChangeKind::Retire)
        object["name"] = change.entry.name.text();
    else
        object["entry"] = entryToJson(change.entry);
    return object;
}

Result<EntryInForce> entryInForceFromJson(const Json &object)
{
    try {
        EntryInForce inForce;
        BOOST_OUTCOME_TRY(entryValue, entryFromJson(object.at("entry")));
        inForce.entry = std::move(entryValue);
        inForce.revision = object.at("revision").get<Revision>();
        inForce.author = object.at("author").get<std::string>();
        inForce.vote = object.at("vote").get<std::string>();
        return inForce;
    } catch (const Json::exception &error) {
        return fail(ResultCode::CatalogueFormat, error.what());
    }
}

Json entryInForceToJson(const EntryInForce &inForce)
{
    return {{"entry", entryToJson(inForce.entry)},
            {"revision", inForce.revision},
            {"author", inForce.author},
            {"vote", inForce.vote}};
}

} // namespace cornelwell
