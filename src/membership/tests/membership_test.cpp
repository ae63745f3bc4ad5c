/** @file membership_test.cpp Announcements, suspicions, failures, relays and links. */
#include "membership/membership.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cornelwell;

namespace {

constexpr TimePoint START{1000};

MemberRecord record(const std::string &name, const std::string &dataCentre = "dc-1")
{
    MemberRecord record;
    record.id = ServerId(name);
    record.incarnation = 1;
    record.sequence = 1;
    record.dataCentre = DataCentreId(dataCentre);
    record.state = MemberState::Ready;
    return record;
}

Membership table(const std::string &self)
{
    MembershipOptions options;
    options.suspicion = seconds(2);
    return Membership(record(self), options);
}

std::vector<MemberClaim> alive(const MemberRecord &one)
{
    return {{one, MemberOpinion::Alive}};
}

} // namespace

TEST_CASE("newer announcements win, older ones are not passed on", "[membership]")
{
    Membership membership = table("a");
    CHECK(membership.receive(alive(record("b")), START).tell.size() == 1);
    CHECK(membership.receive(alive(record("b")), START).tell.empty());
    MemberRecord draining = record("b");
    draining.sequence = 2;
    draining.state = MemberState::Draining;
    CHECK(membership.receive(alive(draining), START).news.front().kind
          == MembershipNews::Kind::StateChanged);
    membership.receive(alive(record("b")), START);
    CHECK(membership.find(ServerId("b"))->record.state == MemberState::Draining);
}

TEST_CASE("a suspected server that answers is taken back, one that does not fails", "[membership]")
{
    Membership a = table("a");
    Membership b = table("b");
    a.receive(alive(b.self()), START);
    const auto suspicion = a.suspect(ServerId("b"), false, START);
    REQUIRE(suspicion.tell.size() == 1);
    const auto answer = b.receive(suspicion.tell, START);
    REQUIRE(answer.tell.size() == 1);
    CHECK(a.receive(answer.tell, START).news.front().kind == MembershipNews::Kind::Recovered);
    CHECK(a.find(ServerId("b"))->opinion == MemberOpinion::Alive);
    a.suspect(ServerId("b"), false, START);
    CHECK(a.tick(START + milliseconds(1999)).news.empty());
    CHECK(a.tick(START + seconds(2)).news.front().kind == MembershipNews::Kind::Failed);
    CHECK_FALSE(isLiving(*a.find(ServerId("b"))));
}

TEST_CASE("a refused connection shortens the suspicion", "[membership]")
{
    Membership a = table("a");
    a.receive(alive(record("b")), START);
    a.suspect(ServerId("b"), true, START);
    CHECK(a.tick(START + milliseconds(500)).news.front().kind == MembershipNews::Kind::Failed);
}

TEST_CASE("a restarted daemon comes after its earlier life even with a slower clock",
          "[membership]")
{
    Membership reborn = table("a");
    MemberRecord earlier = record("a");
    earlier.incarnation = 900;
    earlier.sequence = 7;
    const auto outcome = reborn.receive(alive(earlier), START);
    REQUIRE(outcome.tell.size() == 1);
    CHECK(outcome.tell.front().record.incarnation == 901);
    Membership other = table("b");
    other.receive(alive(earlier), START);
    other.receive(outcome.tell, START);
    CHECK(other.find(ServerId("a"))->record.incarnation == 901);
}

TEST_CASE("a failure is remembered, so that old news does not bring the server back",
          "[membership]")
{
    Membership a = table("a");
    a.receive({{record("b"), MemberOpinion::Failed}}, START);
    a.receive(alive(record("b")), START);
    CHECK_FALSE(isLiving(*a.find(ServerId("b"))));
    a.tick(START + seconds(3601));
    CHECK(a.find(ServerId("b")) == nullptr);
}

TEST_CASE("hearsay of a failure leaves the server the time to answer", "[membership]")
{
    Membership a = table("a");
    a.receive(alive(record("b")), START);
    const auto outcome = a.receive({{record("b"), MemberOpinion::Failed}}, START);
    CHECK(isLiving(*a.find(ServerId("b"))));
    CHECK(outcome.tell.front().opinion == MemberOpinion::Suspected);
    a.tick(START + seconds(2));
    CHECK_FALSE(isLiving(*a.find(ServerId("b"))));
}

TEST_CASE("equal tables have equal digests, whatever the order of the news", "[membership]")
{
    Membership a = table("a");
    Membership b = table("b");
    for (const char *name : {"c", "d", "e"})
        a.receive(alive(record(name)), START);
    for (const char *name : {"e", "c", "d"})
        b.receive(alive(record(name)), START);
    a.receive(alive(b.self()), START);
    CHECK(a.digest() != b.digest());
    b.receive(alive(a.self()), START);
    CHECK(a.digest() == b.digest());
    CHECK(a.claims(DataCentreId("dc-1")).size() == 5);
}

TEST_CASE("all daemons agree on the relays, and links connect all of a data centre", "[membership]")
{
    constexpr int COUNT = 40;
    std::vector<Membership> all;
    for (int i = 0; i < COUNT; i++)
        all.push_back(table("s" + std::to_string(i)));
    for (Membership &one : all) {
        for (const Membership &other : all)
            one.receive(alive(other.self()), START);
    }
    std::set<ServerId> reached = {all[0].self().id};
    std::vector<ServerId> open = {all[0].self().id};
    while (!open.empty()) {
        const ServerId from = open.back();
        open.pop_back();
        for (const Membership &one : all) {
            const auto targets = one.linkTargets(3);
            CHECK(targets.size() == 3);
            for (const ServerId &target : targets) {
                if (one.self().id == from && reached.insert(target).second)
                    open.push_back(target);
            }
        }
    }
    CHECK(reached.size() == COUNT);
    int relays = 0;
    for (const Membership &one : all) {
        CHECK(one.relays(DataCentreId("dc-1")) == all[0].relays(DataCentreId("dc-1")));
        relays += one.isRelay() ? 1 : 0;
    }
    CHECK(relays == 2);
}

TEST_CASE("a server that has left wants no links", "[membership]")
{
    Membership a = table("a");
    a.receive(alive(record("b")), START);
    a.announce(MemberState::Gone, START);
    CHECK(a.linkTargets(3).empty());
}
