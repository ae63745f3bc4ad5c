/** @file call_path_test.cpp The call path of two daemons on loopback against a backend server that
 * misbehaves. */
#include "fake_store.h"
#include "manual_clock.h"
#include "proxy/call_func.h"
#include "proxy/call_handlers.h"
#include "raw_server.h"
#include "sample_entries.h"

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <thread>

using namespace cornelwell;

namespace {

constexpr const char *BACKEND_IP = "127.9.9.2";
constexpr Duration PATIENCE = seconds(30); ///< Long, for machines that are slow.
constexpr std::uint16_t RELAY_PORT = 18102;

/** What the backend server does with a request. */
enum class Behaviour
{
    Answer,
    Shed,
    BreakAfterRun,
    Hang
};

/** A backend server that counts its runs. */
class ScriptedBackend final : public HttpHandler
{
public:
    std::atomic<Behaviour> behaviour{Behaviour::Answer};
    std::atomic<int> runs{0};
    std::atomic<bool> release{false};
    std::mutex mutex;
    std::string seenChain;

    HttpResponse handle(const HttpRequest &request, int callerSocket) override
    {
        HttpResponse response;
        if (behaviour == Behaviour::Shed) {
            response.status = 503;
            response.headers.add(header::NOT_RUN, "1");
            return response;
        }
        runs++;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            seenChain = std::string(request.headers.get(header::CHAIN));
        }
        if (behaviour == Behaviour::BreakAfterRun)
            ::shutdown(callerSocket, SHUT_RDWR);
        while (behaviour == Behaviour::Hang && !release)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        response.body = "ran " + request.body;
        return response;
    }
};

/** The call path of one daemon. */
struct Path
{
    Path(const std::string &name, const std::string &ip, FakeStore &platform, bool hasBackend,
         std::uint16_t backendPort)
        : store(platform)
    {
        settings.id = identity.server = ServerId(name);
        settings.address = ip;
        settings.call.patienceMax = seconds(60);
        identity.incarnation = 1;
        identity.relay = {ip, RELAY_PORT};
        settings.backend.present = hasBackend;
        settings.backend.service = hasBackend ? ServiceName("order-desk") : ServiceName();
        settings.backend.address = {BACKEND_IP, backendPort};
        settings.backend.slots = 4;
        settings.backend.index = 1;
        settings.backend.connections = 8;
        settings.backend.queue = 4;
        receiver = std::make_unique<CallReceiver>(settings.backend, 1 << 20, identity, registry,
                                                  store, clock);
        receiver->setBackendUp(true);
        const SenderParts parts{view,     *receiver, identity, metrics,
                                timeline, store,     nullptr,  clock};
        sender = std::make_unique<CallSender>(parts, 8, 1 << 20);
        edge = std::make_unique<EdgeHandler>(parts, *sender, registry, settings);
        relay = std::make_unique<RelayHandler>(parts, *receiver);
        HttpServerOptions options;
        auto started = HttpServer::start(identity.relay, *relay, options);
        REQUIRE(started.has_value());
        relayServer = std::move(started.value());
    }

    HttpResponse call(const std::string &key = "k", const std::string &body = "b",
                      const std::string &path = "/commit")
    {
        HttpRequest request;
        request.method = "POST";
        request.path = path;
        request.body = body;
        if (!key.empty())
            request.headers.add(header::KEY, key);
        return edge->handle(request, -1);
    }

    Settings settings;
    SystemClock clock;
    FakeStore &store;
    Metrics metrics;
    Timeline timeline{{ServerId("t"), DataCentreId("dc"), 1}, 100, clock};
    SharedView view{RoutingOptions()};
    ReceiverIdentity identity;
    CallRegistry registry;
    std::unique_ptr<CallReceiver> receiver;
    std::unique_ptr<CallSender> sender;
    std::unique_ptr<EdgeHandler> edge;
    std::unique_ptr<RelayHandler> relay;
    std::unique_ptr<HttpServer> relayServer;
};

/** An edge daemon, two servers, one backend server behind both. */
struct Setup
{
    explicit Setup(std::uint16_t port)
        : backendServer(HttpServer::start({BACKEND_IP, port}, backend, HttpServerOptions()).value())
        , edge("edge", "127.9.9.3", platform, false, port)
        , first("first", "127.9.9.4", platform, true, port)
        , second("second", "127.9.9.5", platform, true, port)
    {
        Entry commit = sampleCommitment("commit");
        Entry look = sampleCommitment("look");
        look.idempotent = true;
        Entry inner = sampleCommitment("inner");
        inner.idempotent = true;
        inner.onBehalfOf = {ServiceName("order-desk")};
        Entry limited = sampleCommitment("limited");
        limited.idempotent = true;
        limited.limits.ratePerSecond = 4;
        limited.limits.servers = 2;
        std::vector<Change> changes;
        for (Entry entry : {commit, look, inner, limited}) {
            entry.patience = PATIENCE;
            changes.push_back(sampleChange(ChangeKind::Propose, entry));
            changes.back().revision = changes.size();
        }
        const ConfigurationPtr version = Configuration::empty()->after(changes).value();
        for (Path *path : {&edge, &first, &second})
            path->view.setConfiguration(version);
        second.settings.backend.index = 2;
        useServers({&first, &second});
    }

