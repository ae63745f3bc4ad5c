/** @file server_choice.cpp Least expected loss: missed goals, failures, bytes between data centres.
 */
#include "dispatch/server_choice.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cornelwell {

namespace {

constexpr double RANDOM_STEPS = 1000;
constexpr int HALVINGS = 7;            ///< Steps of the search for the longest wait.
constexpr double WAIT_LIMIT_MS = 3000; ///< Longer waits are not told apart.

/** A server as the choice sees it. */
struct Option
{
    ServerId name;
    const HostLoad *load = nullptr;
    unsigned pending = 0;
    bool other = false;
    bool doubtful = false;
};

/** Requests at the peer's server: what it told, and what was sent to it since. */
unsigned pendingAt(const Peer &peer)
{
    const unsigned told = peer.load.running + peer.load.queued;
    const unsigned since = peer.callsInFlight > peer.callsInFlightAtReport
                               ? peer.callsInFlight - peer.callsInFlightAtReport
                               : 0;
    return std::max(told + since, peer.callsInFlight);
}

std::vector<Option> optionsFor(const PeerTable &table, const HostLoad &local,
                               const ChoiceRequest &request, TimePoint now)
{
    std::vector<Option> options;
    const auto fits = [&](const HostLoad &load, const ServerId &name) {
        return load.service == request.service && load.state == HostState::Ready
               && request.excluded.count(name) == 0;
    };
    if (fits(local, table.self().name))
        options.push_back({table.self().name, &local, local.running + local.queued, false, false});
    for (const auto &[name, peer] : table.peers()) {
        if (peer.linked && !peer.shuttingDown && fits(peer.load, name))
            options.push_back({name, &peer.load, pendingAt(peer),
                               peer.record.dataCentre != table.self().dataCentre,
                               !table.isResponsive(peer, now)});
    }
    return options;
}

/** Moves a random choice of @p count options to the front and drops the others. */
void draw(std::vector<Option> &options, std::size_t count, Random &random)
{
    if (options.size() <= count)
        return;
    for (std::size_t i = 0; i < count; i++)
        std::swap(options[i], options[i + random.below(options.size() - i)]);
    options.resize(count);
}

double meanWork(const std::vector<Option> &options, double fallback)
{
    double sum = 0;
    unsigned count = 0;
    for (const Option &option : options) {
        if (option.load->workMs <= 0)
            continue;
        sum += option.load->workMs;
        count++;
    }
    return count == 0 ? fallback : sum / count;
}

/** @return share of a log-normal time that lies above a bound. */
double shareAbove(double meanMs, double boundMs, double spread)
{
    if (boundMs <= 0)
        return 1;
    const double median = meanMs * std::exp(-spread * spread / 2);
    return 0.5 * std::erfc(std::log(boundMs / median) / (spread * std::sqrt(2.0)));
}

Candidate candidateOf(const Option &option, double fleetMean, const ChoiceRequest &request,
                      const ChoiceOptions &weights, Random &random)
{
    const HostLoad &load = *option.load;
    const double told = load.workMs > 0 ? load.workMs : fleetMean;
    const double usual = request.meanWorkMs > 0 ? request.meanWorkMs : fleetMean;
    const double slots = std::max(1U, load.slots);
    const double busy = (option.pending + 1) / slots;
    const double step = static_cast<double>(random.below(static_cast<std::uint64_t>(RANDOM_STEPS)));
    Candidate candidate;
    candidate.daemon = option.name;
    candidate.instance = load.instance;
    candidate.workMs = usual * told / fleetMean
                       * (1 + weights.fullLoadSlowdown * std::min(1.0, busy))
                       * (load.cold ? weights.coldSlowdownFactor : 1)
                       * (1 + weights.workJitter * (2 * step / RANDOM_STEPS - 1));
    candidate.waitMs = busy > 1 ? told * (busy - 1) : 0;
    candidate.fixedLoss = weights.failureLoss * load.failureRate;
    if (option.other)
        candidate.fixedLoss
            += weights.otherDataCentreLoss + weights.otherDataCentreLossPerKb * request.transferKb;
    if (option.doubtful)
        candidate.fixedLoss += weights.stalePeerLoss;
    candidate.loss = candidate.fixedLoss
                     + expectedTimeLoss(candidate.workMs, candidate.waitMs, request, weights);
    return candidate;
}

/** @return the wait at which the candidate loses as much as @p loss. */
double waitAtLoss(const Candidate &candidate, double loss, const ChoiceRequest &request,
                  const ChoiceOptions &weights)
{
    double low = 0;
    double high = WAIT_LIMIT_MS;
    for (int i = 0; i < HALVINGS; i++) {
        const double middle = (low + high) / 2;
        if (candidate.fixedLoss + expectedTimeLoss(candidate.workMs, middle, request, weights)
            <= loss)
            low = middle;
        else
            high = middle;
    }
    return low;
}

} // namespace

double expectedTimeLoss(double workMs, double waitMs, const ChoiceRequest &request,
                        const ChoiceOptions &options)
{
    return options.softDeadlineLoss
               * shareAbove(workMs, request.softDeadlineMs - waitMs, options.workLogStdDev)
           + options.deadlineLoss
                 * shareAbove(workMs, request.deadlineMs - waitMs, options.workLogStdDev)
           + options.lossPerMs * (workMs + waitMs);
}

std::optional<Candidate> chooseServer(const PeerTable &table, const HostLoad &local,
                                      const ChoiceRequest &request, const ChoiceOptions &options,
                                      TimePoint now, Random &random)
{
    std::vector<Option> near = optionsFor(table, local, request, now);
    const double fleetMean = meanWork(near, options.defaultWorkMs);
    const auto border = std::stable_partition(near.begin(), near.end(),
                                              [](const Option &option) { return !option.other; });
    std::vector<Option> all(border, near.end());
    near.erase(border, near.end());
    draw(near, options.ownDataCentreSample, random);
    draw(all, options.otherDataCentreSample, random);
    all.insert(all.end(), near.begin(), near.end());
    std::optional<Candidate> best;
    std::optional<Candidate> second;
    for (const Option &option : all) {
        Candidate candidate = candidateOf(option, fleetMean, request, options, random);
        if (!best || candidate.loss < best->loss) {
            second = std::move(best);
            best = std::move(candidate);
        } else if (!second || candidate.loss < second->loss) {
            second = std::move(candidate);
        }
    }
    if (best)
        best->waitMaxMs = second ? waitAtLoss(*best, second->loss, request, options) : -1;
    return best;
}

} // namespace cornelwell
