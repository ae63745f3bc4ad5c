/** @file canary_analysis.cpp Windows of counts, baseline medians, thresholds. */
#include "rollout/canary_analysis.h"

#include "rollout/evidence_counter.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr std::size_t SUSPECT_SERVERS_MIN = 2;

/** Subtracts earlier counts. */
void subtract(RouteEvidence &counts, const RouteEvidence &earlier)
{
    counts.answers -= std::min(counts.answers, earlier.answers);
    counts.failures -= std::min(counts.failures, earlier.failures);
    for (std::size_t i = 0; i < EVIDENCE_BUCKETS; i++)
        counts.times[i] -= std::min(counts.times[i], earlier.times[i]);
}

std::uint64_t timeCount(const RouteEvidence &counts)
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : counts.times)
        sum += count;
    return sum;
}

const RouteEvidence *routeOf(const ServerEvidence &evidence, const std::string &route)
{
    const auto found = std::find_if(evidence.routes.begin(), evidence.routes.end(),
                                    [&](const RouteEvidence &one) { return one.route == route; });
    return found == evidence.routes.end() ? nullptr : &*found;
}

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[(values.size() - 1) / 2];
}

} // namespace

void CanaryAnalysis::add(const ServerId &daemon, const DataCentreId &dataCentre,
                         const ServerEvidence &evidence, TimePoint now)
{
    Server &server = m_servers[daemon];
    server.dataCentre = dataCentre;
    if (!server.snapshots.empty() && server.snapshots.back().evidence.instance != evidence.instance)
        server.snapshots.clear();
    // A first report stands for all that came before it.
    if (server.snapshots.empty())
        server.snapshots.push_back({now, {evidence.instance, evidence.version, {}}});
    server.snapshots.push_back({now, evidence});
    while (server.snapshots.size() > 2 && now - server.snapshots[1].at >= m_options.windows.back())
        server.snapshots.pop_front();
}

/** @return the counts of the window that ends with the newest report. */
RouteEvidence CanaryAnalysis::windowOf(const Server &server, const RouteEvidence &newest,
                                       Duration window, TimePoint now)
{
    RouteEvidence counts = newest;
    const Snapshot *base = &server.snapshots.front();
    for (const Snapshot &snapshot : server.snapshots) {
        if (now - snapshot.at >= window)
            base = &snapshot;
    }
    if (const RouteEvidence *earlier = routeOf(base->evidence, newest.route))
        subtract(counts, *earlier);
    return counts;
}

std::map<std::string, std::vector<CanaryAnalysis::Sample>>
CanaryAnalysis::samples(const std::vector<std::string> &versions, Duration window,
                        TimePoint now) const
{
    std::map<std::string, std::vector<Sample>> byRoute;
    for (const auto &[daemon, server] : m_servers) {
        const Snapshot &newest = server.snapshots.back();
        if (now - newest.at > m_options.staleAfter
            || std::find(versions.begin(), versions.end(), newest.evidence.version)
                   == versions.end())
            continue;
        for (const RouteEvidence &route : newest.evidence.routes) {
            Sample sample{server.dataCentre, windowOf(server, route, window, now), 0, 0};
            if (timeCount(sample.counts) < m_options.minAnswers)
                continue;
            const auto answers = static_cast<double>(sample.counts.answers);
            sample.failureShare = sample.counts.answers < m_options.minAnswers
                                      ? 0
                                      : static_cast<double>(sample.counts.failures) / answers;
            sample.ms = medianTimeMs(sample.counts.times);
            byRoute[route.route].push_back(std::move(sample));
        }
    }
    return byRoute;
}

const CanaryAnalysis::Baseline *CanaryAnalysis::baselineFor(const std::string &route,
                                                            const DataCentreId &dataCentre) const
{
    const auto found = m_baseline.find({route, dataCentre});
    return found == m_baseline.end() ? nullptr : &found->second;
}

/** Takes over the baseline's values; those of a longer window stand where a shorter one has none.
 */
