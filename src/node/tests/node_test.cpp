/** @file node_test.cpp Response classification, recognition of retries, settings, links to reused
 * addresses. */
#include "log/decision_log.h"
#include "manual_clock.h"
#include "node/caller_session.h"
#include "node/paced_output.h"
#include "node/peer_links.h"
#include "node/recent_failures.h"
#include "node/server_connection_pool.h"
#include "node/settings_change.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace cornelwell;

namespace {

const CallFields FIELDS = {"Id",          "Deadline", "Instance", "Not-Run",    "Seal",  "Caller",
                           "Retry-After", "Limit",    "Leaving",  "Credential", "Tenant"};

HttpResponse makeResponse(int status, const std::string &id, bool signature)
{
    HttpResponse response;
    response.status = status;
    if (!id.empty())
        response.headers.add("Id", id);
    if (signature)
        response.headers.add("Seal", "s");
    return response;
}

/** Counts the events of links. */
class Listener : public PeerLinksListener
{
public:
    explicit Listener(std::string name) : m_name(std::move(name)) {}

    LinkDaemonState linkState() const override
    {
        LinkDaemonState state;
        state.name = ServerId(m_name);
        state.incarnation = 1;
        return state;
    }
    Revision routesVersion() const override { return 0; }
    void linkUp(const ServerId &, bool) override { ups++; }
    void linkDown(const ServerId &) override { downs++; }
    void senderLost(const ServerId &, std::uint64_t) override { lost++; }
    void peerReplaced(const ServerId &peer) override { replaced = peer.text(); }
    void peerAnnounced(const DaemonRecord &) override {}
    void restrictionsTold(const ServerId &, const ServerRestrictions &restrictions) override
    {
        told = restrictions;
    }
    void handlePeerAnswer(const ServerId &, LinkMessage message) override
    {
        if (auto *result = std::get_if<LinkResult>(&message))
            results.push_back(std::move(*result));
        if (std::holds_alternative<LinkDaemonState>(message))
            states++;
    }
    void handlePeerRequest(const DaemonRecord &, LinkMessage) override {}
    void linkInputReceived(std::size_t) override {}

    int ups = 0;
    int downs = 0;
    int lost = 0;
    int states = 0;
    std::string replaced;
    ServerRestrictions told;
    std::vector<LinkResult> results;

private:
    std::string m_name;
};

/** Runs the loop until the condition holds, at most 20 s. */
void runUntil(EventLoop &loop, const std::function<bool()> &done)
{
    if (done())
        return;
    int checksLeft = 2000;
    std::function<void()> check = [&] {
        if (done() || --checksLeft == 0)
            loop.stop();
        else
            loop.after({10}, check);
    };
    check();
    loop.run();
}

DaemonRecord record(const std::string &name, std::uint16_t port)
{
    return {ServerId(name), DataCentreId("east"), {"127.0.0.1", port}, ServiceName("desk"), 1};
}

} // namespace

namespace {

HostOutcome classify(HttpResponse response, ConnectionUse use = ConnectionUse::First)
{
    return classifyResponse(std::move(response), "7", FIELDS, use);
}

} // namespace

TEST_CASE("only a signed response to this very request counts as an answer", "[node]")
{
    CHECK(classify(makeResponse(200, "7", true)).state == RunState::Answered);
    CHECK(classify(makeResponse(500, "7", false)).state == RunState::Answered);
    CHECK(classify(makeResponse(200, "7", false)).state == RunState::Unknown);
    CHECK(classify(makeResponse(200, "", true)).state == RunState::Unknown);
    CHECK(classify(makeResponse(200, "8", true)).state == RunState::Unknown);
    HttpResponse encoded = makeResponse(200, "7", true);
    encoded.headers.add("Content-Encoding", "gzip");
    CHECK(classify(encoded).state == RunState::Unknown);
    HttpResponse shed = makeResponse(503, "7", false);
    CHECK(classify(shed).state == RunState::Answered);
    shed.headers.add("Not-Run", "1");
    CHECK(classify(shed).reason == HostReason::ServerShed);
    CHECK(classify(makeResponse(421, "", false)).reason == HostReason::InstanceChanged);
}

