/** @file delivery_test.cpp The ledger of keys and the claims on the platform. */
#include "delivery/claim_func.h"
#include "delivery/key_ledger.h"
#include "fake_store.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

Claim claimOf(const std::string &server, const std::string &attempt)
{
    return {"key-1", 7, ServerId(server), 3, {"127.0.0.1", 7102}, attempt};
}

} // namespace

TEST_CASE("a key runs once, and its repeats get what is known", "[delivery]")
{
    KeyLedger ledger{LedgerOptions()};
    const RequestKey key{"k", 1};
    CHECK(ledger.begin(key, NOW).state == KeyState::New);
    CHECK(ledger.begin(key, NOW).state == KeyState::InProgress);
    CHECK(ledger.begin({"k", 2}, NOW).state == KeyState::OtherRequest);
    HttpResponse answer;
    answer.body = "first";
    ledger.finish("k", KeyState::Answered, answer, NOW);
    CHECK(ledger.begin(key, NOW).answer.body == "first");
    CHECK(ledger.begin(key, NOW).state == KeyState::Answered);
}

TEST_CASE("only a key that was not run may begin again, and one of two that try", "[delivery]")
{
    KeyLedger ledger{LedgerOptions()};
    ledger.begin({"a", 1}, NOW);
    ledger.finish("a", KeyState::NotRun, {}, NOW);
    CHECK(ledger.begin({"a", 1}, NOW).state == KeyState::NotRun);
    CHECK(ledger.begin({"a", 1}, NOW).state == KeyState::InProgress);
    ledger.begin({"b", 1}, NOW);
    ledger.finish("b", KeyState::Unknown, {}, NOW);
    CHECK(ledger.begin({"b", 1}, NOW).state == KeyState::Unknown);
}

TEST_CASE("the ledger is bounded by count, bytes and age, and keeps what is in progress",
          "[delivery]")
{
    KeyLedger ledger{LedgerOptions{seconds(10), 5, 100}};
    ledger.begin({"running", 1}, NOW);
    for (int i = 0; i < 50; i++) {
        const std::string key = "k" + std::to_string(i);
        ledger.begin({key, 1}, NOW);
        HttpResponse answer;
        answer.body = std::string(30, 'x');
        ledger.finish(key, KeyState::Answered, answer, NOW);
        CHECK(ledger.size() <= 6);
    }
    CHECK(ledger.find("k49").state == KeyState::Answered);
    ledger.begin({"later", 1}, NOW + seconds(11));
    CHECK(ledger.find("k49").state == KeyState::New);
    CHECK(ledger.find("running").state == KeyState::InProgress);
}

TEST_CASE("of two daemons that claim a key one gets it", "[delivery]")
{
    FakeStore store;
    CHECK(claimKey(store, "claims/x", claimOf("a", "a1")).verdict == ClaimVerdict::Mine);
    const ClaimResult other = claimKey(store, "claims/x", claimOf("b", "b1"));
    CHECK(other.verdict == ClaimVerdict::Other);
    CHECK(other.holder.server.text() == "a");
    CHECK(other.holder.relay.port == 7102);
}

TEST_CASE("a claim whose answer was lost is mine only if it is found", "[delivery]")
{
    FakeStore store;
    store.faults = {StoreFault::Lost};
    CHECK(claimKey(store, "claims/x", claimOf("a", "a1")).verdict == ClaimVerdict::Mine);
    store.faults = {StoreFault::Vanished};
    CHECK(claimKey(store, "claims/y", claimOf("a", "a2")).verdict == ClaimVerdict::Unavailable);
    store.faults = {StoreFault::Lost, StoreFault::NotExecuted};
    CHECK(claimKey(store, "claims/z", claimOf("a", "a3")).verdict == ClaimVerdict::Unavailable);
    CHECK(claimKey(store, "claims/z", claimOf("b", "b1")).verdict == ClaimVerdict::Other);
}

TEST_CASE("a platform that is down gives no claim", "[delivery]")
{
    FakeStore store;
    store.faults = {StoreFault::NotExecuted, StoreFault::Throttled};
    CHECK(claimKey(store, "claims/x", claimOf("a", "a1")).verdict == ClaimVerdict::Unavailable);
    CHECK(claimKey(store, "claims/x", claimOf("a", "a1")).verdict == ClaimVerdict::Unavailable);
}