void CanaryAnalysis::updateBaseline(const std::vector<std::string> &versions, TimePoint now)
{
    for (const Duration window : {m_options.windows[2], m_options.windows[1]}) {
        for (const auto &[route, values] : samples(versions, window, now)) {
            std::map<DataCentreId, std::pair<std::vector<double>, std::vector<double>>> lists;
            for (const Sample &sample : values) {
                lists[sample.dataCentre].first.push_back(sample.failureShare);
                lists[sample.dataCentre].second.push_back(sample.ms);
            }
            for (const auto &[dataCentre, pair] : lists)
                m_baseline[{route, dataCentre}] = {median(pair.first), median(pair.second)};
        }
    }
}

Analysis CanaryAnalysis::judgeRoute(const std::string &route, const std::vector<Sample> &values,
                                    std::size_t needed) const
{
    unsigned badByFailures = 0;
    unsigned suspectByFailures = 0;
    unsigned badByTime = 0;
    unsigned suspectByTime = 0;
    Analysis found;
    std::vector<double> times;
    std::vector<double> baselineTimes;
    std::vector<double> baselineShares;
    for (const Sample &sample : values) {
        const Baseline *base = baselineFor(route, sample.dataCentre);
        const bool chance = sample.counts.failures < m_options.minFailures;
        const double share = base != nullptr ? base->failureShare : 0;
        const double margin
            = base != nullptr ? m_options.failureMargin : m_options.failureShareAlone;
        badByFailures += !chance && sample.failureShare > share + margin ? 1 : 0;
        suspectByFailures
            += !chance && sample.failureShare > share + m_options.suspectFailureMargin ? 1 : 0;
        if (base != nullptr && base->ms > 0) {
            badByTime += sample.ms > base->ms * m_options.timeFactor ? 1 : 0;
            suspectByTime += sample.ms > base->ms * m_options.suspectTimeFactor ? 1 : 0;
            baselineTimes.push_back(base->ms);
            baselineShares.push_back(base->failureShare);
        }
        found.answers += sample.counts.answers;
        found.failures += sample.counts.failures;
        times.push_back(sample.ms);
    }
    found.servers = static_cast<unsigned>(values.size());
    const bool enough
        = found.servers >= needed && (needed > 1 || found.answers >= m_options.aloneAnswers);
    const auto most = [&](unsigned count) { return count > 0 && count * 3 >= found.servers * 2; };
    const auto isBad = [&](unsigned count) { return enough && count >= needed && most(count); };
    found.bad = isBad(badByFailures) || isBad(badByTime);
    // One server alone is suspect only where no other one is ready.
    const auto isSuspect = [&](unsigned count) {
        return count >= std::min<std::size_t>(needed, SUSPECT_SERVERS_MIN) && most(count);
    };
    found.suspect = isSuspect(suspectByFailures) || isSuspect(suspectByTime);
    found.byTime = !isBad(badByFailures) && (isBad(badByTime) || !isSuspect(suspectByFailures));
    if (found.byTime)
        found.badServers = found.bad ? badByTime : suspectByTime;
    else
        found.badServers = found.bad ? badByFailures : suspectByFailures;
    found.route = route;
    found.targetMs = median(times);
    found.baselineMs = median(baselineTimes);
    found.baselineFailureShare = median(baselineShares);
    return found;
}

Analysis CanaryAnalysis::analyse(const std::string &target,
                                 const std::vector<std::string> &baseline, std::size_t readyTargets,
                                 TimePoint now)
{
    updateBaseline(baseline, now);
    Analysis worst;
    const std::size_t needed
        = std::min(m_options.minServers, std::max<std::size_t>(1, readyTargets));
    for (const Duration window : m_options.windows) {
        for (const auto &[route, values] : samples({target}, window, now)) {
            const Analysis found = judgeRoute(route, values, needed);
            if (worst.route.empty() || (found.bad && !worst.bad)
                || (found.bad == worst.bad && found.suspect && !worst.suspect))
                worst = found;
        }
    }
    for (const auto &[daemon, server] : m_servers) {
        const ServerEvidence &newest = server.snapshots.back().evidence;
        for (const RouteEvidence &route : newest.routes)
            worst.targetAnswers += newest.version == target ? route.answers : 0;
    }
    return worst;
}

} // namespace cornelwell