// Guards against a server that writes an earlier refusal once more on a kept connection: callers
// were told "not run" for requests that it ran.
TEST_CASE("a refusal that may be a copy of an earlier one is no proof", "[node]")
{
    for (const int status : {400, 421, 429, 503}) {
        INFO("status " << status);
        const auto refusal = [&](const std::string &echoedId) {
            HttpResponse response = makeResponse(status, echoedId, false);
            response.headers.add("Not-Run", "1");
            return response;
        };
        CHECK(classify(refusal("7")).state == RunState::NotRun);
        CHECK(classify(refusal("7"), ConnectionUse::Repeated).state == RunState::NotRun);
        CHECK(classify(refusal("")).state == RunState::NotRun);
        CHECK(classify(refusal(""), ConnectionUse::Repeated).state == RunState::Unknown);
        CHECK(classify(refusal("8")).state == RunState::Unknown);
        CHECK(classify(refusal("8"), ConnectionUse::Repeated).state == RunState::Unknown);
    }
    CHECK(classify(makeResponse(421, "", false), ConnectionUse::Repeated).state
          == RunState::Unknown);
    CHECK(classify(makeResponse(421, "8", false)).state == RunState::Unknown);
    // A request without an identifier gets no proof from a response without one.
    HttpResponse anonymous = makeResponse(503, "", false);
    anonymous.headers.add("Not-Run", "1");
    CHECK(classifyResponse(anonymous, "", FIELDS, ConnectionUse::Repeated).state
          == RunState::Unknown);
}

// Guards against answers whose advisory is lost, or taken from bytes that are no answer.
TEST_CASE("advisories are read from answers and rejections of the expected server only", "[node]")
{
    const auto advised = [](HttpResponse response) {
        response.headers.add("Limit", "7.5");
        response.headers.add("Leaving", "1");
        return classify(std::move(response)).advisory;
    };
    REQUIRE(advised(makeResponse(200, "7", true)));
    CHECK(advised(makeResponse(200, "7", true))->value().requestsPerSecond == 7.5);
    CHECK(advised(makeResponse(500, "7", false))->value().leaving);
    HttpResponse shed = makeResponse(503, "7", false);
    shed.headers.add("Not-Run", "1");
    CHECK(advised(shed)->value().requestsPerSecond == 7.5);
    CHECK_FALSE(advised(makeResponse(200, "7", false)));
    CHECK_FALSE(advised(makeResponse(200, "8", true)));
    CHECK_FALSE(advised(makeResponse(421, "7", false)));
    HttpResponse malformed = makeResponse(200, "7", true);
    malformed.headers.add("Limit", "a few");
    CHECK(classify(malformed).advisory->error().code == ResultCode::ServerAdvisoryMalformed);
    CHECK(classify(malformed).state == RunState::Answered);
}

TEST_CASE("retries of a request without success are recognized for a while, once each", "[node]")
{
    RecentFailures failures;
    failures.add(1, {500}, {3000});
    failures.add(1, {900}, {3000});
    CHECK(failures.take(1, {1000})->ms == 500);
    CHECK(failures.take(1, {1000}).has_value());
    CHECK_FALSE(failures.take(1, {1000}).has_value());
    failures.add(2, {500}, {3000});
    CHECK_FALSE(failures.take(2, {3000}).has_value());
}

// Guards against retries after a failed nested call that pass for first attempts: they took the
// places of requests that could be in time.
TEST_CASE("a retry is expected after a refusal, and after a failure of what may run again",
          "[node]")
{
    CHECK(isRetryExpected(503, true));
    CHECK(isRetryExpected(503, false));
    for (const int status : {500, 502, 504}) {
        CHECK(isRetryExpected(status, true));
        CHECK_FALSE(isRetryExpected(status, false));
    }
    for (const int status : {200, 404, 429}) {
        CHECK_FALSE(isRetryExpected(status, true));
        CHECK_FALSE(isRetryExpected(status, false));
    }
}