    void useServers(const std::vector<Path *> &paths)
    {
        ServiceTargets targets;
        targets.service = ServiceName("order-desk");
        for (const Path *path : paths) {
            Target target;
            target.id = path->identity.server;
            target.relay = path->identity.relay;
            target.slots = 4;
            targets.targets.push_back(target);
        }
        edge.view.setTargets({targets});
    }

    FakeStore platform;
    ScriptedBackend backend;
    std::unique_ptr<HttpServer> backendServer;
    Path edge;
    Path first;
    Path second;
};

std::string outcome(const HttpResponse &response)
{
    return std::string(response.headers.get(header::OUTCOME));
}

std::string code(const HttpResponse &response)
{
    return std::string(response.headers.get(header::CODE));
}

} // namespace

TEST_CASE("a keyed request runs once; its repeats through any server get the first answer",
          "[proxy][threaded]")
{
    Setup setup(18201);
    CHECK(setup.edge.call().body == "ran b");
    for (int i = 0; i < 6; i++)
        CHECK(setup.edge.call().body == "ran b");
    setup.useServers({&setup.second});
    CHECK(setup.edge.call().body == "ran b");
    setup.useServers({&setup.first});
    CHECK(setup.edge.call().body == "ran b");
    CHECK(setup.backend.runs == 1);
    CHECK(code(setup.edge.call("k", "another body")) == "514");
    CHECK(code(setup.edge.call("")) == "512");
    CHECK(setup.backend.runs == 1);
}

TEST_CASE("a keyed request whose answer was lost is unknown and never runs again",
          "[proxy][threaded]")
{
    Setup setup(18202);
    setup.backend.behaviour = Behaviour::BreakAfterRun;
    CHECK(outcome(setup.edge.call()) == "unknown");
    setup.backend.behaviour = Behaviour::Answer;
    for (int i = 0; i < 5; i++)
        CHECK(outcome(setup.edge.call()) == "unknown");
    CHECK(setup.backend.runs == 1);
}

// Guards against a status of 000 that is passed on, or after which a request runs twice.
TEST_CASE("after an answer with a status of 000 a keyed request is unknown and never runs again",
          "[proxy][threaded]")
{
    Setup setup(18211);
    setup.backendServer.reset();
    const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::atomic<int> requests{0};
    std::atomic<bool> isSound{false};
    RawServer server(
        [&](int connection) {
            if (!readRequest(connection))
                return;
            requests++;
            writeText(connection, isSound
                                      ? inner
                                      : "HTTP/1.1 000 Odd\r\nContent-Length: "
                                            + std::to_string(inner.size()) + "\r\n\r\n" + inner);
        },
        BACKEND_IP, 18211);
    const HttpResponse response = setup.edge.call();
    CHECK(outcome(response) == "unknown");
    CHECK(response.status >= 500);
    CHECK(response.body.find("ok") == std::string::npos);
    CHECK(requests == 1);
    // What may run again is tried elsewhere and gets no such answer either.
    CHECK(outcome(setup.edge.call("", "b", "/look")) == "unknown");
    isSound = true;
    CHECK(setup.edge.call("", "b", "/look").body == "ok");
    const int before = requests;
    for (int i = 0; i < 5; i++)
        CHECK(outcome(setup.edge.call()) == "unknown");
    CHECK(requests == before);
}

TEST_CASE("when the claim's holder is gone a repeat is unknown, not a second run",
          "[proxy][threaded]")
{
    Setup setup(18203);
    setup.useServers({&setup.first});
    setup.edge.call();
    setup.first.relayServer.reset();
    setup.useServers({&setup.second});
    CHECK(outcome(setup.edge.call()) == "unknown");
    CHECK(setup.backend.runs == 1);
}

TEST_CASE("a shed keyed request was not run and may run later, here or elsewhere",
          "[proxy][threaded]")
{
    Setup setup(18204);
    setup.backend.behaviour = Behaviour::Shed;
    CHECK(outcome(setup.edge.call()) == "not-run");
    setup.backend.behaviour = Behaviour::Answer;
    setup.useServers({&setup.second});
    CHECK(setup.edge.call().body == "ran b");
    CHECK(setup.backend.runs == 1);
}

