/** @file settings_test.cpp Good settings, and bad ones with an error each. */
#include "settings/settings_func.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace cornelwell;

namespace {

constexpr const char *GOOD = R"({
    // a comment
    "id": "thies-1-desk-1", "region": "senegal", "data_centre": "thies-1", "address": "127.1.1.1",
    "ports": { "call": 7101, "relay": 7102, "peer": 7103, "admin": 7104 },
    "platform": { "addresses": ["127.0.0.1:7000"] },
    "backend": { "service": "order-desk", "address": "127.1.1.1:8080", "slots": 9 },
    "calls": ["trace-registry"], "seeds": ["127.1.1.2:7103"]
})";

/** The good settings with one value replaced or removed. */
std::string with(const char *pointer, const nlohmann::json &value)
{
    nlohmann::json document = nlohmann::json::parse(GOOD, nullptr, true, true);
    document[nlohmann::json::json_pointer(pointer)] = value;
    return document.dump();
}

std::string without(const char *parent, const char *key)
{
    nlohmann::json document = nlohmann::json::parse(GOOD, nullptr, true, true);
    document[nlohmann::json::json_pointer(parent)].erase(key);
    return document.dump();
}

struct BadSettings
{
    std::string text;
    ResultCode code;
    std::string where;
};

std::vector<BadSettings> badSettings()
{
    using C = ResultCode;
    return {{"{", C::SettingsSyntax, "line 1"},
            {"[]", C::SettingsWrongType, "/"},
            {R"({"id":"a","id":"b"})", C::SettingsDuplicateKey, ""},
            {with("/colour", 1), C::SettingsUnknownKey, "/colour"},
            {with("/ports/calls", 1), C::SettingsUnknownKey, "/ports/calls"},
            {with("/ports", 7), C::SettingsWrongType, "/ports"},
            {with("/ports/call", "7101"), C::SettingsWrongType, "/ports/call"},
            {with("/ports/call", 70000), C::SettingsOutOfRange, "/ports/call"},
            {with("/ports/call", 7102), C::SettingsDuplicateAddress, "/ports/relay"},
            {with("/backend/address", "127.1.1.1:7104"), C::SettingsDuplicateAddress,
             "/backend/address"},
            {with("/address", "localhost"), C::AddressInvalid, "/address"},
            {with("/address", 127), C::SettingsWrongType, "/address"},
            {with("/platform/addresses", nlohmann::json::array()), C::SettingsOutOfRange,
             "/platform/addresses"},
            {with("/platform/addresses/0", "platform:7000"), C::AddressInvalid,
             "/platform/addresses/0"},
            {with("/platform/timeout_ms", 1), C::SettingsOutOfRange, "/platform/timeout_ms"},
            {with("/platform/retry_min_ms", 6000), C::SettingsOutOfRange, "/platform/retry_max_ms"},
            {with("/backend/slots", 0), C::SettingsOutOfRange, "/backend/slots"},
            {with("/backend/slots", 2.5), C::SettingsWrongType, "/backend/slots"},
            {with("/backend/address", "127.1.1.1"), C::AddressInvalid, "/backend/address"},
            {with("/id", "Thies 1"), C::SettingsNameInvalid, "/id"},
            {without("", "region"), C::SettingsMissingKey, "/region"},
            {without("/backend", "service"), C::SettingsMissingKey, "/backend/service"},
            {with("/calls", "trace-registry"), C::SettingsWrongType, "/calls"},
            {with("/calls/1", "trace-registry"), C::SettingsDuplicateAddress, "/calls/1"},
            {with("/peer", {{"heartbeat_ms", 1000}, {"silence_ms", 1500}}), C::SettingsOutOfRange,
             "/peer/silence_ms"},
            {with("/log", {{"level", "loud"}}), C::SettingsOutOfRange, "/log/level"}};
}

} // namespace

TEST_CASE("good settings are read with their defaults", "[settings]")
{
    const Settings settings = parseSettings(GOOD).value();
    CHECK(settings.id.text() == "thies-1-desk-1");
    CHECK(settings.backend.slots == 9);
    CHECK(settings.backend.connections == 120);
    CHECK(settings.platform.watch == seconds(10));
    CHECK(settings.peer.links == 3);
    CHECK(settings.seeds.size() == 1);
    CHECK_FALSE(settings.platform.direct);
}

TEST_CASE("bad settings are refused with code and place, each in its own way", "[settings]")
{
    std::set<std::string> messages;
    for (const BadSettings &bad : badSettings()) {
        INFO(bad.text);
        const auto result = parseSettings(bad.text);
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().code == bad.code);
        CHECK(result.error().where == bad.where);
        CHECK(messages.insert(result.error().where + result.error().detail).second);
    }
    CHECK(messages.size() >= 20);
}

TEST_CASE("a settings file that is not there is reported with its path", "[settings]")
{
    const auto result = loadSettings("/nonexistent/settings.json");
    CHECK(result.error().code == ResultCode::SettingsUnreadable);
    CHECK(result.error().where == "/nonexistent/settings.json");
}
