/** @file tenant_path_test.cpp Keys on the whole path of a request through one daemon. */
#include "node/http_service.h"
#include "node/proxy_node.h"
#include "platform/object_platform.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace cornelwell;

namespace {

using Json = nlohmann::json;

constexpr const char *KEY = "k-secret-1";
constexpr const char *SERVER_IP = "127.0.0.2"; ///< Calls from here are those of the local server.
const ObjectPlatform PLATFORM;

/** Writes the log lines, which go to standard output, to a file. */
class LogCapture
{
public:
    LogCapture() : m_path("/tmp/cornelwell-tenants-" + std::to_string(::getpid()))
    {
        std::fflush(stdout);
        m_saved = ::dup(STDOUT_FILENO);
        const int file = ::open(m_path.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600);
        ::dup2(file, STDOUT_FILENO);
        ::close(file);
    }
    ~LogCapture() { stop(); }
    std::string stop()
    {
        if (m_saved < 0)
            return {};
        std::fflush(stdout);
        ::dup2(m_saved, STDOUT_FILENO);
        ::close(m_saved);
        m_saved = -1;
        std::stringstream text;
        text << std::ifstream(m_path).rdbuf();
        std::remove(m_path.c_str());
        // What is no log line is a report of the test itself.
        for (std::string line; std::getline(text, line);) {
            if (line.empty() || line.front() != '{')
                std::printf("%s\n", line.c_str());
        }
        return text.str();
    }

private:
    std::string m_path;
    int m_saved = -1;
};

/** A peer whose server runs service `far`; it records the calls that it is offered. */
class FarDaemon : public PeerLinksListener
{
public:
    FarDaemon(EventLoop &loop, std::uint16_t port)
        : record{ServerId("far"), DataCentreId("east"), {"127.0.0.1", port}, ServiceName("far"), 1}
        , m_loop(loop)
        , m_table(record, PeerOptions())
        , m_bulk(loop, OutputSchedulerOptions())
        , m_links(loop, m_table, *this, PeerLinkOptions(), m_bulk)
    {
        REQUIRE(m_links.listen());
        tick();
    }

    LinkDaemonState linkState() const override
    {
        LinkDaemonState state;
        state.name = record.name;
        state.incarnation = 1;
        state.load.instance = "i-far";
        state.load.startTimeMs = 1;
        state.load.service = ServiceName("far");
        state.load.state = HostState::Ready;
        state.load.slots = 4;
        state.version = version;
        state.storeAge = seconds(1000);
        return state;
    }
    Revision routesVersion() const override { return 0; }
    void linkInputReceived(std::size_t) override {}
    void linkUp(const ServerId &, bool) override {}
    void linkDown(const ServerId &) override {}
    void senderLost(const ServerId &, std::uint64_t) override {}
    void peerReplaced(const ServerId &) override {}
    void peerAnnounced(const DaemonRecord &) override {}
    void restrictionsTold(const ServerId &, const ServerRestrictions &) override {}
    void handlePeerAnswer(const ServerId &, LinkMessage) override {}
    void handlePeerRequest(const DaemonRecord &peer, LinkMessage message) override
    {
        const auto *call = std::get_if<LinkCall>(&message);
        if (call == nullptr)
            return;
        calls++;
        tenant = call->tenant;
        callBytes += encodeLinkMessage(message);
        LinkResult result;
        result.offer = call->offer;
        result.load = linkState().load;
        result.outcome.state = refuses ? RunState::NotRun : RunState::Answered;
        result.outcome.reason = refuses ? HostReason::Busier : HostReason::None;
        m_loop.after(resultDelay, [this, peer, result] {
            m_links.sendResult(peer.name, peer.incarnation, result);
        });
    }

    const DaemonRecord record;
    Revision version = 0;
    bool refuses = false;    ///< Refuses calls as not run.
    Duration resultDelay{0}; ///< Time until the result of a call.
    unsigned calls = 0;
    std::string callBytes; ///< Calls as they are encoded.
    std::string tenant;

private:
    void tick()
    {
        m_links.tick();
        m_loop.after({100}, [this] { tick(); });
    }

