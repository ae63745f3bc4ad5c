/** @file server_choice.cpp Expected loss of each server: missed deadlines, failures, transfers. */
#include "dispatch/server_choice.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cornelwell {

namespace {

constexpr double MS_PER_SECOND = 1000;
constexpr double BYTES_PER_KB = 1024;
constexpr double JITTER_STEPS = 1000;       ///< Number of values that the jitter can take.
constexpr int WAIT_BISECTIONS = 7;          ///< Steps of the bisection for the longest wait.
constexpr double WAIT_SEARCH_MAX_MS = 3000; ///< Upper bound of the bisection for the longest wait.

/** A ready server of the service. */
struct EligibleServer
{
    ServerId daemon;                ///< Hosting daemon.
    const HostLoad *load = nullptr; ///< Last reported load.
    std::uint64_t linkBytes = 0; ///< Large answers that leave over the VM's link before a new one.
    std::uint64_t linkInBytes = 0; ///< Large request bodies that arrive there before a new one.
    bool overLink = false;         ///< Request and answer cross that link.
    unsigned runningOrQueued = 0;  ///< Requests that the server runs or its daemon queues.
    bool otherDataCentre = false;  ///< The server is in another data centre than this daemon.
    bool unresponsive = false;     ///< The hosting daemon is unresponsive.
    double limitWaitMs = 0;        ///< Wait, in ms, for the limit that the server has named.
};

/**
 * @return requests that run or wait at the peer: the last reported number and those that this
 * daemon has sent since then, but at least those that this daemon has pending there.
 */
unsigned runningOrQueuedAt(const Peer &peer)
{
    const unsigned reported = peer.load.running + peer.load.queued;
    const unsigned sentSince = peer.callsInFlight > peer.callsInFlightAtReport
                                   ? peer.callsInFlight - peer.callsInFlightAtReport
                                   : 0;
    return std::max(reported + sentSince, peer.callsInFlight);
}

/**
 * @return wait, in ms, for the limit of the peer's server: the last reported one, less the time
 * since then, and that of the requests that this daemon has sent since then.
 */
double limitWaitAt(const Peer &peer, TimePoint now)
{
    if (peer.load.requestsPerSecond <= 0)
        return 0;
    const unsigned sentSince = peer.callsInFlight > peer.callsInFlightAtReport
                                   ? peer.callsInFlight - peer.callsInFlightAtReport
                                   : 0;
    const auto ageMs = static_cast<double>((now - peer.loadReportedAt).ms);
    return std::max(0.0, peer.load.limitWaitMs - ageMs
                             + sentSince * MS_PER_SECOND / peer.load.requestsPerSecond);
}

/** @return bytes of large answers committed at the peer, counted like runningOrQueuedAt(). */
std::uint64_t linkBytesAt(const Peer &peer)
{
    const std::uint64_t sentSince = peer.bulkBytesInFlight > peer.bulkBytesInFlightAtReport
                                        ? peer.bulkBytesInFlight - peer.bulkBytesInFlightAtReport
                                        : 0;
    return std::max(peer.load.linkBytesCommitted + sentSince, peer.bulkBytesInFlight);
}

/**
 * @return bytes of large request bodies that are on their way to the peer: the last reported number
 * and those that this daemon has offered since then.
 */
std::uint64_t linkInBytesAt(const Peer &peer)
{
    return peer.load.linkInBytesCommitted
           + (peer.uploadBytesInFlight > peer.uploadBytesInFlightAtReport
                  ? peer.uploadBytesInFlight - peer.uploadBytesInFlightAtReport
                  : 0);
}

/** @return loss for the bytes of a request to or from a server of another data centre. */
double otherDataCentreLossOf(const ChoiceRequest &request, const ChoiceOptions &options)
{
    const double uploadKb = static_cast<double>(request.uploadBytes) / BYTES_PER_KB;
    return options.otherDataCentreLoss
           + options.otherDataCentreLossPerKb * (request.transferKb - uploadKb)
           + std::min(options.otherDataCentreLossPerKb * uploadKb,
                      options.otherDataCentreUploadLossMax);
}

/** Versions among which a server is chosen. */
enum class VersionGroup : std::uint8_t
{
    Any,
    Baseline,
    Canaries, ///< Target servers that get the target's share.
    Target,   ///< All target servers.
};

bool isOfGroup(const HostLoad &load, const ServerId &name, const VersionRule *rule,
               VersionGroup group)
{
    switch (group) {
    case VersionGroup::Baseline:
        return std::find(rule->baseline.begin(), rule->baseline.end(), load.version)
               != rule->baseline.end();
    case VersionGroup::Canaries:
        return load.version == rule->target && rule->canaries.count(name) != 0;
    case VersionGroup::Target:
        return load.version == rule->target;
    default:
        return true;
    }
}

std::vector<EligibleServer> eligibleServers(const PeerTable &table, const HostLoad &local,
                                            const ChoiceRequest &request, VersionGroup group,
                                            TimePoint now)
{
    std::vector<EligibleServer> servers;
    const auto isEligible = [&](const HostLoad &load, const ServerId &name) {
        return load.service == request.service && load.state == HostState::Ready
               && request.excluded.count(name) == 0 && isOfGroup(load, name, request.rule, group);
    };
    if (isEligible(local, table.self().name))
        servers.push_back({table.self().name, &local, 0, 0, false, local.running + local.queued,
                           false, false, local.limitWaitMs});
    for (const auto &[name, peer] : table.peers()) {
        if (peer.linked && !peer.shuttingDown && isEligible(peer.load, name))
            servers.push_back({name, &peer.load, linkBytesAt(peer), linkInBytesAt(peer), true,
                               runningOrQueuedAt(peer),
                               peer.record.dataCentre != table.self().dataCentre,
                               !table.isResponsive(peer, now), limitWaitAt(peer, now)});
    }
    return servers;
}

/** Moves a random sample of @p count servers to the front and drops the others. */
void keepRandomSample(std::vector<EligibleServer> &servers, std::size_t count, Random &random)
{
    if (servers.size() <= count)
        return;
    for (std::size_t i = 0; i < count; i++)
        std::swap(servers[i], servers[i + random.below(servers.size() - i)]);
    servers.resize(count);
}

/** @return mean time of a request over the servers that report one, else @p fallbackMs; in ms. */
double meanWorkMs(const std::vector<EligibleServer> &servers, double fallbackMs)
{
    double sumMs = 0;
    unsigned count = 0;
    for (const EligibleServer &server : servers) {
        if (server.load->workMs <= 0)
            continue;
        sumMs += server.load->workMs;
        count++;
    }
    return count == 0 ? fallbackMs : sumMs / count;
}

/**
 * @return probability that a log-normally distributed time exceeds a bound.
 * @param meanMs Mean of the time, in milliseconds.
 * @param boundMs The bound, in milliseconds.
 * @param logStdDev Standard deviation of the logarithm of the time.
 */
double probabilityAbove(double meanMs, double boundMs, double logStdDev)
{
    if (boundMs <= 0)
        return 1;
    const double medianMs = meanMs * std::exp(-logStdDev * logStdDev / 2);
    return 0.5 * std::erfc(std::log(boundMs / medianMs) / (logStdDev * std::sqrt(2.0)));
}

Candidate candidateOf(const EligibleServer &server, double fleetMeanMs,
                      const ChoiceRequest &request, const ChoiceOptions &options, Random &random)
{
    const HostLoad &load = *server.load;
    const double serverMeanMs = load.workMs > 0 ? load.workMs : fleetMeanMs;
    const double routeMeanMs = request.meanWorkMs > 0 ? request.meanWorkMs : fleetMeanMs;
    const double slots = std::max(1U, load.slots);
    const double occupancy = (server.runningOrQueued + 1) / slots;
    const double jitterStep
        = static_cast<double>(random.below(static_cast<std::uint64_t>(JITTER_STEPS)));
    Candidate candidate;
    candidate.daemon = server.daemon;
    candidate.instance = load.instance;
    candidate.workMs = routeMeanMs * serverMeanMs / fleetMeanMs
                       * (1 + options.fullLoadSlowdown * std::min(1.0, occupancy))
                       * (load.cold ? options.coldSlowdownFactor : 1)
                       * (1 + options.workJitter * (2 * jitterStep / JITTER_STEPS - 1));
    const double slotWaitMs = occupancy > 1 ? serverMeanMs * (occupancy - 1) : 0;
    candidate.waitMs = std::max(slotWaitMs, server.limitWaitMs);
    if (server.overLink && request.bulkBytes > 0 && load.linkBytesPerSecond > 0) {
        const double msPerByte = MS_PER_SECOND / static_cast<double>(load.linkBytesPerSecond);
        // The link carries earlier answers while this request waits for a slot and runs.
        candidate.waitMs = std::max(
            candidate.waitMs, static_cast<double>(server.linkBytes) * msPerByte - candidate.workMs);
        candidate.workMs += static_cast<double>(request.bulkBytes) * msPerByte;
    }
    if (server.overLink && request.uploadBytes > 0 && load.linkBytesPerSecond > 0) {
        const double msPerByte = MS_PER_SECOND / static_cast<double>(load.linkBytesPerSecond);
        // The body waits for earlier ones while the calls before it run.
        candidate.waitMs
            = std::max(candidate.waitMs, static_cast<double>(server.linkInBytes) * msPerByte);
        candidate.workMs += static_cast<double>(request.uploadBytes) * msPerByte;
    }
    candidate.fixedLoss = options.failureLoss * load.failureRate;
    if (server.otherDataCentre)
        candidate.fixedLoss += otherDataCentreLossOf(request, options);
    if (server.unresponsive)
        candidate.fixedLoss += options.unresponsivePeerLoss;
    candidate.loss = candidate.fixedLoss
                     + expectedTimeLoss(candidate.workMs, candidate.waitMs, request, options);
    return candidate;
}

/** @return longest wait, in ms, with which the expected loss stays at or below @p loss. */
double longestWaitMs(const Candidate &candidate, double loss, const ChoiceRequest &request,
                     const ChoiceOptions &options)
{
    double lowMs = 0;
    double highMs = WAIT_SEARCH_MAX_MS;
    for (int i = 0; i < WAIT_BISECTIONS; i++) {
        const double middleMs = (lowMs + highMs) / 2;
        if (candidate.fixedLoss + expectedTimeLoss(candidate.workMs, middleMs, request, options)
            <= loss)
            lowMs = middleMs;
        else
            highMs = middleMs;
    }
    return lowMs;
}

} // namespace

