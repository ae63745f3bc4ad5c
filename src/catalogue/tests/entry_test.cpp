/** @file entry_test.cpp Entry documents, good and bad. */
#include "catalogue/entry_func.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace cornelwell;

namespace {

constexpr const char *GOOD = R"({
    "name": "purchase-commitment", "owner": "desk", "service": "order-desk", "method": "POST",
    "path": "/commitments/*/items", "class": "critical", "patience_ms": 3000,
    "limits": { "rate_per_second": 200, "concurrency": 40, "servers": 7 }, "idempotent": false,
    "on_behalf_of": ["intake"], "provides": ["prices"], "resources": ["lots"]
})";

std::string with(const char *key, const nlohmann::json &value)
{
    nlohmann::json document = nlohmann::json::parse(GOOD);
    document[key] = value;
    return document.dump();
}

std::string without(const char *key)
{
    nlohmann::json document = nlohmann::json::parse(GOOD);
    document.erase(key);
    return document.dump();
}

struct BadEntry
{
    std::string text;
    ResultCode code;
    std::string where;
};

} // namespace

TEST_CASE("an entry survives its way through JSON", "[catalogue]")
{
    const Entry entry = parseEntry(GOOD).value();
    CHECK(entry.limits.concurrency == 40);
    CHECK(entry.requestClass == RequestClass::Critical);
    CHECK(entryToJson(entryFromJson(entryToJson(entry)).value()) == entryToJson(entry));
}

TEST_CASE("a bad entry document is refused with code and place", "[catalogue]")
{
    using C = ResultCode;
    const std::vector<BadEntry> all
        = {{"nonsense", C::EntrySyntax, "line 1"},
           {"[]", C::EntryWrongType, "/"},
           {with("colour", 1), C::EntryUnknownKey, "/colour"},
           {without("owner"), C::EntryMissingKey, "/owner"},
           {without("patience_ms"), C::EntryMissingKey, "/patience_ms"},
           {without("idempotent"), C::EntryMissingKey, "/idempotent"},
           {with("idempotent", "no"), C::EntryWrongType, "/idempotent"},
           {with("name", "A B"), C::EntryNameInvalid, "/name"},
           {with("class", "vip"), C::EntryOutOfRange, "/class"},
           {with("patience_ms", 0), C::EntryOutOfRange, "/patience_ms"},
           {with("patience_ms", 1.5), C::EntryWrongType, "/patience_ms"},
           {with("limits", 5), C::EntryWrongType, "/limits"},
           {with("limits", nlohmann::json::object()), C::EntryMissingKey, "/limits"},
           {with("limits", {{"concurrency", 5}}), C::EntryMissingKey, "/limits/servers"},
           {with("limits", {{"burst", 1}}), C::EntryUnknownKey, "/limits/burst"},
           {with("limits", {{"concurrency", 0}}), C::EntryOutOfRange, "/limits/concurrency"},
           {with("method", "FETCH"), C::EntryPatternInvalid, "/method"},
           {with("path", "commitments"), C::EntryPatternInvalid, "/path"},
           {with("path", "/a//b"), C::EntryPatternInvalid, "/path"},
           {with("path", "/a*"), C::EntryPatternInvalid, "/path"},
           {with("path", "/a?b"), C::EntryPatternInvalid, "/path"},
           {with("resources", {"a", "a"}), C::EntryNameInvalid, "/resources/1"}};
    for (const BadEntry &bad : all) {
        INFO(bad.text);
        const auto result = parseEntry(bad.text);
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().code == bad.code);
        CHECK(result.error().where == bad.where);
    }
}

TEST_CASE("a change survives its way through JSON", "[catalogue]")
{
    Change change;
    change.revision = 7;
    change.id = "abc";
    change.kind = ChangeKind::Amend;
    change.entry = parseEntry(GOOD).value();
    change.base = 3;
    change.author = "awa";
    change.vote = "v";
    CHECK(changeToJson(changeFromJson(changeToJson(change)).value()) == changeToJson(change));
    change.kind = ChangeKind::Retire;
    CHECK(changeFromJson(changeToJson(change)).value().entry.name == change.entry.name);
    CHECK_FALSE(changeFromJson(nlohmann::json{{"revision", 1}}).has_value());
}