    EventLoop &m_loop;
    PeerTable m_table;
    BulkWriter m_bulk;
    PeerLinks m_links;
};

/** A daemon with its local server, a store and a peer on the loopback address. */
class Site
{
public:
    Site(std::uint16_t port, bool strict) : m_port(port), far(loop, port + 8)
    {
        m_store = listen({"127.0.0.1", at(5)}, [this](const HttpRequest &r) { return store(r); });
        m_server = listen({SERVER_IP, at(6)}, [this](const HttpRequest &r) { return serve(r); });
        Json settings
            = {{"self",
                {{"node-name", "vm"},
                 {"ip", "127.0.0.1"},
                 {"zone", "east"},
                 {"service", "near"},
                 {"app-addr", std::string(SERVER_IP) + ":" + std::to_string(at(6))}}},
               {"network",
                {{"listen-addrs",
                  {{"outbound", local(2)}, {"ready", local(3)}, {"control", local(4)}}},
                 {"internal-ports", {at(0)}}}},
               {"platform", {{"platform", {{"address", local(5)}}}}},
               {"timers", {{"bounds", {{"strict-revoke", strict}, {"revoke-ms", 2500}}}}}};
        NodeSettings parsed = PLATFORM.settings(settings.dump()).value();
        parsed.self.incarnation = 1;
        node = std::make_unique<ProxyNode>(loop, PLATFORM, parsed, "/nonexistent");
        REQUIRE(node->start());
        const Json report = {{"service", "near"}, {"address", serverAddress()},
                             {"zone", "east"},    {"version", "v1"},
                             {"slots", 4},        {"state", "ready"},
                             {"sequence", 1},     {"warmup-left-ms", 0},
                             {"born", 1}};
        HttpRequest put;
        put.method = "PUT";
        put.path = "/api/instances/i1";
        put.body = report.dump();
        CHECK(send(at(4), SERVER_IP, put) == 200);
    }

    void publish(unsigned version, const std::vector<std::string> &keys)
    {
        const auto route = [](const char *name, const char *service, bool isPublic) {
            return Json{{"name", name},
                        {"host", "h"},
                        {"path-prefix", std::string("/") + name + "/"},
                        {"kind", "idempotent"},
                        {"timeout-ms", 2500},
                        {"service", service},
                        {"public", isPublic},
                        {"max-attempts", 2}};
        };
        document = {{"version", std::to_string(version)},
                    {"routes",
                     {route("near", "near", false), route("far", "far", false),
                      route("open", "near", true)}},
                    {"services", {{{"name", "near"}}, {{"name", "far"}}}},
                    {"tenants", {{{"name", "acme"}, {"api-keys", keys}, {"priority", 1}}}}};
        revision++;
    }

    /** @return the status of a caller's request with these keys, and a forged tenant. */
    int ask(const std::string &path, const std::vector<std::string> &keys,
            const std::string &fromIp = {})
    {
        HttpRequest request;
        request.path = path;
        request.headers.add("Host", "h");
        request.headers.add("Cornelwell-Try-Id", "t" + std::to_string(++m_lastId));
        request.headers.add("cornelwell-tenant", "forged");
        request.headers.add("CORNELWELL-TENANT", "forged");
        for (std::size_t i = 0; i < keys.size(); i++)
            request.headers.add(i % 2 == 0 ? "Cornelwell-Credential" : "cornelwell-CREDENTIAL",
                                keys[i]);
        return send(at(2), fromIp, request);
    }

    /** Asks until the status comes. @return the last status. */
    int askUntil(int status, const std::string &path, const std::vector<std::string> &keys,
                 const std::string &fromIp = {})
    {
        int last = 0;
        for (int i = 0; i < 80 && last != status; i++) {
            last = ask(path, keys, fromIp);
            if (last != status)
                pause({50});
        }
        return last;
    }

