/** @file node_test.cpp Response classification, recognition of retries, settings, links to reused
 * addresses. */
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
    void handlePeerAnswer(const ServerId &, LinkMessage) override {}
    void handlePeerRequest(const DaemonRecord &, LinkMessage) override {}

    int ups = 0;
    int downs = 0;
    int lost = 0;
    std::string replaced;

private:
    std::string m_name;
};

/** Runs the loop until the condition holds, at most 20 s. */
void runUntil(EventLoop &loop, const std::function<bool()> &done)
{
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

TEST_CASE("only a signed response to this very request counts as an answer", "[node]")
{
    CHECK(classifyResponse(makeResponse(200, "7", true), "7", FIELDS).state == RunState::Answered);
    CHECK(classifyResponse(makeResponse(500, "7", false), "7", FIELDS).state == RunState::Answered);
    CHECK(classifyResponse(makeResponse(200, "7", false), "7", FIELDS).state == RunState::Unknown);
    CHECK(classifyResponse(makeResponse(200, "", true), "7", FIELDS).state == RunState::Unknown);
    CHECK(classifyResponse(makeResponse(200, "8", true), "7", FIELDS).state == RunState::Unknown);
    HttpResponse encoded = makeResponse(200, "7", true);
    encoded.headers.add("Content-Encoding", "gzip");
    CHECK(classifyResponse(encoded, "7", FIELDS).state == RunState::Unknown);
    HttpResponse shed = makeResponse(503, "7", false);
    CHECK(classifyResponse(shed, "7", FIELDS).state == RunState::Answered);
    shed.headers.add("Not-Run", "1");
    CHECK(classifyResponse(shed, "7", FIELDS).reason == HostReason::ServerShed);
    CHECK(classifyResponse(makeResponse(421, "", false), "7", FIELDS).reason
          == HostReason::InstanceChanged);
}

TEST_CASE("retries of a refused request are recognized for a while, once per refusal", "[node]")
{
    RecentRefusals refusals;
    refusals.add(1, {500}, {3000});
    refusals.add(1, {900}, {3000});
    CHECK(refusals.take(1, {1000})->ms == 500);
    CHECK(refusals.take(1, {1000}).has_value());
    CHECK_FALSE(refusals.take(1, {1000}).has_value());
    refusals.add(2, {500}, {3000});
    CHECK_FALSE(refusals.take(2, {3000}).has_value());
}

TEST_CASE("a hello for another daemon does not close the link that is up", "[node]")
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
    // The peer table still holds the VM that had the address before.
    oldTable.addOrUpdate(record("departed", 47312), true);
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
    updated.retryBudget.slack = 7;
    updated.grace = seconds(9);
    updated.listen.calls.port = 1;
    updated.server.port = 2;
    const SettingsChange change = applySettings(current, updated);
    CHECK(change.applied == std::vector<std::string>{"store", "repeats", "grace"});
    CHECK(change.restartRequired == std::vector<std::string>{"listen", "server"});
    CHECK(current.store.port == 7001);
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
