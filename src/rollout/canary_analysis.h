/** @file canary_analysis.h Compares the servers of a target version with those of the baseline. */
#pragma once

#include "rollout/rollout_type.h"

#include <deque>
#include <map>
#include <string>

namespace cornelwell {

/** Thresholds of the analysis. */
struct AnalysisOptions
{
    /** Windows in which answers are compared, each on its own: a version that turned bad, or is bad
     * under load, shows in the shortest, one with few requests in the longest. */
    std::array<Duration, 3> windows = {Duration{1500}, Duration{4000}, Duration{10000}};
    Duration staleAfter = {2600};    ///< Counts that were not renewed for this long are not used.
    std::uint64_t minAnswers = 6;    ///< Answers on a route below which a server is not judged.
    std::uint64_t aloneAnswers = 20; ///< The same when only one target server is ready.
    std::uint64_t minFailures = 2;   ///< One failure may be chance.
    double failureMargin = 0.15;     ///< Bad above the baseline's failure share plus this.
    double failureShareAlone = 0.25; ///< Bad above this when no baseline value is known.
    double timeFactor = 3.0;         ///< Bad above the baseline's time multiplied by this.
    double suspectFailureMargin = 0.075; ///< Suspect above this margin.
    double suspectTimeFactor = 2.0;      ///< Suspect above this factor.
    std::size_t minServers = 3;          ///< Servers that must agree, unless fewer are ready.
};

/** Result of the analysis, with the figures of the worst route. */
struct Analysis
{
    bool bad = false;                ///< The target version is bad.
    bool suspect = false;            ///< It may be bad.
    std::string route;               ///< Route of the figures below.
    bool byTime = false;             ///< Found by time, not by failures.
    unsigned servers = 0;            ///< Target servers with enough answers on the route.
    unsigned badServers = 0;         ///< Those beyond a threshold.
    std::uint64_t answers = 0;       ///< Answers of these servers in the window.
    std::uint64_t failures = 0;      ///< Failures among them.
    double targetMs = 0;             ///< Median of the servers' median times, in ms.
    double baselineMs = 0;           ///< The same of the baseline.
    double baselineFailureShare = 0; ///< Median failure share of the baseline.
    std::uint64_t targetAnswers = 0; ///< Answers of all target servers so far, on all routes.
};

/** Keeps the counts that servers reported over the window and judges a version by them. */
class CanaryAnalysis
{
public:
    explicit CanaryAnalysis(AnalysisOptions options) : m_options(options) {}

    /** Takes the counts that a daemon reported for its server. */
    void add(const ServerId &daemon, const DataCentreId &dataCentre, const ServerEvidence &evidence,
             TimePoint now);
    /** Forgets all counts. */
    void clear() { m_servers.clear(); }
    /**
     * Judges a version. Each server is compared with the baseline servers of its own data centre.
     * @param target The version.
     * @param baseline Versions of the baseline.
     * @param readyTargets Servers of the target version that are known to be ready.
     * @param now Time.
     */
    Analysis analyse(const std::string &target, const std::vector<std::string> &baseline,
                     std::size_t readyTargets, TimePoint now);

private:
    /** Counts at one time. */
    struct Snapshot
    {
        TimePoint at;
        ServerEvidence evidence;
    };
    /** Reports of one server, oldest first. */
    struct Server
    {
        DataCentreId dataCentre;
        std::deque<Snapshot> snapshots;
    };
    /** Median values of the baseline servers on a route in a data centre. */
    struct Baseline
    {
        double failureShare = 0;
        double ms = 0;
    };
    /** Values of one server on a route. */
    struct Sample
    {
        DataCentreId dataCentre;
        RouteEvidence counts;
        double failureShare = 0;
        double ms = 0;
    };

    std::map<std::string, std::vector<Sample>> samples(const std::vector<std::string> &versions,
                                                       Duration window, TimePoint now) const;
    void updateBaseline(const std::vector<std::string> &versions, TimePoint now);
    Analysis judgeRoute(const std::string &route, const std::vector<Sample> &values,
                        std::size_t needed) const;
    static RouteEvidence windowOf(const Server &server, const RouteEvidence &newest,
                                  Duration window, TimePoint now);
    const Baseline *baselineFor(const std::string &route, const DataCentreId &dataCentre) const;

    const AnalysisOptions m_options;
    std::map<ServerId, Server> m_servers;
    /** Last known values by route and data centre; they stand while there are no answers. */
    std::map<std::pair<std::string, DataCentreId>, Baseline> m_baseline;
};

} // namespace cornelwell