TEST_CASE("a hello for another daemon does not close the link that is up", "[node]")
{
    EventLoop loop;
    PeerTable oldTable(record("asker", 27311), PeerOptions());
    PeerTable newTable(record("newcomer", 27312), PeerOptions());
    Listener asker("asker");
    Listener newcomer("newcomer");
    BulkWriter bulk(loop, OutputSchedulerOptions());
    PeerLinks from(loop, oldTable, asker, PeerLinkOptions(), bulk);
    PeerLinks to(loop, newTable, newcomer, PeerLinkOptions(), bulk);
    REQUIRE(to.listen());
    oldTable.addOrUpdate(record("newcomer", 27312), true);
    from.tick();
    runUntil(loop, [&] { return from.linksUp() == 1; });
    REQUIRE(from.linksUp() == 1);
    // The peer table still holds the VM that had the address before.
    oldTable.addOrUpdate(record("departed", 27312), true);
    from.tick();
    runUntil(loop, [&] { return !asker.replaced.empty(); });
    CHECK(asker.replaced == "departed");
    CHECK(from.linksUp() == 1);
    CHECK(newcomer.lost == 0);
    CHECK(asker.downs == 0);
}

TEST_CASE("an answer to an earlier incarnation of a daemon is not sent to the later one", "[node]")
{
    EventLoop loop;
    PeerTable askerTable(record("asker", 27313), PeerOptions());
    PeerTable hostTable(record("host", 27314), PeerOptions());
    Listener asker("asker");
    Listener host("host");
    BulkWriter bulk(loop, OutputSchedulerOptions());
    PeerLinks from(loop, askerTable, asker, PeerLinkOptions(), bulk);
    PeerLinks to(loop, hostTable, host, PeerLinkOptions(), bulk);
    REQUIRE(to.listen());
    askerTable.addOrUpdate(record("host", 27314), true);
    from.tick();
    runUntil(loop, [&] { return from.linksUp() == 1; });
    CHECK(to.sendAnswer(ServerId("asker"), 1, LinkResult()));
    CHECK_FALSE(to.sendAnswer(ServerId("asker"), 7, LinkResult()));
}

// Guards against pings that stop the regular states, whose loads senders need.
TEST_CASE("answers to pings do not replace the regular states", "[node][tenants]")
{
    EventLoop loop;
    PeerTable askerTable(record("asker", 27341), PeerOptions());
    PeerTable hostTable(record("host", 27342), PeerOptions());
    Listener asker("asker");
    Listener host("host");
    BulkWriter bulk(loop, OutputSchedulerOptions());
    PeerLinks from(loop, askerTable, asker, PeerLinkOptions(), bulk);
    PeerLinks to(loop, hostTable, host, PeerLinkOptions(), bulk);
    REQUIRE(to.listen());
    askerTable.addOrUpdate(record("host", 27342), true);
    from.tick();
    runUntil(loop, [&] { return from.linksUp() == 1; });
    asker.states = 0;
    const TimePoint start = loop.now();
    runUntil(loop, [&] {
        to.sendAnswer(ServerId("asker"), 1, LinkPong());
        to.tick();
        return loop.now() - start > Duration{1300};
    });
    CHECK(asker.states >= 2);
}

// Guards against a restarted daemon that gets calls before it knows what its server had announced.
TEST_CASE("a daemon that links tells first what it knows of the peer's server", "[node]")
{
    EventLoop loop;
    PeerTable askerTable(record("asker", 27325), PeerOptions());
    PeerTable hostTable(record("host", 27326), PeerOptions());
    Listener asker("asker");
    Listener host("host");
    BulkWriter bulk(loop, OutputSchedulerOptions());
    PeerLinks from(loop, askerTable, asker, PeerLinkOptions(), bulk);
    PeerLinks to(loop, hostTable, host, PeerLinkOptions(), bulk);
    REQUIRE(to.listen());
    askerTable.addOrUpdate(record("host", 27326), true);
    HostLoad load;
    load.instance = "i";
    load.startTimeMs = 9;
    load.state = HostState::Ready;
    load.requestsPerSecond = 4.5;
    askerTable.find(ServerId("host"))->recordLoad(load, {0});
    from.tick();
    runUntil(loop, [&] { return from.linksUp() == 1; });
    CHECK(host.told.instance == "i");
    CHECK(host.told.startTimeMs == 9);
    CHECK(host.told.requestsPerSecond == 4.5);
    CHECK_FALSE(host.told.leaving);
}