TEST_CASE("without the platform a keyed request is not run, and nothing false is said",
          "[proxy][threaded]")
{
    Setup setup(18205);
    setup.platform.faults = {StoreFault::NotExecuted, StoreFault::NotExecuted};
    CHECK(outcome(setup.edge.call()) == "unknown");
    CHECK(setup.backend.runs == 0);
    CHECK(setup.edge.call().body == "ran b");
    setup.platform.faults = {StoreFault::Lost, StoreFault::NotExecuted, StoreFault::NotExecuted};
    CHECK(outcome(setup.edge.call("k2")) == "unknown");
    CHECK(setup.edge.call("k2").body == "ran b");
    CHECK(setup.backend.runs == 2);
}

TEST_CASE("a refused repeat of a request that ran is not said to be not run", "[proxy][threaded]")
{
    Setup setup(18206);
    setup.useServers({&setup.first});
    setup.edge.call();
    setup.second.receiver->refuseNewCalls();
    setup.useServers({&setup.second});
    const HttpResponse repeat = setup.edge.call();
    CHECK(outcome(repeat) == "answered");
    CHECK(repeat.body == "ran b");
    CHECK(outcome(setup.edge.call("never seen")) == "not-run");
    CHECK(setup.backend.runs == 1);
}

TEST_CASE("a keyed request under way is said to be in progress", "[proxy][threaded]")
{
    Setup setup(18207);
    setup.useServers({&setup.first});
    setup.backend.behaviour = Behaviour::Hang;
    std::thread firstCaller([&] { CHECK(setup.edge.call().body == "ran b"); });
    while (setup.backend.runs == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    CHECK(code(setup.edge.call()) == "513");
    setup.backend.release = true;
    firstCaller.join();
    CHECK(setup.backend.runs == 1);
}

TEST_CASE("an idempotent request goes to another server when one is gone", "[proxy][threaded]")
{
    Setup setup(18208);
    setup.first.relayServer.reset();
    for (int i = 0; i < 6; i++)
        CHECK(setup.edge.call("", "b", "/look").body == "ran b");
}

TEST_CASE("only calls on behalf of the named services pass, and tokens prove them",
          "[proxy][threaded]")
{
    Setup setup(18209);
    CHECK(code(setup.edge.call("", "b", "/inner")) == "505");
    HttpRequest forged;
    forged.method = "POST";
    forged.path = "/inner";
    forged.headers.add(header::CHAIN, "order-desk");
    forged.headers.add(header::CALL, "guess");
    CHECK(setup.edge.edge->handle(forged, -1).status == 403);
    CallContext context;
    context.id = "chain-1";
    context.deadline = setup.first.clock.now() + seconds(5);
    setup.first.registry.add("token-1", context);
    setup.first.view.setTargets({{ServiceName("order-desk"), {[&] {
                                      Target target;
                                      target.id = setup.second.identity.server;
                                      target.relay = setup.second.identity.relay;
                                      return target;
                                  }()}}});
    HttpRequest nested = forged;
    nested.headers = HttpHeaders();
    nested.headers.add(header::CALL, "token-1");
    CHECK(setup.first.edge->handle(nested, -1).status == 200);
    CHECK(setup.backend.seenChain == "order-desk");
}

TEST_CASE("a voted rate holds over both servers, and the advice says when to come back",
          "[proxy][threaded]")
{
    Setup setup(18210);
    int answered = 0;
    const TimePoint begun = setup.edge.clock.now();
    for (int i = 0; i < 30; i++) {
        const HttpResponse response = setup.edge.call("", "b", "/limited");
        answered += response.status == 200 ? 1 : 0;
        if (response.status != 200)
            CHECK(response.headers.has(header::RETRY_AFTER));
    }
    const auto windows = 1 + (setup.edge.clock.now() - begun).ms / 1000;
    CHECK(answered <= 4 * windows);
    CHECK(setup.backend.runs == answered);
}

TEST_CASE("headers of the connection and of the system do not pass", "[proxy]")
{
    HttpHeaders headers;
    headers.add("cornelwell-outcome", "answered");
    headers.add("Connection", "close");
    headers.add("Content-Length", "5");
    headers.add("Accept", "text/plain");
    const HttpHeaders passed = passedHeaders(headers);
    REQUIRE(passed.fields().size() == 1);
    CHECK(passed.get("accept") == "text/plain");
}

TEST_CASE("answers that are no daemon's leave the outcome open", "[proxy]")
{
    HttpOutcome outcome;
    outcome.response.status = 200;
    CHECK(parseRelayResponse(outcome).attempt.state == RunState::Unknown);
    outcome.response.headers.add(header::OUTCOME, "maybe");
    CHECK(parseRelayResponse(outcome).attempt.state == RunState::Unknown);
    CHECK_FALSE(parseLoad("1/x"));
    CHECK_FALSE(parseMilliseconds("-5"));
    CHECK(parseChain("a,b,c").size() == 3);
}
