/** @file admission_test.cpp Slots, queues, weights and deadlines. */
#include "admission/admission.h"
#include "base/random.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};
constexpr TimePoint FAR{200000};

Admission gate(std::uint32_t slots, std::uint32_t queue)
{
    return Admission(AdmissionOptions{slots, queue, {10}});
}

} // namespace

TEST_CASE("slots first, then the queue, then a truthful refusal with advice", "[admission]")
{
    Admission admission = gate(1, 1);
    CHECK(admission.ask(RequestClass::Normal, FAR, NOW).verdict == AdmissionVerdict::Run);
    CHECK(admission.ask(RequestClass::Normal, FAR, NOW).verdict == AdmissionVerdict::Wait);
    CHECK(admission.ask(RequestClass::Normal, FAR, NOW).code == ResultCode::CallOverloaded);
    CHECK(admission.ask(RequestClass::Normal, FAR, NOW).retryAfter > Duration{0});
    CHECK(admission.release({10}, NOW).size() == 1);
    CHECK(admission.running() == 1);
    CHECK(admission.release({10}, NOW).empty());
    CHECK(admission.running() == 0);
}

TEST_CASE("a request that cannot make its deadline is refused at once", "[admission]")
{
    Admission admission = gate(1, 100);
    CHECK(admission.ask(RequestClass::Normal, NOW, NOW).code == ResultCode::CallDeadline);
    admission.ask(RequestClass::Normal, FAR, NOW);
    CHECK(admission.ask(RequestClass::Normal, NOW + milliseconds(15), NOW).code
          == ResultCode::CallDeadline);
    CHECK(admission.ask(RequestClass::Normal, NOW + milliseconds(25), NOW).verdict
          == AdmissionVerdict::Wait);
    CHECK(admission.expire(NOW + milliseconds(20)).size() == 1);
    CHECK(admission.waiting() == 0);
}

TEST_CASE("classes share a busy server by weight and none starves", "[admission]")
{
    Admission admission = gate(1, 4000);
    admission.ask(RequestClass::Normal, FAR, NOW);
    std::map<TicketId, std::size_t> classes;
    for (int i = 0; i < 150; i++) {
        for (std::size_t c = 0; c < REQUEST_CLASS_COUNT; c++) {
            const auto answer = admission.ask(static_cast<RequestClass>(c), FAR, NOW);
            REQUIRE(answer.verdict == AdmissionVerdict::Wait);
            classes[answer.ticket] = c;
        }
    }
    std::map<std::size_t, int> served;
    for (int i = 0; i < 150; i++) {
        for (const TicketId ticket : admission.release({1}, NOW))
            served[classes.at(ticket)]++;
    }
    CHECK(served[0] == 10);
    CHECK(served[1] == 20);
    CHECK(served[2] == 40);
    CHECK(served[3] == 80);
}

TEST_CASE("a full queue of one class leaves the other classes their part", "[admission]")
{
    Admission admission = gate(1, 30);
    admission.ask(RequestClass::Background, FAR, NOW);
    for (int i = 0; i < 200; i++)
        admission.ask(RequestClass::Background, FAR, NOW);
    CHECK(admission.waiting() == 30);
    CHECK(admission.ask(RequestClass::Critical, FAR, NOW).verdict == AdmissionVerdict::Wait);
    CHECK(admission.ask(RequestClass::Background, FAR, NOW).verdict == AdmissionVerdict::Refuse);
}

TEST_CASE("under any order of events no more run than there are slots", "[admission]")
{
    for (std::uint64_t seed = 1; seed <= 50; seed++) {
        Random random(seed);
        Admission admission = gate(4, 12);
        TimePoint now = NOW;
        std::vector<TicketId> waiting;
        std::uint32_t running = 0;
        for (int step = 0; step < 400; step++) {
            now = now + milliseconds(static_cast<std::int64_t>(random.below(5)));
            if (random.chance(500)) {
                const auto answer = admission.ask(
                    static_cast<RequestClass>(random.below(REQUEST_CLASS_COUNT)),
                    now + milliseconds(static_cast<std::int64_t>(random.below(80))), now);
                running += answer.verdict == AdmissionVerdict::Run ? 1 : 0;
                if (answer.verdict == AdmissionVerdict::Wait)
                    waiting.push_back(answer.ticket);
            } else if (running > 0) {
                running--;
                running += static_cast<std::uint32_t>(admission.release({3}, now).size());
            } else if (!waiting.empty()) {
                admission.withdraw(waiting.back());
                waiting.pop_back();
            }
            REQUIRE(admission.running() == running);
            REQUIRE(running <= 4);
        }
    }
}
