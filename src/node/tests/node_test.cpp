/** @file node_test.cpp Answers judged, refused requests known again, links to reused addresses. */
#include "log/decision_log.h"
#include "manual_clock.h"
#include "node/peer_links.h"
#include "node/recent_refusals.h"
#include "node/server_connection_pool.h"
#include "node/settings_change.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace cornelwell;

namespace {

const CallFields FIELDS
    = {"Id", "Deadline", "Instance", "Not-Run", "Seal", "Caller", "Retry-After"};

HttpResponse answer(int status, const std::string &id, bool seal)
{
    HttpResponse response;
    response.status = status;
    if (!id.empty())
        response.headers.add("Id", id);
    if (seal)
        response.headers.add("Seal", "s");
    return response;
}

/** Counts what links tell. */
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
    void peerGone(const ServerId &peer) override { gone = peer.text(); }
    void peerAnnounced(const DaemonRecord &) override {}
    void answerReceived(const ServerId &, LinkMessage) override {}
    void requestReceived(const DaemonRecord &, LinkMessage) override {}

    int ups = 0;
    int downs = 0;
    int lost = 0;
    std::string gone;

private:
    std::string m_name;
};

/** Runs the loop until the condition holds; gives up after a long time. */
void runUntil(EventLoop &loop, const std::function<bool()> &done)
{
    int left = 2000;
    std::function<void()> look = [&] {
        if (done() || --left == 0)
            loop.stop();
        else
            loop.after({10}, look);
    };
    look();
    loop.run();
}

DaemonRecord record(const std::string &name, std::uint16_t port)
{
    return {ServerId(name), DataCentreId("east"), {"127.0.0.1", port}, ServiceName("desk"), 1};
}

} // namespace

TEST_CASE("only the server's sealed answer to this very request is one", "[node]")
{
    CHECK(classifyResponse(answer(200, "7", true), "7", FIELDS).state == RunState::Answered);
    CHECK(classifyResponse(answer(500, "7", false), "7", FIELDS).state == RunState::Answered);
    CHECK(classifyResponse(answer(200, "7", false), "7", FIELDS).state == RunState::Unknown);
    CHECK(classifyResponse(answer(200, "", true), "7", FIELDS).state == RunState::Unknown);
    CHECK(classifyResponse(answer(200, "8", true), "7", FIELDS).state == RunState::Unknown);
    HttpResponse coded = answer(200, "7", true);
    coded.headers.add("Content-Encoding", "gzip");
    CHECK(classifyResponse(coded, "7", FIELDS).state == RunState::Unknown);
    HttpResponse shed = answer(503, "7", false);
    CHECK(classifyResponse(shed, "7", FIELDS).state == RunState::Answered);
    shed.headers.add("Not-Run", "1");
    CHECK(classifyResponse(shed, "7", FIELDS).reason == HostReason::ServerShed);
    CHECK(classifyResponse(answer(421, "", false), "7", FIELDS).reason
          == HostReason::InstanceChanged);
}

TEST_CASE("a refused request is known again for a while, as often as it was refused", "[node]")
{
    RecentRefusals memory;
    memory.add(1, {500}, {3000});
    memory.add(1, {900}, {3000});
    CHECK(memory.take(1, {1000})->ms == 500);
    CHECK(memory.take(1, {1000}).has_value());
    CHECK_FALSE(memory.take(1, {1000}).has_value());
    memory.add(2, {500}, {3000});
    CHECK_FALSE(memory.take(2, {3000}).has_value());
}

TEST_CASE("a hello that means another daemon leaves the good link alone", "[node]")
{
    EventLoop loop;
    PeerTable oldTable(record("asker", 47311), PeerOptions());
    PeerTable newTable(record("newcomer", 47312), PeerOptions());
    Listener asker("asker");
    Listener newcomer("newcomer");
    PeerLinks from(loop, oldTable, asker, PeerLinkOptions());
    PeerLinks to(loop, newTable, newcomer, PeerLinkOptions());
    REQUIRE(to.listen());
    oldTable.addOrUpdate(record("newcomer", 47312), true);
    from.tick();
    runUntil(loop, [&] { return from.linksUp() == 1; });
    REQUIRE(from.linksUp() == 1);
    // The VM that had the address before is still known.
    oldTable.addOrUpdate(record("departed", 47312), true);
    from.tick();
    runUntil(loop, [&] { return !asker.gone.empty(); });
    CHECK(asker.gone == "departed");
    CHECK(from.linksUp() == 1);
    CHECK(newcomer.lost == 0);
    CHECK(asker.downs == 0);
}

TEST_CASE("an answer for an earlier start of a daemon is not given to the later one", "[node]")
{
    EventLoop loop;
    PeerTable askerTable(record("asker", 47313), PeerOptions());
    PeerTable hostTable(record("host", 47314), PeerOptions());
    Listener asker("asker");
    Listener host("host");
    PeerLinks from(loop, askerTable, asker, PeerLinkOptions());
    PeerLinks to(loop, hostTable, host, PeerLinkOptions());
    REQUIRE(to.listen());
    askerTable.addOrUpdate(record("host", 47314), true);
    from.tick();
    runUntil(loop, [&] { return from.linksUp() == 1; });
    CHECK(to.sendAnswer(ServerId("asker"), 1, LinkResult()));
    CHECK_FALSE(to.sendAnswer(ServerId("asker"), 7, LinkResult()));
}

TEST_CASE("the decision log is bounded, and failures go before what went well", "[log]")
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

TEST_CASE("changed settings: what may change is taken, the rest is named", "[node]")
{
    NodeSettings inForce;
    inForce.store = {"127.0.0.1", 7000};
    inForce.listen.calls = {"127.0.0.1", 8141};
    NodeSettings next = inForce;
    CHECK(applySettings(inForce, next).applied.empty());
    next.store.port = 7001;
    next.repeats.slack = 7;
    next.grace = seconds(9);
    next.listen.calls.port = 1;
    next.server.port = 2;
    const SettingsChange change = applySettings(inForce, next);
    CHECK(change.applied == std::vector<std::string>{"store", "repeats", "grace"});
    CHECK(change.restartRequired == std::vector<std::string>{"listen", "server"});
    CHECK(inForce.store.port == 7001);
    CHECK(inForce.repeats.slack == 7);
    CHECK(inForce.grace == seconds(9));
    CHECK(inForce.listen.calls.port == 8141);
}

TEST_CASE("a settings file that changes without a signal is noticed once", "[node]")
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
