/** @file adapter_test.cpp Tests of ObjectPlatform: settings, notices, documents and objects. */
#include "platform/object_platform.h"
#include "routes/route_table.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace cornelwell;

namespace {

using Json = nlohmann::json;

const ObjectPlatform PLATFORM;

Json settings()
{
    return {
        {"self",
         {{"node-name", "vm-1"},
          {"ip", "10.1.0.3"},
          {"zone", "east"},
          {"service", "desk"},
          {"app-addr", "10.1.0.3:8147"}}},
        {"network",
         {{"listen-addrs",
           {{"outbound", "10.1.0.3:8141"},
            {"ready", "10.1.0.3:8140"},
            {"control", "10.1.0.3:8146"}}},
          {"internal-ports", {7660, 7675}}}},
        {"platform", {{"platform", {{"address", "10.2.1.7:8142"}}}}},
        {"timers", {{"bounds", {{"budget-ratio", 0.2}, {"budget-slack", 64}, {"grace-s", 6}}}}}};
}

HttpRequest put(const std::string &path, const std::string &body)
{
    HttpRequest request;
    request.method = "PUT";
    request.path = path;
    request.body = body;
    return request;
}

Json report()
{
    return {{"service", "desk"}, {"address", "10.1.0.3:8147"},
            {"zone", "east"},    {"version", "v1"},
            {"slots", 9},        {"state", "ready"},
            {"sequence", 4},     {"warmup-left-ms", 700},
            {"born", 1000}};
}

Json document()
{
    return {{"version", "0000000c"},
            {"routes",
             {{{"name", "r"},
               {"host", "h"},
               {"path-prefix", "/p/"},
               {"kind", "non_idempotent"},
               {"timeout-ms", 1500},
               {"priority", 1},
               {"max-attempts", 2},
               {"split",
                {{{"service", "desk"}, {"weight", 90}}, {{"service", "x"}, {"weight", 10}}}}}}},
            {"services", {{{"name", "desk"}, {"max-conns", 130}}, {{"name", "x"}}}},
            {"limits", {{"header-bytes", 100}, {"idle-timeout-ms", 15000}}}};
}

HttpResponse answer(int status, const Json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

Json object(const std::string &name, const Json &spec, std::uint64_t revision = 5)
{
    return {{"meta", {{"name", name}, {"revision", revision}}}, {"spec", spec}};
}

/** Reads a route document through the list of the store. */
Result<RouteDocument> readDocument(const Json &spec)
{
    const auto parsed = PLATFORM.parseRoutesRead(
        answer(200, {{"items", {object("main", spec)}}, {"store-revision", 1}}));
    return *parsed.value().document;
}

} // namespace

TEST_CASE("settings are read, and each error has a code and a place", "[adapter]")
{
    const auto parsed = PLATFORM.settings(settings().dump());
    REQUIRE(parsed);
    CHECK(parsed.value().self.linkEndpoint.port == 7660);
    CHECK(parsed.value().server.port == 8147);
    CHECK(parsed.value().grace.ms == 6000);
    CHECK_FALSE(parsed.value().pace);
    Json paced = settings();
    paced["self"]["pace"] = true;
    CHECK(PLATFORM.settings(paced.dump()).value().pace);
    const auto errorOf = [](const std::string &text) { return PLATFORM.settings(text).error(); };
    CHECK(PLATFORM.settings(paced.dump()).value().decisions == DecisionSettings());
    Json switched = settings();
    switched["decisions"] = {{"hedges", false}};
    CHECK_FALSE(PLATFORM.settings(switched.dump()).value().decisions.hedges);
    CHECK(PLATFORM.settings(switched.dump()).value().decisions.lateLast);
    switched["decisions"]["hedges"] = 0;
    CHECK(errorOf(switched.dump()).code == ResultCode::SettingsWrongType);
    CHECK(errorOf(switched.dump()).where == "/decisions/hedges");
    switched["decisions"] = {{"hegdes", false}};
    CHECK(errorOf(switched.dump()).code == ResultCode::SettingsUnknownKey);
    CHECK(errorOf(switched.dump()).where == "/decisions");
    switched["decisions"] = true;
    CHECK(errorOf(switched.dump()).code == ResultCode::SettingsWrongType);
    CHECK(errorOf("{").code == ResultCode::SettingsSyntax);
    Json bad = settings();
    bad["self"].erase("zone");
    CHECK(errorOf(bad.dump()).code == ResultCode::SettingsMissingKey);
    CHECK(errorOf(bad.dump()).where == "/self/zone");
    bad = settings();
    bad["self"]["app-addr"] = 7;
    CHECK(errorOf(bad.dump()).code == ResultCode::SettingsWrongType);
    bad = settings();
    bad["self"]["pace"] = "on";
    CHECK(errorOf(bad.dump()).code == ResultCode::SettingsWrongType);
    bad = settings();
    bad["platform"]["platform"]["address"] = "store.example:80";
    CHECK(errorOf(bad.dump()).code == ResultCode::AddressInvalid);
    bad = settings();
    bad["network"].erase("internal-ports");
    CHECK(errorOf(bad.dump()).code == ResultCode::SettingsMissingKey);
}

TEST_CASE("reports and deregistrations are read, and malformed notices are refused", "[adapter]")
{
    const std::string path = "/api/instances/i-7";
    const auto parsed = PLATFORM.parseServerNotice(put(path, report().dump()));
    REQUIRE(parsed);
    CHECK(parsed.value().report.instance == "i-7");
    CHECK(parsed.value().report.warmUpLeft.ms == 700);
    CHECK(parsed.value().report.startTimeMs == 1000);
    HttpRequest deregistration;
    deregistration.method = "DELETE";
    deregistration.path = path;
    CHECK(PLATFORM.parseServerNotice(deregistration).value().isDeregistration);
    for (const char *key : {"service", "address", "zone", "version", "slots", "state", "sequence",
                            "warmup-left-ms", "born"}) {
        Json bad = report();
        bad.erase(key);
        // A server of an earlier platform names no start.
        CHECK(PLATFORM.parseServerNotice(put(path, bad.dump())).has_value()
              == (key == std::string("born")));
        bad[key] = Json::array();
        CHECK_FALSE(PLATFORM.parseServerNotice(put(path, bad.dump())));
    }
    Json unknownState = report();
    unknownState["state"] = "resting";
    CHECK_FALSE(PLATFORM.parseServerNotice(put(path, unknownState.dump())));
    CHECK_FALSE(PLATFORM.parseServerNotice(put(path, "\x80\xff")));
    CHECK_FALSE(PLATFORM.parseServerNotice(put(path, std::string(5000, ' '))));
    for (const std::string &instance :
         {std::string(), std::string("\xff"), std::string("a b"), std::string(257, 'a')}) {
        CHECK_FALSE(PLATFORM.parseServerNotice(put("/api/instances/" + instance, report().dump())));
        deregistration.path = "/api/instances/" + instance;
        CHECK_FALSE(PLATFORM.parseServerNotice(deregistration));
    }
    deregistration.path = path;
    for (const char *odd : {"\x80\xff", "7", "[]", R"({"born":"1"})", R"({"born":-1})"}) {
        deregistration.body = odd;
        CHECK_FALSE(PLATFORM.parseServerNotice(deregistration));
    }
    deregistration.body = R"({"born":1000})";
    CHECK(PLATFORM.parseServerNotice(deregistration).value().report.startTimeMs == 1000);
}

TEST_CASE("the newest route document is read from lists and watches", "[adapter]")
{
    const auto parsed = PLATFORM.parseRoutesRead(
        answer(200, {{"items", {object("main", document())}}, {"store-revision", 77}}));
    REQUIRE(parsed);
    CHECK(parsed.value().storeRevision == 77);
    const RouteDocument routes = parsed.value().document->value();
    CHECK(routes.version == 12);
    CHECK_FALSE(routes.routes.at(0).idempotent);
    CHECK(routes.routes.at(0).split.at(1).weight == 10);
    CHECK(routes.limits.headerBytes == 100);

    Json later = document();
    later["version"] = "0000000d";
    const Json events = {{{"object", object("main", later, 9)}, {"deleted", false}},
                         {{"object", object("main", document(), 8)}, {"deleted", false}},
                         {{"object", object("other", 1, 10)}, {"deleted", false}}};
    const auto watched
        = PLATFORM.parseRoutesWatch(answer(200, {{"events", events}, {"store-revision", 80}}));
    REQUIRE(watched);
    CHECK(watched.value().document->value().version == 13);
    CHECK_FALSE(
        PLATFORM.parseRoutesWatch(answer(200, {{"events", Json::array()}, {"store-revision", 80}}))
            .value()
            .document);
    CHECK(PLATFORM.parseRoutesWatch(answer(410, {})).error().code
          == ResultCode::PlatformHistoryGone);
    CHECK_FALSE(PLATFORM.parseRoutesRead(answer(200, {{"items", 3}})));
    for (const char *key : {"version", "routes", "services"}) {
        Json bad = document();
        bad.erase(key);
        const auto faulty = PLATFORM.parseRoutesRead(
            answer(200, {{"items", {object("main", bad)}}, {"store-revision", 1}}));
        CHECK_FALSE(*faulty.value().document);
    }
}

TEST_CASE("the era of the store is read from its answers", "[adapter]")
{
    HttpResponse response;
    CHECK(PLATFORM.storeEra(response) == 0);
    response.headers.add("Store-Era", "12");
    CHECK(PLATFORM.storeEra(response) == 12);
    HttpResponse garbled;
    garbled.headers.add("Store-Era", "12x");
    CHECK(PLATFORM.storeEra(garbled) == 0);
}

TEST_CASE("a kind says what may be repeated; an unknown kind may not be", "[adapter]")
{
    const auto routeOfKind = [](const Json &kind) {
        Json value = document();
        value["routes"][0]["kind"] = kind;
        return readDocument(value).value().routes.at(0);
    };
    CHECK(routeOfKind("idempotent").idempotent);
    CHECK(routeOfKind("download").idempotent);
    CHECK(routeOfKind("download").reading == RouteReading::Whole);
    CHECK_FALSE(routeOfKind("upload").idempotent);
    CHECK(routeOfKind("upload").reading == RouteReading::Whole);
    CHECK_FALSE(routeOfKind("non_idempotent").idempotent);
    CHECK(routeOfKind("non_idempotent").reading == RouteReading::Whole);
    for (const Json &kind : {Json("sometimes"), Json(""), Json(7), Json(nullptr), Json::object()}) {
        const Route route = routeOfKind(kind);
        CHECK_FALSE(route.idempotent);
        CHECK(route.reading == RouteReading::KindUnknown);
        CHECK(route.split.size() == 2);
        CHECK(route.timeout.ms == 1500);
    }
}

TEST_CASE("a route that is not understood keeps its place and stops no other route", "[adapter]")
{
    Json sound = document()["routes"][0];
    sound["name"] = "sound";
    sound["path-prefix"] = "/sound/";
    const std::vector<Json> replacements = {Json(nullptr),
                                            Json(-1),
                                            Json(1e300),
                                            Json(""),
                                            Json("x"),
                                            Json(true),
                                            Json::array(),
                                            Json::object(),
                                            Json(UINT64_MAX),
                                            Json(INT64_MIN),
                                            Json::array({Json::array({1, {}})}),
                                            Json(std::string(100000, 'a'))};
    const auto check = [&](const Json &mutated, const std::string &key) {
        INFO(key << " in " << mutated.dump().substr(0, 300));
        Json value = document();
        value["routes"] = {mutated, sound};
        auto read = readDocument(value);
        if (!read) {
            // Without host or prefix its requests would fall to other routes: all is refused.
            CHECK((key == "host" || key == "path-prefix"));
            CHECK(read.error().where == "/routes/0");
            return;
        }
        const Route first = read.value().routes.at(0);
        const auto built = RouteTable::build(read.value());
        if (!built) {
            CHECK((built.error().code == ResultCode::RouteInvalid
                   || built.error().code == ResultCode::RouteDanglingService));
            return;
        }
        const RouteTable &table = *built.value();
        REQUIRE(table.match("h", "/sound/1") != nullptr);
        CHECK(table.match("h", "/sound/1")->reading == RouteReading::Whole);
        CHECK(table.match("h", "/sound/1")->timeout.ms == 1500);
        if (first.host == "h" && first.prefix == "/p/") {
            REQUIRE(table.match("h", "/p/1") != nullptr);
            CHECK(table.match("h", "/p/1")->prefix == "/p/");
        }
        // Nothing that was not understood makes a route's requests repeatable.
        CHECK_FALSE(table.match("h", "/sound/1")->idempotent);
        CHECK_FALSE(first.idempotent);
    };
    const Json whole = document()["routes"][0];
    for (const auto &[key, unused] : whole.items()) {
        Json dropped = whole;
        dropped.erase(key);
        check(dropped, key);
        for (const Json &replacement : replacements) {
            Json retyped = whole;
            retyped[key] = replacement;
            check(retyped, key);
        }
    }
    Json extended = whole;
    extended["a-field-of-tomorrow"] = Json::array({1, 2, 3});
    check(extended, "a-field-of-tomorrow");
    Json nested = Json::array();
    for (int depth = 0; depth < 500; depth++)
        nested = Json::array({nested});
    extended["a-field-of-tomorrow"] = nested;
    check(extended, "a-field-of-tomorrow");
}

TEST_CASE("daemons are announced and listed as objects of the store", "[adapter]")
{
    const DaemonRecord self{
        ServerId("vm-1"), DataCentreId("east"), {"10.1.0.3", 7660}, ServiceName("desk"), 99};
    const HttpRequest create = PLATFORM.announceRequest(self, 0);
    CHECK(create.method == "POST");
    const Json body = Json::parse(create.body);
    CHECK(PLATFORM.parseAnnounceResponse(answer(200, body)).value().written);
    const auto taken = PLATFORM.parseAnnounceResponse(answer(409, object("vm-1", body["spec"], 6)));
    REQUIRE(taken.value().stored);
    CHECK(taken.value().stored->record.linkEndpoint == self.linkEndpoint);
    CHECK(taken.value().stored->revision == 6);
    CHECK(PLATFORM.announceRequest(self, 6).method == "PUT");
    CHECK_FALSE(PLATFORM.parseAnnounceResponse(answer(404, {})).value().written);
    const auto page = PLATFORM.parseDaemonList(answer(
        200, {{"items", {object("vm-1", body["spec"]), object("zz", "odd")}}, {"has-more", true}}));
    REQUIRE(page);
    CHECK(page.value().daemons.size() == 1);
    CHECK(page.value().more);
    CHECK(page.value().last == "zz");
    // An entry that names another daemon than its object must not move that daemon.
    for (const char *key : {"daemon", "data_centre", "link", "service"}) {
        Json bad = body["spec"];
        bad[key] = key == std::string("daemon") ? Json("vm-2") : Json(7);
        CHECK(PLATFORM.parseDaemonList(answer(200, {{"items", {object("vm-1", bad)}}}))
                  .value()
                  .daemons.empty());
        bad.erase(key);
        CHECK(PLATFORM.parseDaemonList(answer(200, {{"items", {object("vm-1", bad)}}}))
                  .value()
                  .daemons.empty());
    }
}

// Guards against tenants that are read as others than the operator meant, or not at all.
TEST_CASE("tenants and public routes are read, and without tenants nothing is", "[adapter]")
{
    Json spec = document();
    spec["routes"][0]["public"] = "odd";
    CHECK_FALSE(readDocument(spec).value().tenants);
    spec["routes"][0]["public"] = true;
    spec["tenants"] = Json::array();
    CHECK(readDocument(spec).value().tenants->empty());
    spec["tenants"] = {
        {{"name", "a"}, {"api-keys", {"k1", "k2"}}, {"priority", 2}, {"per-s", 40.0}, {"burst", 7}},
        {{"name", "b"}}};
    const auto read = readDocument(spec).value();
    CHECK(read.routes[0].isPublic);
    CHECK(*read.tenants == std::vector<Tenant>{{"a", {"k1", "k2"}, 2, 40, 7}, {"b", {}}});
    spec["routes"][0]["kind"] = "upload";
    CHECK(readDocument(spec).value().routes[0].reading == RouteReading::Whole);
    CHECK_FALSE(readDocument(spec).value().routes[0].idempotent);
}

// Guards against a version in force with a part of its tenants, and against keys in errors.
TEST_CASE("a document with a faulty tenant is refused whole, with the place but no key",
          "[adapter]")
{
    const auto errorOf = [](const Json &tenant) {
        Json spec = document();
        spec["tenants"] = {{{"name", "a"}, {"api-keys", {"k1"}}}, tenant};
        const auto read = readDocument(spec);
        const Error error = read ? RouteTable::build(read.value()).error() : read.error();
        CHECK(error.code == ResultCode::RouteTenantInvalid);
        CHECK(error.detail.find("secret") == std::string::npos);
        return error.where;
    };
    const auto with = [](const char *member, const Json &value) {
        Json tenant = {{"name", "b"}, {"api-keys", {"secret"}}};
        tenant[member] = value;
        return tenant;
    };
    CHECK(errorOf("secret") == "/tenants/1");
    CHECK(errorOf(with("api-keys", {"k1"})) == "/tenants/1");
    CHECK(errorOf(with("api-keys", "secret")) == "/tenants/1/api-keys");
    CHECK(errorOf(with("api-keys", {"secret", 7})) == "/tenants/1/api-keys/1");
    CHECK(errorOf({{"api-keys", {"secret"}}}) == "/tenants/1");
    CHECK(errorOf(with("name", "")) == "/tenants/1");
    CHECK(errorOf(with("name", 5)) == "/tenants/1/name");
    CHECK(errorOf(with("per-s", -1)) == "/tenants/1/per-s");
    CHECK(errorOf(with("per-s", 2.5)) == "/tenants/1/per-s");
    CHECK(errorOf(with("per-s", "secret")) == "/tenants/1/per-s");
    CHECK(errorOf(with("burst", -0.5)) == "/tenants/1/burst");
    CHECK(errorOf(with("burst", 1e12)) == "/tenants/1/burst");
    CHECK(errorOf(with("priority", -2)) == "/tenants/1/priority");
    Json spec = document();
    spec["tenants"] = {{"name", "a"}};
    CHECK(readDocument(spec).error().where == "/tenants");
    spec["tenants"] = Json::array();
    spec["routes"][0]["public"] = "yes";
    CHECK(readDocument(spec).error().where == "/routes/0/public");
}

TEST_CASE("the bound of revocations is off unless the settings ask for it", "[adapter]")
{
    Json given = settings();
    CHECK_FALSE(PLATFORM.settings(given.dump()).value().revocation.strict);
    CHECK(PLATFORM.settings(given.dump()).value().revocation.bound.ms == 5000);
    given["timers"]["bounds"]["strict-revoke"] = true;
    given["timers"]["bounds"]["revoke-ms"] = 4000;
    CHECK(PLATFORM.settings(given.dump()).value().revocation.strict);
    CHECK(PLATFORM.settings(given.dump()).value().revocation.bound.ms == 4000);
    given["timers"]["bounds"]["strict-revoke"] = "yes";
    CHECK(PLATFORM.settings(given.dump()).error().where == "/timers/bounds/strict-revoke");
}

namespace {

Json rolloutSpec()
{
    return {{"service", "desk"}, {"target-version", "v2"}, {"ramp-s", 12.5}};
}

} // namespace

// Guards against orders that are misread, and against one bad object that stops the others.
TEST_CASE("orders of roll-outs are read, and a malformed one stops no other", "[adapter]")
{
    Json active = object("desk", rolloutSpec(), 7);
    active["status"] = {{"state", "active"},
                        {"target-version", "v2"},
                        {"stage", 3},
                        {"elapsed-ms", 4000},
                        {"baseline", {"v1", 7}}};
    Json earlier = active;
    earlier["meta"]["name"] = "other";
    earlier["status"]["target-version"] = "v1";
    earlier["status"]["state"] = "completed";
    Json items = {active, earlier, {{"spec", 1}}, 7};
    for (const char *key : {"service", "target-version", "ramp-s"}) {
        for (const Json &value : {Json(), Json(-1), Json(""), Json::array(), Json::object()}) {
            Json spec = rolloutSpec();
            spec[key] = value;
            items.push_back(object("bad", spec));
        }
        Json spec = rolloutSpec();
        spec.erase(key);
        items.push_back(object("bad", spec));
    }
    const auto list
        = PLATFORM.parseRolloutList(answer(200, {{"items", items}, {"store-revision", 9}}));
    REQUIRE(list);
    CHECK(list.value().storeRevision == 9);
    CHECK_FALSE(list.value().more);
    const std::vector<StoredRollout> &objects = list.value().objects;
    const RolloutOrder order = objects.at(0).order.value();
    CHECK(order.service.text() == "desk");
    CHECK(order.revision == 7);
    CHECK(order.ramp.ms == 12500);
    CHECK(order.phase == RolloutPhase::Active);
    CHECK(order.stage == 3);
    CHECK(order.elapsed.ms == 4000);
    CHECK(order.baseline == std::vector<std::string>{"v1"});
    // A status of another target version is of an earlier order.
    CHECK(objects.at(1).order.value().phase == RolloutPhase::None);
    CHECK(objects.at(1).order.value().stage == 0);
    CHECK(objects.at(2).name.empty());
    CHECK(objects.size() == items.size());
    for (std::size_t i = 4; i < objects.size(); i++)
        CHECK(objects[i].order.error().code == ResultCode::RolloutInvalid);

    const Json events
        = {{{"object", active}, {"deleted", false}}, {{"object", earlier}, {"deleted", true}}, 3};
    const auto watched
        = PLATFORM.parseRolloutWatch(answer(200, {{"events", events}, {"store-revision", 10}}));
    REQUIRE(watched);
    CHECK_FALSE(watched.value().objects.at(0).deleted);
    CHECK(watched.value().objects.at(1).deleted);
    CHECK(PLATFORM.parseRolloutWatch(answer(410, {})).error().code
          == ResultCode::PlatformHistoryGone);
    CHECK(PLATFORM.watchRolloutsRequest(9, {1000}).path
          == "/api/objects/rollouts?watch=9&wait-ms=1000");
    CHECK(PLATFORM.parseRolloutList(answer(404, {})).value().objects.empty());
}

TEST_CASE("a status is written under the condition of the object's revision", "[adapter]")
{
    RolloutOrder order;
    order.name = "desk";
    order.revision = 7;
    order.target = "v2";
    order.phase = RolloutPhase::RolledBack;
    const HttpRequest request = PLATFORM.writeRolloutRequest(order);
    CHECK(request.method == "PUT");
    CHECK(request.path == "/api/objects/rollouts/desk/status");
    const Json body = Json::parse(request.body);
    CHECK(body["meta"]["revision"] == 7);
    CHECK(body["status"]["state"] == "rolled_back");
    CHECK(body["status"]["target-version"] == "v2");
    Json now = object("desk", rolloutSpec(), 8);
    now["status"] = {{"state", "completed"}, {"target-version", "v2"}};
    const auto conflict = PLATFORM.parseRolloutWrite(answer(409, now));
    CHECK_FALSE(conflict.value().written);
    CHECK(conflict.value().order->phase == RolloutPhase::Completed);
    CHECK(PLATFORM.parseRolloutWrite(answer(200, now)).value().written);
    CHECK(PLATFORM.parseRolloutWrite(answer(404, {})).value().missing);
    CHECK_FALSE(PLATFORM.parseRolloutWrite(answer(500, {})));
    CHECK_FALSE(PLATFORM.parseRolloutWrite(answer(409, {})));
}

TEST_CASE("roll-outs are off unless the settings list them; a server names its version",
          "[adapter]")
{
    CHECK_FALSE(PLATFORM.settings(settings().dump()).value().rollouts);
    Json listed = settings();
    listed["timers"]["contracts"] = {"budget", "rollout"};
    CHECK(PLATFORM.settings(listed.dump()).value().rollouts);
    const std::string path = "/api/instances/i-7";
    CHECK(PLATFORM.parseServerNotice(put(path, report().dump())).value().report.version == "v1");
    Json versioned = report();
    versioned["version"] = "v2";
    CHECK(PLATFORM.parseServerNotice(put(path, versioned.dump())).value().report.version == "v2");
}

TEST_CASE("departures are written to the status of the daemon's object and read from it",
          "[adapter]")
{
    const ServerId daemon("vm");
    CHECK(PLATFORM.readDeparturesRequest(daemon).path == "/api/objects/cornelwell-daemons/vm");
    const HttpRequest write = PLATFORM.writeDeparturesRequest(daemon, {7, {{"i\xff", 10}}});
    CHECK(write.method == "PUT");
    CHECK(write.path == "/api/objects/cornelwell-daemons/vm/status");
    CHECK(Json::parse(write.body)["meta"]["revision"] == 7);
    HttpResponse response;
    response.status = 200;
    const auto body = [](const std::string &name, const std::string &left) {
        return R"({"meta":{"name":"vm","revision":8},"spec":{"daemon":")" + name
               + R"("},"status":{"left":)" + left + "}}";
    };
    response.body
        = body("vm", R"([{"server":"a","start":10},{"server":7},5,{"server":"b","start":-1}])");
    const auto read = PLATFORM.parseDeparturesRead(response, daemon);
    REQUIRE(read);
    CHECK(read.value().revision == 8);
    CHECK(read.value().departures == Departures{{"a", 10}});
    CHECK(read.value().faults.size() == 3);
    const auto answer = PLATFORM.parseDeparturesWrite(response, daemon);
    REQUIRE(answer);
    CHECK(answer.value().written);
    response.status = 409;
    CHECK_FALSE(PLATFORM.parseDeparturesWrite(response, daemon).value().written);
    // The answer to the announcement has them too, whether it found the object or made it.
    CHECK(PLATFORM.parseAnnouncedDepartures(response, daemon)->departures == Departures{{"a", 10}});
    response.status = 404;
    CHECK_FALSE(PLATFORM.parseAnnouncedDepartures(response, daemon));
    CHECK(PLATFORM.parseDeparturesRead(response, daemon).value().revision == 0);
    CHECK(PLATFORM.parseDeparturesWrite(response, daemon).value().stored.revision == 0);
    // An object that another writer has left under the daemon's name tells no departures.
    response.status = 200;
    for (const std::string &odd :
         {body("other", R"([{"server":"a","start":10}])"), body("vm", R"({"server":"a"})")}) {
        response.body = odd;
        const auto foreign = PLATFORM.parseDeparturesRead(response, daemon);
        REQUIRE(foreign);
        CHECK(foreign.value().departures.empty());
        CHECK(foreign.value().revision == 8);
        CHECK(foreign.value().faults.size() == 1);
    }
}
