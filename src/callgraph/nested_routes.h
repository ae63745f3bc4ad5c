/** @file nested_routes.h Learns on which routes the local server calls other servers. */
#pragma once

#include "base/clock_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace cornelwell {

/** Weights and bounds of NestedRoutes. */
struct NestedRoutesOptions
{
    bool enabled = true; ///< False: no route is taken for one of nested calls.
    /** Longest time from the answer of a nested call to the end of the request that made it. */
    Duration effectTime{5};
    double smoothing = 0.02;  ///< Weight of an answer in the shares; below 1 / samplesMin.
    unsigned samplesMin = 30; ///< Answers on a route before it can be taken for nested.
    double liftMin = 0.3;     ///< Lift from which a route is taken for nested.
    double liftKept = 0.15;   ///< Lift below which it no longer is; less than liftMin.
};

/**
 * Tells routes of nested calls, which the local server makes while it runs a request, from those of
 * other callers on the VM. Both come from the same address. A server ends a request soon after the
 * nested call that it waits for has been answered; other answers are as often followed by the end
 * of a request as they are preceded by one. Does no input or output.
 */
class NestedRoutes
{
public:
    explicit NestedRoutes(NestedRoutesOptions options = {}) : m_options(options) {}

    /** Records that a request from the local server's address was answered. */
    void recordAnswer(const std::string &route, TimePoint now);
    /** Records that the local server ended a request. @param rank Rank of the request. */
    void recordEnd(unsigned rank, TimePoint now);
    /** @return true when the requests of the route are nested calls of the local server. */
    bool isNested(const std::string &route) const;
    /**
     * @return the rank of the requests that make the nested calls of the route; the lowest one when
     * they differ. Nothing when the route is not nested.
     */
    std::optional<unsigned> callerRank(const std::string &route) const;
    /** @return how much more often an end follows an answer of the route than precedes it, as a
     * share of the answers that none precedes; 0 when the route is unknown. */
    double lift(const std::string &route) const;
    /** @return number of routes that are taken for nested. */
    std::size_t nestedCount() const;

private:
    /** What was learnt of a route. */
    struct RouteShares
    {
        double endAfter = 0;  ///< Share of answers that an end followed within effectTime.
        double endBefore = 0; ///< Share of answers that an end preceded within effectTime.
        unsigned samples = 0; ///< Answers, up to samplesMin.
        bool nested = false;
        std::map<unsigned, double> callerRanks; ///< Share of the ends, by rank of the request.
    };
    /** An answer that may still be followed by an end. */
    struct RecentAnswer
    {
        std::string route;
        TimePoint at{0};
        bool endBefore = false;
    };

    void settle(TimePoint now);
    RouteShares &learn(const RecentAnswer &answer, bool endAfter);
    void learnRank(RouteShares &shares, unsigned rank) const;
    static double liftOf(const RouteShares &shares);

    const NestedRoutesOptions m_options;
    std::unordered_map<std::string, RouteShares> m_routes;
    std::deque<RecentAnswer> m_recent; ///< Answers of the last effectTime, oldest first.
    TimePoint m_lastEnd{-1000000};
};

} // namespace cornelwell
