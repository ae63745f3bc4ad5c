/** @file settings_test.cpp Valid settings, and the error of each kind of invalid ones. */
#include "settings/settings_func.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace cornelwell;

namespace {

constexpr const char *VALID = R"({
    // a comment
    "id": "thies-1-desk-1", "region": "senegal", "data_centre": "thies-1", "address": "127.1.1.1",
    "ports": { "call": 7101, "relay": 7102, "peer": 7103, "admin": 7104 },
    "platform": { "addresses": ["127.0.0.1:7000"] },
    "backend": { "service": "order-desk", "address": "127.1.1.1:8080", "slots": 9 },
    "calls": ["trace-registry"], "seeds": ["127.1.1.2:7103"]
})";

/** @return the valid settings with one value added or replaced. */
std::string withValue(const char *pointer, const nlohmann::json &value)
{
    nlohmann::json document = nlohmann::json::parse(VALID, nullptr, true, true);
    document[nlohmann::json::json_pointer(pointer)] = value;
    return document.dump();
}

/** @return the valid settings without one key. */
std::string withoutKey(const char *parent, const char *key)
{
    nlohmann::json document = nlohmann::json::parse(VALID, nullptr, true, true);
    document[nlohmann::json::json_pointer(parent)].erase(key);
    return document.dump();
}

struct InvalidSettings
{
    std::string text;
    ResultCode code;
    std::string where;
};

std::vector<InvalidSettings> invalidSettings()
{
    using C = ResultCode;
    return {{"{", C::SettingsSyntax, "line 1"},
            {"[]", C::SettingsWrongType, "/"},
            {R"({"id":"a","id":"b"})", C::SettingsDuplicateKey, ""},
            {withValue("/colour", 1), C::SettingsUnknownKey, "/colour"},
            {withValue("/ports/calls", 1), C::SettingsUnknownKey, "/ports/calls"},
            {withValue("/ports", 7), C::SettingsWrongType, "/ports"},
            {withValue("/ports/call", "7101"), C::SettingsWrongType, "/ports/call"},
            {withValue("/ports/call", 70000), C::SettingsOutOfRange, "/ports/call"},
            {withValue("/ports/call", 7102), C::SettingsDuplicateAddress, "/ports/relay"},
            {withValue("/backend/address", "127.1.1.1:7104"), C::SettingsDuplicateAddress,
             "/backend/address"},
            {withValue("/address", "localhost"), C::AddressInvalid, "/address"},
            {withValue("/address", 127), C::SettingsWrongType, "/address"},
            {withValue("/platform/addresses", nlohmann::json::array()), C::SettingsOutOfRange,
             "/platform/addresses"},
            {withValue("/platform/addresses/0", "platform:7000"), C::AddressInvalid,
             "/platform/addresses/0"},
            {withValue("/platform/timeout_ms", 1), C::SettingsOutOfRange, "/platform/timeout_ms"},
            {withValue("/platform/retry_min_ms", 6000), C::SettingsOutOfRange,
             "/platform/retry_max_ms"},
            {withValue("/backend/slots", 0), C::SettingsOutOfRange, "/backend/slots"},
            {withValue("/backend/slots", 2.5), C::SettingsWrongType, "/backend/slots"},
            {withValue("/backend/address", "127.1.1.1"), C::AddressInvalid, "/backend/address"},
            {withValue("/id", "Thies 1"), C::SettingsNameInvalid, "/id"},
            {withoutKey("", "region"), C::SettingsMissingKey, "/region"},
            {withoutKey("/backend", "service"), C::SettingsMissingKey, "/backend/service"},
            {withValue("/calls", "trace-registry"), C::SettingsWrongType, "/calls"},
            {withValue("/calls/1", "trace-registry"), C::SettingsDuplicateAddress, "/calls/1"},
            {withValue("/peer", {{"heartbeat_ms", 1000}, {"silence_ms", 1500}}),
             C::SettingsOutOfRange, "/peer/silence_ms"},
            {withValue("/log", {{"level", "loud"}}), C::SettingsOutOfRange, "/log/level"}};
}

} // namespace

TEST_CASE("valid settings are read with their defaults", "[settings]")
{
    const Settings settings = parseSettings(VALID).value();
    CHECK(settings.id.text() == "thies-1-desk-1");
    CHECK(settings.backend.slots == 9);
    CHECK(settings.backend.connections == 120);
    // A change has to be in force within 3 s though the platform has lost the watches.
    CHECK(settings.platform.watchTimeout + settings.platform.timeout <= milliseconds(2500));
    CHECK(settings.platform.watchTimeout == milliseconds(1500));
    CHECK(settings.peer.links == 3);
    CHECK(settings.seeds.size() == 1);
    CHECK_FALSE(settings.platform.watchDirectly);
}

TEST_CASE("each kind of invalid settings is rejected with its own code, place and text",
          "[settings]")
{
    std::set<std::string> messages;
    for (const InvalidSettings &invalid : invalidSettings()) {
        INFO(invalid.text);
        const auto result = parseSettings(invalid.text);
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().code == invalid.code);
        CHECK(result.error().where == invalid.where);
        CHECK(messages.insert(result.error().where + result.error().detail).second);
    }
    CHECK(messages.size() >= 20);
}

TEST_CASE("a missing settings file is reported with its path", "[settings]")
{
    const auto result = loadSettings("/nonexistent/settings.json");
    CHECK(result.error().code == ResultCode::SettingsUnreadable);
    CHECK(result.error().where == "/nonexistent/settings.json");
}
