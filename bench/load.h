/** @file load.h Open-loop load: seeded arrivals, latency from the intended time, answers checked.
 */
#pragma once

#include "base/clock.h"
#include "base/identifier_type.h"
#include "http/http_type.h"
#include "node/platform_adapter.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cornelwell {

/** One kind of call in a load. */
struct LoadCall
{
    std::string label;          ///< Name in the results.
    std::string method;         ///< HTTP method.
    std::string path;           ///< Path.
    unsigned weight = 1;        ///< Share of the calls.
    std::int64_t workMs = 0;    ///< Time that the stand-in is asked to take; 0 for its own.
    Duration patience = {2000}; ///< A call that takes longer does not count as good.
    bool keyed = false;         ///< Carries an Idempotency-Key of its own.
    unsigned repeats
        = 0; ///< Sends of the same request by an impatient caller when the outcome is open.
};

/** A load. */
struct LoadPlan
{
    std::vector<Endpoint> targets;    ///< Where callers connect; chosen at random.
    std::vector<LoadCall> calls;      ///< Kinds of call.
    double ratePerSecond = 100;       ///< Mean of the exponential arrivals.
    double seconds = 5;               ///< Length.
    unsigned threads = 32;            ///< Callers at once, at most.
    std::uint64_t seed = 1;           ///< Of arrivals, targets, kinds.
    std::string prefix = "load";      ///< Beginning of tokens and keys.
    std::optional<CallFields> fields; ///< The users' platform is spoken; else the product's form.
    std::string host;                 ///< Host that callers name, on the users' platform.
};

/** What became of one call. */
struct CallRecord
{
    std::size_t kind = 0;  ///< Index of its kind.
    double latencyMs = 0;  ///< From the intended time to the end of the answer.
    bool answered = false; ///< The whole answer, its own, came.
    bool wrong = false;    ///< An answer that is not its own, or not whole.
    bool notRun = false;   ///< Told that it was not run.
    bool unknown = false;  ///< Told that the outcome is unknown.
    bool failed = false;   ///< No usable answer at all.
    int code = 0;          ///< Result code told.
    std::string key;       ///< Its key, when it has one.
};

/** @return the records of all calls, in order of arrival. */
std::vector<CallRecord> runLoad(const LoadPlan &plan);

/** Counts over some records. */
struct LoadSummary
{
    std::size_t sent = 0;     ///< Calls.
    std::size_t answered = 0; ///< With their own whole answer.
    std::size_t good = 0;     ///< Answered within patience.
    std::size_t notRun = 0;   ///< Told not run.
    std::size_t unknown = 0;  ///< Told unknown.
    std::size_t failed = 0;   ///< Without a usable answer.
    std::size_t wrong = 0;    ///< With somebody else's or a cut answer.
    double p50Ms = 0;         ///< Latency of the answered ones.
    double p99Ms = 0;         ///< Latency of the answered ones.
    double p999Ms = 0;        ///< Latency of the answered ones.
};

/** @return the summary of the records of one kind, or of all. */
LoadSummary summarise(const std::vector<CallRecord> &records, const LoadPlan &plan, int kind = -1);

/** @return the value at a quantile of unsorted values; 0 when there is none. */
double quantileOf(std::vector<double> values, double quantile);

} // namespace cornelwell