double expectedTimeLoss(double workMs, double waitMs, const ChoiceRequest &request,
                        const ChoiceOptions &options)
{
    return options.softDeadlineLoss
               * probabilityAbove(workMs, request.softDeadlineMs - waitMs, options.workLogStdDev)
           + options.deadlineLoss
                 * probabilityAbove(workMs, request.deadlineMs - waitMs, options.workLogStdDev)
           + options.lossPerMs * (workMs + waitMs);
}

namespace {

std::optional<Candidate> chooseOfGroup(const PeerTable &table, const HostLoad &local,
                                       const ChoiceRequest &request, VersionGroup group,
                                       const ChoiceOptions &options, TimePoint now, Random &random)
{
    std::vector<EligibleServer> servers = eligibleServers(table, local, request, group, now);
    const double fleetMeanMs = meanWorkMs(servers, options.defaultWorkMs);
    const auto otherDataCentres
        = std::stable_partition(servers.begin(), servers.end(), [](const EligibleServer &server) {
              return !server.otherDataCentre;
          });
    std::vector<EligibleServer> sample(otherDataCentres, servers.end());
    servers.erase(otherDataCentres, servers.end());
    keepRandomSample(servers, options.ownDataCentreSample, random);
    keepRandomSample(sample, options.otherDataCentreSample, random);
    sample.insert(sample.end(), servers.begin(), servers.end());
    std::optional<Candidate> best;
    std::optional<Candidate> second;
    for (const EligibleServer &server : sample) {
        Candidate candidate = candidateOf(server, fleetMeanMs, request, options, random);
        if (!best || candidate.loss < best->loss) {
            second = std::move(best);
            best = std::move(candidate);
        } else if (!second || candidate.loss < second->loss) {
            second = std::move(candidate);
        }
    }
    if (best)
        best->waitMaxMs = second ? longestWaitMs(*best, second->loss, request, options) : -1;
    return best;
}

/** @return true when a baseline server is ready, also one that the request must not go to again. */
bool isBaselineReady(const PeerTable &table, const HostLoad &local, const ChoiceRequest &request,
                     TimePoint now)
{
    ChoiceRequest any;
    any.service = request.service;
    any.rule = request.rule;
    return !eligibleServers(table, local, any, VersionGroup::Baseline, now).empty();
}

} // namespace

std::optional<Candidate> chooseServer(const PeerTable &table, const HostLoad &local,
                                      const ChoiceRequest &request, const ChoiceOptions &options,
                                      TimePoint now, Random &random)
{
    const auto choose = [&](VersionGroup group) {
        return chooseOfGroup(table, local, request, group, options, now, random);
    };
    if (request.rule == nullptr)
        return choose(VersionGroup::Any);
    std::optional<Candidate> target;
    if (request.wantsTarget)
        target = choose(VersionGroup::Canaries);
    if (target && target->waitMs <= 0)
        return target;
    const std::optional<Candidate> baseline = choose(VersionGroup::Baseline);
    if (baseline || target)
        return baseline ? baseline : target;
    if (request.rule->hasTarget && request.rule->targetAllowed
        && !isBaselineReady(table, local, request, now))
        return choose(VersionGroup::Target);
    return std::nullopt;
}

} // namespace cornelwell
