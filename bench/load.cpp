/** @file load.cpp Callers as threads over kept connections. */
#include "load.h"

#include "base/random.h"
#include "http/http_client.h"
#include "proxy/call_type.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <thread>

namespace cornelwell {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr Duration CALL_MARGIN = {1000}; ///< A caller waits this much longer than its patience.
constexpr std::chrono::milliseconds START_IN(100); ///< Time for the threads to get ready.
constexpr double MICROSECONDS_PER_MILLISECOND = 1000.0;

/** One planned call. */
struct Arrival
{
    double atMs = 0;
    std::size_t kind = 0;
    std::size_t target = 0;
};

/** A number from 0 to 1, the same on every machine. */
double unit(Random &random)
{
    return static_cast<double>(random.bits() >> 11) / static_cast<double>(1ULL << 53);
}

std::vector<Arrival> plannedArrivals(const LoadPlan &plan)
{
    Random random(plan.seed);
    std::uint64_t weights = 0;
    for (const LoadCall &call : plan.calls)
        weights += call.weight;
    std::vector<Arrival> arrivals;
    double at = 0;
    while (true) {
        at += -std::log(1.0 - unit(random)) * 1000.0 / plan.ratePerSecond;
        if (at >= plan.seconds * 1000.0)
            return arrivals;
        std::uint64_t pick = random.below(weights);
        std::size_t kind = 0;
        while (pick >= plan.calls[kind].weight)
            pick -= plan.calls[kind++].weight;
        arrivals.push_back({at, kind, random.below(plan.targets.size())});
    }
}

/** A request on the users' platform. */
HttpRequest platformRequest(const LoadPlan &plan, const LoadCall &call, const std::string &token)
{
    HttpRequest request;
    request.method = call.method;
    request.path = call.path;
    request.headers.add("Host", plan.host);
    request.headers.add(plan.fields->requestId, token);
    request.headers.add(plan.fields->deadline, std::to_string(call.patience.ms));
    if (call.method != "GET")
        request.body = "body of " + token;
    return request;
}

/** An answer there: a failure of the server is an answer too, of its own request. */
void judgePlatform(CallRecord &record, const CallFields &fields, const HttpOutcome &outcome,
                   const HttpRequest &request)
{
    record.failed = outcome.failure != HttpFailure::None;
    if (record.failed)
        return;
    const HttpResponse &response = outcome.response;
    const bool own
        = response.headers.get(fields.requestId) == request.headers.get(fields.requestId);
    const bool sealed = response.headers.has(fields.signature);
    record.code = response.status;
    record.notRun = own && !sealed && response.status == 503;
    record.unknown = own && !sealed && !record.notRun;
    record.answered
        = own && sealed
          && (response.status != 200 || response.body == request.path + "\n" + request.body);
    record.wrong = !record.answered && !record.notRun && !record.unknown;
}

HttpRequest requestOf(const LoadCall &call, const std::string &token, bool keyed)
{
    HttpRequest request;
    request.method = call.method;
    request.path = call.path;
    request.headers.add("Standin-Token", token);
    if (call.workMs > 0)
        request.headers.add("Standin-Work-Ms", std::to_string(call.workMs));
    if (keyed)
        request.headers.add(header::KEY, token);
    if (call.method != "GET")
        request.body = "body of " + token;
    return request;
}

/** True when the answer is the stand-in's answer to just this request. */
bool isOwnAnswer(const HttpResponse &response, const std::string &token, const std::string &body)
{
    const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
    return answer.is_object() && answer.value("token", "") == token
           && answer.value("echo", "") == body;
}

void judge(CallRecord &record, const HttpOutcome &outcome, const std::string &token,
           const std::string &body)
{
    record.answered = record.notRun = record.unknown = record.failed = false;
    if (outcome.failure != HttpFailure::None) {
        record.failed = true;
        return;
    }
    const std::string_view told = outcome.response.headers.get(header::OUTCOME);
    record.code = std::atoi(std::string(outcome.response.headers.get(header::CODE)).c_str());
    record.notRun = told == "not-run";
    record.unknown = told == "unknown";
    if (record.notRun || record.unknown)
        return;
    record.answered = isOwnAnswer(outcome.response, token, body);
    record.wrong = !record.answered;
}

} // namespace

std::vector<CallRecord> runLoad(const LoadPlan &plan)
{
    const std::vector<Arrival> arrivals = plannedArrivals(plan);
    std::vector<CallRecord> records(arrivals.size());
    const SystemClock clock;
    HttpClient client(clock, plan.threads);
    std::atomic<std::size_t> next{0};
    const auto start = SteadyClock::now() + START_IN;
    const auto caller = [&] {
        for (std::size_t i = next++; i < arrivals.size(); i = next++) {
            const LoadCall &call = plan.calls[arrivals[i].kind];
            const auto intended = start
                                  + std::chrono::microseconds(static_cast<std::int64_t>(
                                      arrivals[i].atMs * MICROSECONDS_PER_MILLISECOND));
            std::this_thread::sleep_until(intended);
            const std::string token = plan.prefix + "-" + std::to_string(i);
            const HttpRequest request = plan.fields ? platformRequest(plan, call, token)
                                                    : requestOf(call, token, call.keyed);
            CallRecord &record = records[i];
            record.kind = arrivals[i].kind;
            record.key = call.keyed ? token : "";
            std::size_t target = arrivals[i].target;
            for (unsigned tries = 0; tries <= call.repeats; tries++) {
                HttpBounds bounds;
                bounds.deadline = clock.now() + call.patience + CALL_MARGIN;
                const HttpOutcome outcome = client.execute(plan.targets[target], request, bounds);
                if (plan.fields)
                    judgePlatform(record, *plan.fields, outcome, request);
                else
                    judge(record, outcome, token, request.body);
                if (!record.unknown && !record.failed)
                    break;
                target = (target + 1) % plan.targets.size();
            }
            const auto spent = std::chrono::duration_cast<std::chrono::microseconds>(
                SteadyClock::now() - intended);
            record.latencyMs = static_cast<double>(spent.count()) / MICROSECONDS_PER_MILLISECOND;
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < plan.threads; i++)
        threads.emplace_back(caller);
    for (std::thread &thread : threads)
        thread.join();
    return records;
}

double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0;
    const auto rank
        = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1) + 0.5);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

LoadSummary summarise(const std::vector<CallRecord> &records, const LoadPlan &plan, int kind)
{
    LoadSummary summary;
    std::vector<double> latencies;
    for (const CallRecord &record : records) {
        if (kind >= 0 && record.kind != static_cast<std::size_t>(kind))
            continue;
        summary.sent++;
        summary.answered += record.answered ? 1 : 0;
        summary.notRun += record.notRun ? 1 : 0;
        summary.unknown += record.unknown ? 1 : 0;
        summary.failed += record.failed ? 1 : 0;
        summary.wrong += record.wrong ? 1 : 0;
        if (!record.answered)
            continue;
        latencies.push_back(record.latencyMs);
        const auto patience = static_cast<double>(plan.calls[record.kind].patience.ms);
        summary.good += record.latencyMs <= patience ? 1 : 0;
    }
    summary.p50Ms = quantileOf(latencies, 0.5);
    summary.p99Ms = quantileOf(latencies, 0.99);
    summary.p999Ms = quantileOf(latencies, 0.999);
    return summary;
}

} // namespace cornelwell
