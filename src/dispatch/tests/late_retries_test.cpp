/** @file late_retries_test.cpp Ranks and advice under a wave of callers that come back after a
 * refusal, and of nested calls where a called service has lost servers. */
#include "dispatch/call_rank.h"
#include "dispatch/retry_advice.h"
#include "hosting/host_scheduler.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};
constexpr Duration WORK{100};
constexpr Duration SOFT_TIME{400};
constexpr unsigned SLOTS = 4;

RequestAttributes attributesOf(unsigned priority, bool isRetry, TimePoint softDeadline)
{
    RequestAttributes attributes;
    const auto route = std::make_shared<Route>();
    route->priority = priority;
    attributes.route = route;
    attributes.isRetry = isRetry;
    attributes.softDeadline = softDeadline;
    return attributes;
}

unsigned rankOf(const RequestAttributes &attributes, CallRankOptions options = {})
{
    return callRank(attributes, WORK, options, NOW);
}

/** A server of SLOTS slots whose calls all take WORK. */
class SlotServer
{
public:
    SlotServer()
    {
        ServerReport report;
        report.instance = "a";
        report.service = ServiceName("desk");
        report.slots = SLOTS;
        report.sequence = 1;
        report.startTimeMs = 10;
        m_scheduler.handleReport(report, now);
        // The processing time is learnt before the load begins.
        for (int i = 0; i < 50; i++) {
            submit(1, now + SOFT_TIME, false);
            advance(WORK);
        }
        inTime = 0;
    }

    HostCallId submit(unsigned rank, TimePoint softDeadline, bool isRetry)
    {
        HostCall call;
        call.id = ++m_last;
        call.route = "r";
        call.rank = rank;
        call.softDeadline = softDeadline;
        call.deadline = now + Duration{4000};
        call.isRetry = isRetry;
        m_softDeadlines[call.id] = softDeadline;
        apply(m_scheduler.submit(call, now));
        return m_last;
    }
    void advance(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now = now + Duration{1}) {
            while (!m_ends.empty() && m_ends.begin()->first <= now.ms) {
                const HostCallId id = m_ends.begin()->second;
                m_ends.erase(m_ends.begin());
                inTime += now <= m_softDeadlines[id] ? 1 : 0;
                apply(m_scheduler.complete(id, HostFinish::Served, WORK, now));
            }
        }
    }

    TimePoint now = NOW;
    unsigned inTime = 0; ///< Calls that ended before their soft deadline.

private:
    void apply(const HostDecisions &decisions)
    {
        for (const HostDecision &decision : decisions) {
            if (decision.verdict == HostVerdict::Start)
                m_ends.emplace((now + WORK).ms, decision.id);
        }
    }

    HostScheduler m_scheduler{HostSchedulerOptions()};
    HostCallId m_last = 0;
    std::multimap<std::int64_t, HostCallId> m_ends;
    std::map<HostCallId, TimePoint> m_softDeadlines;
};

constexpr int WAVES = 50;
constexpr int WAVE_CALLS = 12; ///< Late retries, and new calls, of one wave; 16 slots are free.

/** Plays waves of late retries, each with as many new calls behind it. @return new calls in time.
 */
unsigned playWaves(const CallRankOptions &options)
{
    SlotServer server;
    const auto submit = [&](bool isRetry, TimePoint softDeadline) {
        const RequestAttributes attributes = attributesOf(2, isRetry, softDeadline);
        server.submit(callRank(attributes, WORK, options, server.now), softDeadline, isRetry);
    };
    for (int wave = 0; wave < WAVES; wave++) {
        for (int i = 0; i < WAVE_CALLS; i++)
            submit(true, server.now - Duration{50});
        server.advance(Duration{5});
        for (int i = 0; i < WAVE_CALLS; i++)
            submit(false, server.now + SOFT_TIME);
        server.advance(Duration{395});
    }
    return server.inTime;
}

} // namespace

// Guards against a wave of callers that come back too late to be in time, and make new callers, who
// could be in time, late or refused.
TEST_CASE("a wave of late retries does not take the place of requests in time", "[dispatch]")
{
    CallRankOptions alike;
    alike.lateLast = false;
    constexpr unsigned IN_TIME_MIN = WAVES * WAVE_CALLS * 95 / 100;
    CHECK(playWaves({}) >= IN_TIME_MIN);
    CHECK(playWaves(alike) < IN_TIME_MIN);
}

// Guards against a late retry that goes behind requests of a less urgent priority.
TEST_CASE("a late retry goes behind its own priority only", "[dispatch]")
{
    const TimePoint past = NOW - Duration{1};
    const TimePoint ahead = NOW + SOFT_TIME;
    const unsigned late = rankOf(attributesOf(1, true, past));
    CHECK(late > rankOf(attributesOf(1, false, ahead)));
    CHECK(rankOf(attributesOf(1, true, ahead)) == rankOf(attributesOf(1, false, ahead)));
    RequestAttributes nested = attributesOf(2, false, ahead);
    nested.fromLocalServer = true;
    CHECK(late < rankOf(nested));
    CHECK(late < rankOf(attributesOf(2, false, ahead)));
    // A request in its time that is no retry keeps its rank, however little time is left.
    CHECK(rankOf(attributesOf(1, false, past)) == rankOf(attributesOf(1, false, ahead)));
}

// Guards against calls of less urgent requests that displace urgent ones at a called service that
// has lost two of three servers: the nested call's own route may have the higher priority.
TEST_CASE("a nested call has the rank of the request that makes it", "[dispatch]")
{
    const TimePoint ahead = NOW + SOFT_TIME;
    const unsigned urgent = rankOf(attributesOf(1, false, ahead));
    const unsigned caller = rankOf(attributesOf(2, false, ahead));
    const unsigned lateCaller = rankOf(attributesOf(2, true, NOW - Duration{1}));
    RequestAttributes nested = attributesOf(1, false, ahead);
    nested.fromLocalServer = true;
    CHECK(rankOf(nested) < urgent);
    nested.callerRank = caller;
    CHECK(rankOf(nested) > urgent);
    CHECK(rankOf(nested) < caller);
    CallRankOptions own;
    own.nestedRanks = false;
    CHECK(rankOf(nested, own) < urgent);
    nested.callerRank = lateCaller;
    CHECK(rankOf(nested) < caller);
    // A chain of 18 services stays within the priority of its first request.
    nested.callerRank = caller;
    for (int depth = 0; depth < 18; depth++)
        nested.callerRank = rankOf(nested);
    CHECK(rankOf(nested) > urgent);
    CHECK(rankOf(nested) < caller);
}

// Guards against callers that spend all their retries in the first moments of an overload.
TEST_CASE("a retry that can only be late is advised to come much later", "[dispatch]")
{
    RefusedRequest request{{60}, {100}, NOW + Duration{500}, NOW + Duration{3000}};
    CHECK(retryAdvice(request, {}, NOW).ms == 60);
    request.hostAdvice = {450};
    CHECK(retryAdvice(request, {}, NOW).ms == 1000);
    RetryAdviceOptions always;
    always.lateAdvice = false;
    CHECK(retryAdvice(request, always, NOW).ms == 450);
    // Not longer than the caller accepts, also when the hosts are busy for longer.
    request.hostAdvice = {5000};
    CHECK(retryAdvice(request, always, NOW).ms == 1000);
    request.hostAdvice = {0};
    CHECK(retryAdvice(request, {}, NOW).ms == 150);
    request.callerDeadline = NOW;
    CHECK(retryAdvice(request, {}, NOW).ms == 150);
}
