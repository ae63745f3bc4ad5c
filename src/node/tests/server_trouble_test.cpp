/** @file server_trouble_test.cpp Servers that send bytes without end, end connections, or never
 * answer. */
#include "exchange/message_func.h"
#include "node/host_call_executor.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace cornelwell;

namespace {

const CallFields FIELDS = {"Id",          "Deadline", "Instance", "Not-Run",    "Seal",  "Caller",
                           "Retry-After", "Limit",    "Leaving",  "Credential", "Tenant"};

/** What a server in trouble sends: a start, then the same bytes until the other side closes. */
struct Flood
{
    const char *name;     ///< For the test's messages.
    const char *start;    ///< Sent once.
    const char *repeated; ///< Sent without end; empty: nothing more.
};

const Flood FLOODS[] = {
    {"bytes that are no head", "", "garbage"},
    {"a status line without end", "HTTP/1.1 200 ", "x"},
    {"header fields without end", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
    {"a header field without end", "HTTP/1.1 200 OK\r\nA: ", "b"},
    {"interim responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"stale responses without end", "",
     "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
    {"a body until the close", "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\n\r\n", "xxxxxxxxxxxxxxxx"},
    {"chunks without end",
     "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
     "8\r\nxxxxxxxx\r\n"},
    {"a chunk size without end",
     "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"more than the length says",
     "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nContent-Length: 99999999999\r\n\r\n", "xxxxxxxx"},
};

/** A server that answers well, or floods each connection after a request. */
class FloodingServer
{
public:
    FloodingServer(EventLoop &loop, std::uint16_t port) : m_loop(loop), endpoint{"127.0.0.1", port}
    {
        auto listener = TcpListener::listen(loop, endpoint, [this](TcpConnectionPtr connection) {
            const auto client = std::make_shared<Client>(*this, std::move(connection));
            m_clients.insert(client);
            client->start();
        });
        REQUIRE(listener);
        m_listener = std::move(listener.value());
    }

    const Flood *flood = nullptr; ///< Null: answers well.
    bool resets = false;          ///< Ends each connection that carries a request.
    unsigned requests = 0;        ///< Requests that were answered.
    std::size_t open() const { return m_clients.size(); }

private:
    static constexpr std::size_t BLOCK_BYTES = 65536;

    class Client : public ConnectionHandler, public std::enable_shared_from_this<Client>
    {
    public:
        Client(FloodingServer &server, TcpConnectionPtr connection)
            : m_server(server), m_connection(std::move(connection))
        {}
        void start() { m_connection->start(*this); }
        void received(std::string_view) override
        {
            if (m_server.resets) {
                m_connection->close();
                const auto self = shared_from_this();
                m_server.m_loop.after({0}, [self] { self->m_server.m_clients.erase(self); });
                return;
            }
            if (m_server.flood == nullptr) {
                m_server.requests++;
                m_connection->write(
                    "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok");
                return;
            }
            m_connection->write(m_server.flood->start);
            pour();
        }
        void disconnected(DisconnectReason) override
        {
            const auto self = shared_from_this();
            m_server.m_loop.after({0}, [self] { self->m_server.m_clients.erase(self); });
        }

    private:
        void pour()
        {
            if (!m_connection->isOpen())
                return;
            if (m_connection->unsentBytes() < BLOCK_BYTES) {
                std::string block;
                while (block.size() < BLOCK_BYTES && *m_server.flood->repeated != '\0')
                    block += m_server.flood->repeated;
                m_connection->write(std::move(block));
            }
            if (*m_server.flood->repeated != 0)
                m_server.m_loop.after({1}, [self = shared_from_this()] { self->pour(); });
        }

        FloodingServer &m_server;
        TcpConnectionPtr m_connection;
    };

    EventLoop &m_loop;
    std::unique_ptr<TcpListener> m_listener;
    std::set<std::shared_ptr<Client>> m_clients;

public:
    const Endpoint endpoint;
};

struct Listener : HostCallListener
{
    void callCompleted(const CallOrigin &origin, const HostOutcome &outcome) override
    {
        outcomes[origin.offer] = outcome;
    }
    void bodyGranted(const CallOrigin &, std::uint64_t) override {}
    void serverStateChanged() override {}
    void requestSuspectedOfCrash(std::uint64_t, const std::string &) override { crashSuspects++; }

    std::map<OfferId, HostOutcome> outcomes;
    int crashSuspects = 0;
};

struct Fixture
{
    explicit Fixture(std::uint16_t port) : server(loop, port)
    {
        log.setIdentity("vm", "east");
        ServerReport report;
        report.instance = "i";
        report.service = ServiceName("desk");
        report.address = server.endpoint;
        report.slots = 4;
        report.sequence = 1;
        report.startTimeMs = 1;
        executor.handleReport(report);
    }

    void offer(OfferId offer, bool idempotent, Duration deadline)
    {
        LinkCall call;
        call.offer = offer;
        call.request.method = "GET";
        call.request.path = "/";
        call.requestId = "r";
        call.route = "r";
        call.deadlineLeft = deadline;
        call.softDeadlineLeft = deadline;
        call.idempotent = idempotent;
        executor.offer({ServerId("a"), 1, offer}, std::move(call));
    }

    void runUntil(const std::function<bool()> &done)
    {
        if (done())
            return;
        int checksLeft = 4000;
        std::function<void()> check = [&] {
            executor.tick();
            if (done() || --checksLeft == 0)
                loop.stop();
            else
                loop.after({5}, check);
        };
        check();
        loop.run();
    }

    EventLoop loop;
    DecisionLog log{loop.clock(), {DecisionLogLevel::Off, 1, 0, 1}};
    Listener listener;
    OutputScheduler link{OutputSchedulerOptions()};
    FloodingServer server;
    HostCallExecutor executor{loop, FIELDS, listener, log, link};
};

} // namespace

TEST_CASE("bytes without end are no answer: the connection closes, the caller gets an outcome",
          "[node]")
{
    Fixture fixture(27321);
    OfferId offer = 0;
    for (const Flood &flood : FLOODS) {
        INFO(flood.name);
        fixture.server.flood = &flood;
        ++offer;
        fixture.offer(offer, offer % 2 == 0, seconds(20));
        fixture.runUntil([&] {
            return fixture.listener.outcomes.count(offer) != 0 && fixture.server.open() == 0;
        });
        REQUIRE(fixture.listener.outcomes.count(offer) != 0);
        // The request may have run, and nobody is told otherwise.
        CHECK(fixture.listener.outcomes[offer].state == RunState::Unknown);
        CHECK(fixture.listener.outcomes[offer].response.body.empty());
        CHECK(fixture.server.open() == 0);
        CHECK(fixture.executor.bufferedBytes() == 0);

        fixture.server.flood = nullptr;
        ++offer;
        fixture.offer(offer, true, seconds(20));
        fixture.runUntil([&] { return fixture.listener.outcomes.count(offer) != 0; });
        REQUIRE(fixture.listener.outcomes.count(offer) != 0);
        CHECK(fixture.listener.outcomes[offer].state == RunState::Answered);
    }
}

TEST_CASE("bodies without end on all connections together stay within one bound", "[node]")
{
    Fixture fixture(27322);
    const Flood endless{"", FLOODS[6].start, FLOODS[6].repeated};
    fixture.server.flood = &endless;
    std::size_t most = 0;
    for (OfferId offer = 1; offer <= 4; offer++)
        fixture.offer(offer, true, seconds(30));
    fixture.runUntil([&] {
        most = std::max(most, fixture.executor.bufferedBytes());
        return fixture.listener.outcomes.size() == 4 && fixture.server.open() == 0;
    });
    CHECK(fixture.listener.outcomes.size() == 4);
    CHECK(most <= 25UL * 1024 * 1024);
    CHECK(fixture.executor.bufferedBytes() == 0);
}

TEST_CASE("a call that is never answered ends after its deadline and frees its slot", "[node]")
{
    Fixture fixture(27323);
    const Flood silence{"", "", ""};
    fixture.server.flood = &silence;
    fixture.offer(1, false, {300});
    fixture.runUntil([&] { return fixture.listener.outcomes.count(1) != 0; });
    REQUIRE(fixture.listener.outcomes.count(1) != 0);
    CHECK(fixture.listener.outcomes[1].state == RunState::Unknown);
    CHECK(fixture.executor.load().running == 0);
    CHECK(fixture.executor.callCount() == 0);
    // The outcome is kept: nobody is told later that the call has not run.
    REQUIRE(fixture.executor.findOutcome({ServerId("a"), 1, 1}));
    CHECK(fixture.executor.findOutcome({ServerId("a"), 1, 1})->state == RunState::Unknown);
}

TEST_CASE("an outcome that had to be dropped is never reported as not run", "[node]")
{
    Fixture fixture(27324);
    CHECK(fixture.executor.findOutcome({ServerId("a"), 1, 9})->state == RunState::NotRun);
    constexpr OfferId CALLS = 4200; // More than the outcomes that are kept.
    constexpr OfferId BATCH = 200;
    for (OfferId first = 1; first <= CALLS; first += BATCH) {
        for (OfferId offer = first; offer < first + BATCH; offer++)
            fixture.offer(offer, false, seconds(60));
        fixture.runUntil([&] { return fixture.listener.outcomes.size() == first + BATCH - 1; });
    }
    REQUIRE(fixture.listener.outcomes[1].state == RunState::Answered);
    CHECK(fixture.executor.findOutcome({ServerId("a"), 1, CALLS})->state == RunState::Answered);
    CHECK(fixture.executor.findOutcome({ServerId("a"), 1, 1})->state == RunState::Unknown);
}

TEST_CASE("a full server that ends connections is not taken for a dead one", "[node]")
{
    Fixture fixture(27325);
    fixture.server.resets = true;
    for (OfferId offer = 1; offer <= 8; offer++) {
        fixture.offer(offer, offer % 2 == 0, seconds(20));
        fixture.runUntil([&] { return fixture.listener.outcomes.count(offer) != 0; });
        REQUIRE(fixture.listener.outcomes.count(offer) != 0);
        // It read the request, so it may have run it.
        CHECK(fixture.listener.outcomes[offer].state == RunState::Unknown);
        CHECK(fixture.listener.outcomes[offer].sentToServer);
    }
    CHECK(fixture.executor.load().state == HostState::Ready);
    CHECK(fixture.listener.crashSuspects == 0);
    fixture.server.resets = false;
    fixture.offer(9, false, seconds(20));
    fixture.runUntil([&] { return fixture.listener.outcomes.count(9) != 0; });
    CHECK(fixture.listener.outcomes[9].state == RunState::Answered);
}

// Guards against a copy of the answer to an earlier send of the same request: it echoes the right
// identifier, so only another connection tells it from the answer to this send.
TEST_CASE("a request that is sent again does not use the connection that carried it", "[node]")
{
    Fixture fixture(27329);
    fixture.offer(1, true, seconds(1));
    fixture.runUntil([&] { return fixture.listener.outcomes.count(1) != 0; });
    CHECK(fixture.server.open() == 1);
    fixture.offer(2, true, seconds(1));
    fixture.runUntil([&] { return fixture.listener.outcomes.count(2) != 0; });
    CHECK(fixture.listener.outcomes[2].state == RunState::Answered);
    CHECK(fixture.executor.connectionsOpened() == 2);
}