TEST_CASE("small results pass downloads on one link, and each body arrives whole", "[node]")
{
    EventLoop loop;
    OutputSchedulerOptions slowLink;
    slowLink.bytesPerSecond = 2'000'000;
    BulkWriter bulk(loop, slowLink);
    PeerTable askerTable(record("asker", 27315), PeerOptions());
    PeerTable hostTable(record("host", 27316), PeerOptions());
    Listener asker("asker");
    Listener host("host");
    PeerLinks from(loop, askerTable, asker, PeerLinkOptions(), bulk);
    PeerLinks to(loop, hostTable, host, PeerLinkOptions(), bulk);
    REQUIRE(to.listen());
    askerTable.addOrUpdate(record("host", 27316), true);
    from.tick();
    runUntil(loop, [&] { return from.linksUp() == 1; });
    const auto makeResult = [](OfferId offer, std::size_t size) {
        LinkResult result;
        result.offer = offer;
        result.outcome.response.status = 200;
        for (std::size_t i = 0; i < size; i++)
            result.outcome.response.body += static_cast<char>('a' + (i * offer) % 23);
        return result;
    };
    for (OfferId offer = 1; offer <= 3; offer++)
        REQUIRE(to.sendResult(ServerId("asker"), 1, makeResult(offer, 100'000 + offer)));
    REQUIRE(to.sendResult(ServerId("asker"), 1, makeResult(4, 200)));
    to.stopResult(ServerId("asker"), 2);
    REQUIRE(from.sendRequest(ServerId("host"), LinkCancel{2, false}));
    runUntil(loop, [&] { return asker.results.size() == 3; });
    REQUIRE(asker.results.size() == 3);
    CHECK(asker.results[0].offer == 4);
    for (const LinkResult &result : asker.results) {
        CHECK(result.offer != 2);
        CHECK(result.bodyBytesToFollow == 0);
        const std::size_t size = result.offer == 4 ? 200 : 100'000 + result.offer;
        CHECK(result.outcome.response.body == makeResult(result.offer, size).outcome.response.body);
    }
    CHECK(bulk.scheduler().backlogBytes() == 0);
}

TEST_CASE("a link that breaks within a body gives no answer", "[node]")
{
    EventLoop loop;
    OutputSchedulerOptions slowLink;
    slowLink.bytesPerSecond = 20'000;
    BulkWriter bulk(loop, slowLink);
    PeerTable askerTable(record("asker", 27317), PeerOptions());
    PeerTable hostTable(record("host", 27318), PeerOptions());
    Listener asker("asker");
    Listener host("host");
    PeerLinks from(loop, askerTable, asker, PeerLinkOptions(), bulk);
    auto to = std::make_unique<PeerLinks>(loop, hostTable, host, PeerLinkOptions(), bulk);
    REQUIRE(to->listen());
    askerTable.addOrUpdate(record("host", 27318), true);
    from.tick();
    runUntil(loop, [&] { return from.linksUp() == 1; });
    LinkResult result;
    result.offer = 1;
    result.outcome.response.body.assign(100'000, 'x');
    REQUIRE(to->sendResult(ServerId("asker"), 1, std::move(result)));
    runUntil(loop, [&] { return bulk.scheduler().backlogBytes() < 95'000; });
    // A second link of the same daemon replaces the first one, which breaks off.
    PeerLinks again(loop, askerTable, asker, PeerLinkOptions(), bulk);
    again.tick();
    runUntil(loop, [&] { return asker.downs == 1 && bulk.scheduler().backlogBytes() == 0; });
    CHECK(asker.downs == 1);
    CHECK(asker.results.empty());
    CHECK(bulk.scheduler().backlogBytes() == 0);
}

TEST_CASE("responses on a caller's connection keep their order, large ones in frames", "[node]")
{
    EventLoop loop;
    OutputSchedulerOptions slowLink;
    slowLink.bytesPerSecond = 5'000'000;
    BulkWriter bulk(loop, slowLink);
    std::shared_ptr<PacedOutput> output;
    std::string expected;
    struct Reader : public ConnectionHandler
    {
        void received(std::string_view bytes) override { text += bytes; }
        void disconnected(DisconnectReason) override { ended = true; }
        std::string text;
        bool ended = false;
    } reader;
    struct Server : public ConnectionHandler
    {
        void received(std::string_view) override {}
        void disconnected(DisconnectReason) override {}
    } server;
    const auto listener
        = TcpListener::listen(loop, {"127.0.0.1", 27319}, [&](TcpConnectionPtr connection) {
              connection->start(server);
              output = std::make_shared<PacedOutput>(connection, &bulk);
              for (const std::size_t size : {100U, 200'000U, 300U, 50'000U, 10U}) {
                  std::string bytes(size, static_cast<char>('a' + expected.size() % 26));
                  expected += bytes;
                  output->write(std::move(bytes));
              }
              output->closeWhenSent();
          });
    REQUIRE(listener);
    const auto connection = TcpConnection::open(loop, {"127.0.0.1", 27319}, Duration{1000}, reader);
    runUntil(loop, [&] { return reader.ended; });
    CHECK(reader.text.size() == expected.size());
    CHECK(reader.text == expected);
    CHECK(output->unsentBytes() == 0);
}

namespace {

/** Answers each request with a large body, on connections that close when it says so. */
struct DownloadOwner : public CallerSessionOwner
{
    TrafficLimits limits() const override { return {}; }
    bool shouldCloseConnections() const override { return closes; }
    bool mayRunConcurrently(const HttpRequest &) const override { return true; }
    BulkWriter *bulkWriter() override { return writer; }
    PendingRequestId newRequestId() override { return ++last; }
    void handleRequest(CallerSession &session, PendingRequestId id, IncomingRequest) override
    {
        HttpResponse response;
        response.status = 200;
        response.body.assign(100'000, 'x');
        session.respond(id, response);
    }
    void callerDisconnected(PendingRequestId) override {}
    void sessionClosed(CallerSession &) override { closed++; }

    bool closes = false;
    BulkWriter *writer = nullptr;
    PendingRequestId last = 0;
    unsigned closed = 0;
};

/** Counts the bytes of an answer. */
struct CountingCaller : public ConnectionHandler
{
    void received(std::string_view bytes) override { count += bytes.size(); }
    void disconnected(DisconnectReason) override { ended = true; }
    std::size_t count = 0;
    bool ended = false;
};

OutputSchedulerOptions outputOptions(std::uint64_t bytesPerSecond)
{
    OutputSchedulerOptions options;
    options.bytesPerSecond = bytesPerSecond;
    return options;
}

/** A session with a caller, over a slow link. */
struct DownloadSession
{
    DownloadSession(std::uint16_t port, std::uint64_t bytesPerSecond, bool closes)
        : bulk(loop, outputOptions(bytesPerSecond))
    {
        owner.closes = closes;
        owner.writer = &bulk;
        auto listening
            = TcpListener::listen(loop, {"127.0.0.1", port}, [this](TcpConnectionPtr accepted) {
                  session
                      = std::make_shared<CallerSession>(loop, owner, std::move(accepted), false);
                  session->start();
              });
        REQUIRE(listening);
        listener = std::move(listening.value());
        connection = TcpConnection::open(loop, {"127.0.0.1", port}, Duration{1000}, caller);
        runUntil(loop, [&] { return session != nullptr; });
    }

    EventLoop loop;
    BulkWriter bulk;
    DownloadOwner owner;
    CountingCaller caller;
    std::shared_ptr<CallerSession> session;
    std::unique_ptr<TcpListener> listener;
    TcpConnectionPtr connection;
};

} // namespace

// Guards against a shutdown that cuts an answer: the daemon forgot the sessions whose connections
// it had marked for closing, and exited while their last answers were still leaving.
TEST_CASE("a session that closes is over only when its last answer has left", "[node]")
{
    DownloadSession download(27327, 400'000, true);
    download.connection->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(download.loop, [&] { return download.session->unsentBytes() > 0; });
    CHECK(download.owner.closed == 0);
    runUntil(download.loop, [&] { return download.caller.ended; });
    CHECK(download.caller.count > 100'000);
    runUntil(download.loop, [&] { return download.owner.closed == 1; });
    CHECK(download.owner.closed == 1);
}

TEST_CASE("a session that closes is over when its caller leaves before the answer", "[node]")
{
    DownloadSession download(27328, 100'000, true);
    download.connection->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(download.loop, [&] { return download.caller.count > 0; });
    download.connection->close();
    runUntil(download.loop, [&] { return download.owner.closed == 1; });
    CHECK(download.owner.closed == 1);
}

TEST_CASE("a connection is not idle while a request is half read or an answer half sent", "[node]")
{
    DownloadSession download(27320, 400'000, false);
    CallerSession &session = *download.session;
    CHECK(session.isIdle());
    download.connection->write("GET / HTTP/1.1\r\nHost");
    runUntil(download.loop, [&] { return !session.isIdle(); });
    CHECK_FALSE(session.isIdle());
    download.connection->write(": h\r\n\r\n");
    runUntil(download.loop, [&] { return session.isIdle() && session.unsentBytes() > 0; });
    CHECK(session.unsentBytes() > 0);
    runUntil(download.loop,
             [&] { return download.caller.count > 100'000 && session.unsentBytes() == 0; });
    CHECK(session.isIdle());
    CHECK(session.unsentBytes() == 0);
    session.close();
}

TEST_CASE("the decision log is bounded, and failures have a reserved share", "[log]")
{
    ManualClock clock;
    DecisionLogOptions options;
    options.linesPerSecond = 10;
    options.reservedLinesPerSecond = 6;
    DecisionLog log(clock, options);
    int good = 0;
    int bad = 0;
    for (int i = 0; i < 50; i++)
        log.logRequest("answered", false, [&](LogFields &) { good++; });
    for (int i = 0; i < 50; i++)
        log.logRequest("answered", true, [&](LogFields &) { bad++; });
    CHECK(good == 4);
    CHECK(bad == 6);
    LogFields fields;
    fields.add("key", "a\"b\\c\n");
    CHECK(fields.text() == ",\"key\":\"a\\\"b\\\\c\\u000a\"");
}

TEST_CASE("changed settings are applied where possible, and the rest is listed for a restart",
          "[node]")
{
    NodeSettings current;
    current.store = {"127.0.0.1", 7000};
    current.listen.calls = {"127.0.0.1", 8141};
    NodeSettings updated = current;
    CHECK(applySettings(current, updated).applied.empty());
    updated.store.port = 7001;
    updated.revocation.strict = true;
    updated.retryBudget.slack = 7;
    updated.grace = seconds(9);
    updated.listen.calls.port = 1;
    updated.server.port = 2;
    const SettingsChange change = applySettings(current, updated);
    CHECK(change.applied == std::vector<std::string>{"store", "repeats", "grace", "revocation"});
    CHECK(change.restartRequired == std::vector<std::string>{"listen", "server"});
    CHECK(current.store.port == 7001);
    CHECK(current.revocation.strict);
    CHECK(current.retryBudget.slack == 7);
    CHECK(current.grace == seconds(9));
    CHECK(current.listen.calls.port == 8141);
}

TEST_CASE("a changed settings file is detected once without a signal", "[node]")
{
    const std::string path = "/tmp/cornelwell-settings-" + std::to_string(::getpid());
    std::ofstream(path) << "{}";
    FileWatcher watch(path);
    CHECK_FALSE(watch.hasChanged());
    std::ofstream(path) << "{\"more\": 1}";
    CHECK(watch.hasChanged());
    CHECK_FALSE(watch.hasChanged());
    std::remove(path.c_str());
    CHECK_FALSE(watch.hasChanged());
    std::ofstream(path) << "{ }";
    CHECK(watch.hasChanged());
    std::remove(path.c_str());
}