    void pause(Duration time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    EventLoop loop;
    Json document;
    unsigned revision = 1;
    bool storeDown = false;
    std::string served; ///< Header fields of the last request that the server got.
    std::string seen;   ///< All that left the daemon: answers to callers, requests to the server.
    std::unique_ptr<ProxyNode> node;

private:
    std::uint16_t at(int offset) const { return static_cast<std::uint16_t>(m_port + offset); }
    std::string local(int offset) const { return "127.0.0.1:" + std::to_string(at(offset)); }
    std::string serverAddress() const
    {
        return std::string(SERVER_IP) + ":" + std::to_string(at(6));
    }

    std::unique_ptr<HttpService> listen(const Endpoint &address, HttpService::Handler handler)
    {
        auto service = HttpService::listen(loop, address, std::move(handler));
        REQUIRE(service);
        return std::move(service.value());
    }

    int send(std::uint16_t port, const std::string &fromIp, const HttpRequest &request)
    {
        StoreClient client(loop, {"127.0.0.1", port}, fromIp);
        int status = 0;
        client.call(request, seconds(3), [&](const Result<HttpResponse> &response) {
            status = 599;
            if (response) {
                status = response.value().status;
                seen += response.value().body;
                for (const HttpHeader &field : response.value().headers.fields())
                    seen += field.name + ": " + field.value + "\n";
            } else if (response.error().detail.find("503") != std::string::npos) {
                status = 503;
            }
            loop.stop();
        });
        loop.run();
        return status;
    }

    HttpResponse serve(const HttpRequest &request)
    {
        served.clear();
        for (const HttpHeader &field : request.headers.fields())
            served += field.name + ": " + field.value + "\n";
        seen += served;
        HttpResponse response;
        response.headers.add("Cornelwell-Try-Id",
                             std::string(request.headers.get("Cornelwell-Try-Id")));
        response.headers.add("Cornelwell-Server-Seal", "s");
        return response;
    }

    /** Watches are refused, so that the daemon polls with reads. */
    HttpResponse store(const HttpRequest &request)
    {
        HttpResponse response;
        const auto has
            = [&](const char *text) { return request.path.find(text) != std::string::npos; };
        if (storeDown || has("watch=")) {
            response.status = 503;
            return response;
        }
        Json items = Json::array();
        if (request.method == "POST") {
            response.status = 201;
        } else if (has("/config")) {
            if (!document.is_null())
                items.push_back(
                    {{"meta", {{"name", "main"}, {"revision", revision}}}, {"spec", document}});
        } else {
            items.push_back({{"meta", {{"name", "far"}, {"revision", 1}}},
                             {"spec",
                              {{"daemon", "far"},
                               {"data_centre", "east"},
                               {"link", local(8)},
                               {"service", "far"}}}});
        }
        response.body = Json{{"items", items}, {"store-revision", revision}}.dump();
        return response;
    }

    std::uint16_t m_port;
    unsigned m_lastId = 0;
    std::unique_ptr<HttpService> m_store;
    std::unique_ptr<HttpService> m_server;

public:
    FarDaemon far;
};

} // namespace

// Guards against a key that leaves the daemon, a forged tenant, and requests without a key.
TEST_CASE("a key is checked, stays in the daemon, and gives the server the tenant", "[tenants]")
{
    LogCapture log;
    Site site(27410, false);
    CHECK(site.ask("/near/x", {KEY}) == 503); // No configuration is no reason for 401.
    site.publish(1, {KEY});
    CHECK(site.askUntil(200, "/near/x", {KEY, KEY}) == 200);
    CHECK(site.served.find("Cornelwell-Tenant: acme\n") != std::string::npos);
    CHECK(site.served.find("forged") == std::string::npos);
    CHECK(site.ask("/near/x", {"k-secret-0"}) == 401);
    CHECK(site.ask("/near/x", {}) == 401);
    for (const bool isPublic : {true, false}) {
        CHECK((isPublic ? site.ask("/open/x", {KEY}) : site.ask("/near/x", {}, SERVER_IP)) == 200);
        CHECK(site.served.find("enant: ") == std::string::npos);
        CHECK(site.served.find("forged") == std::string::npos);
    }
    // Callers of the VM may share the local server's address; a key tells them apart.
    CHECK(site.ask("/near/x", {KEY}, SERVER_IP) == 200);
    CHECK(site.served.find("Cornelwell-Tenant: acme\n") != std::string::npos);
    CHECK(site.ask("/near/x", {"k-secret-0"}, SERVER_IP) == 401);
    CHECK(site.askUntil(200, "/far/x", {KEY}) == 200);
    CHECK(site.far.tenant == "acme");
    CHECK(site.far.callBytes.find("forged") == std::string::npos);

    // A key is checked again before a further offer: the first one is refused as not run.
    site.far.refuses = true;
    site.far.resultDelay = Duration{1200};
    const unsigned callsBefore = site.far.calls;
    site.publish(2, {"k-secret-2"});
    CHECK(site.ask("/far/x", {KEY}) == 401);
    CHECK(site.far.calls == callsBefore + 1);
    CHECK(site.ask("/near/x", {KEY}) == 401);
    CHECK(site.askUntil(200, "/near/x", {"k-secret-2"}) == 200);
    CHECK(site.ask("/open/x", {KEY}) == 200);

    // A peer has a newer version, which may know the key.
    site.storeDown = true;
    site.far.version = 99;
    CHECK(site.askUntil(503, "/near/x", {"k-secret-3"}) == 503);
    CHECK(site.ask("/near/x", {"k-secret-2"}) == 200);

    site.node.reset(); // Writes the remaining lines.
    const std::string lines = log.stop();
    CHECK(lines.find("credential_refused") != std::string::npos);
    CHECK(lines.find("\"tenant\":\"acme\"") != std::string::npos);
    CHECK(lines.find("k-secret") == std::string::npos);
    CHECK(site.seen.find("k-secret") == std::string::npos);
    CHECK(site.far.callBytes.find("k-secret") == std::string::npos);
}

// Guards against revoked keys on a daemon that is cut off, and against refusing what needs no key.
TEST_CASE("with a bound, keys are refused while the version is not confirmed", "[tenants]")
{
    LogCapture log;
    Site site(27430, true);
    site.publish(1, {KEY});
    CHECK(site.askUntil(200, "/near/x", {KEY}) == 200);
    site.storeDown = true;
    site.pause({1900});
    CHECK(site.ask("/near/x", {KEY}) == 503);
    CHECK(site.ask("/near/x", {"k-secret-0"}) == 503);
    CHECK(site.ask("/open/x", {}) == 200);
    CHECK(site.ask("/near/x", {}, SERVER_IP) == 200);
    site.storeDown = false;
    CHECK(site.askUntil(200, "/near/x", {KEY}) == 200);
    site.node.reset();
    CHECK(log.stop().find("version_unconfirmed") != std::string::npos);
}
