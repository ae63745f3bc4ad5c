/** @file concurrency_controller.cpp Ramp after a start, and trials of other bounds by served rate.
 */
#include "hosting/concurrency_controller.h"

#include <algorithm>
#include <iterator>

namespace cornelwell {

namespace {

constexpr unsigned START_DIVISOR = 4; ///< A ramp starts with this part of the slots.
constexpr unsigned STEP_DIVISOR = 8;  ///< A trial with more calls adds this part of the slots.
constexpr double TRIAL_DOWN = 0.75;   ///< A trial with fewer calls leaves this part of the bound.
constexpr double SLOW_RATIO = 2;      ///< Answers that take this much longer are slow.
constexpr double USUAL_RATIO = 1.3;   ///< Up to this the answers are as fast as usual.
constexpr double RATIO_MAX = 10;      ///< Bounds the weight of a single answer.
constexpr double SLOWNESS_SMOOTHING = 0.06; ///< Weight of a new ratio.
/** Weights of a new processing time in the usual one. A lower weight of longer times keeps the
 * usual time near the best recent ones; 0.02 hid a server that had become 3.5 times slower. */
constexpr double USUAL_SMOOTHING_UP = 0.005;
constexpr double USUAL_SMOOTHING_DOWN = 0.01;
constexpr unsigned LEARNING_SAMPLES = 32; ///< The first answers of a route count alike.
constexpr double TIME_OFFSET_MS = 5;      ///< Added to times, so that a few ms more are not slow.
constexpr unsigned ROUND_SAMPLES_MIN = 8;
/** A lower bound has to serve this much more, since it also makes calls wait. */
constexpr double GAIN_DOWN = 1.05;
constexpr double GAIN_UP = 0.98; ///< A higher bound may serve less by measuring noise only.
constexpr unsigned HOLD_ROUNDS_MAX = 32;
constexpr unsigned HOLD_ROUNDS_AFTER_DOWN = 2;
constexpr unsigned BROKEN_MAX = 3;   ///< So many broken calls in a row are a failure of the server.
constexpr double SILENCE_FACTOR = 4; ///< Silence for this multiple of the usual time is long.
constexpr double SILENCE_MIN_MS = 1000;
constexpr std::size_t ROUTES_MAX = 1024; ///< Routes with a usual time; bounds memory.

constexpr const char *REASON_NAMES[]
    = {"none", "started", "recovered", "broken", "silence", "slow"};
static_assert(std::size(REASON_NAMES) == static_cast<std::size_t>(PaceReason::Count),
              "a name for each reason");

} // namespace

const char *paceReasonName(PaceReason reason)
{
    return REASON_NAMES[static_cast<std::size_t>(reason)];
}

unsigned ConcurrencyController::boundMin() const
{
    return std::max(1U, (m_slots + START_DIVISOR - 1) / START_DIVISOR);
}

void ConcurrencyController::enter(Phase phase, TimePoint now)
{
    m_phase = phase;
    m_phaseSince = now;
    m_samples = 0;
    m_ratioSum = 0;
    m_runningSum = 0;
}

void ConcurrencyController::ramp(PaceReason reason, TimePoint now)
{
    m_bound = boundMin();
    m_reason = reason;
    m_slowness = 1;
    m_holdRounds = 1;
    m_brokenInRow = 0;
    enter(Phase::Ramp, now);
    if (isOpen())
        settle(now);
}

void ConcurrencyController::begin(PaceReason reason, TimePoint now)
{
    m_quietSince = now;
    ramp(reason, now);
}

void ConcurrencyController::forgetTimes()
{
    m_usualByRoute.clear();
    m_slowness = 1;
}

void ConcurrencyController::handleReport(unsigned slots, TimePoint coldUntil, TimePoint now)
{
    m_coldUntil = coldUntil > now ? coldUntil : m_coldUntil;
    slots = std::max(1U, slots);
    if (slots == m_slots)
        return;
    const bool wasOpen = m_phase == Phase::Open;
    m_slots = slots;
    m_bound = wasOpen ? slots : std::min(m_bound, slots);
    if (m_phase == Phase::Ramp)
        m_bound = std::max(m_bound, boundMin());
    if (isOpen())
        settle(now);
}

void ConcurrencyController::recordStart(unsigned running, TimePoint now)
{
    if (running <= 1)
        m_quietSince = now;
}

/** Leaves a ramp or trial: the bound stands. */
void ConcurrencyController::settle(TimePoint now)
{
    m_answersToTrial = m_holdRounds * std::max(m_bound, ROUND_SAMPLES_MIN);
    enter(isOpen() ? Phase::Open : Phase::Hold, now);
}

double ConcurrencyController::usualMs(const std::string &route) const
{
    const auto found = m_usualByRoute.find(route);
    return found == m_usualByRoute.end() ? 0 : found->second.ms;
}

/** @return the processing time over the usual one of its route, which follows it. */
double ConcurrencyController::updateBaseline(const PaceSample &sample)
{
    const auto ms = static_cast<double>(sample.processingTime.ms);
    const auto found = m_usualByRoute.find(sample.route);
    if (found == m_usualByRoute.end()) {
        if (m_usualByRoute.size() >= ROUTES_MAX)
            m_usualByRoute.clear();
        m_usualByRoute.emplace(sample.route, UsualTime{ms, 1});
        return 1;
    }
    UsualTime &usual = found->second;
    const double ratio = std::min(RATIO_MAX, (ms + TIME_OFFSET_MS) / (usual.ms + TIME_OFFSET_MS));
    // The rates before and in a trial are compared by the same usual times.
    const bool follows = m_phase == Phase::Open || m_phase == Phase::Hold || ratio < 1;
    if (follows && sample.finish == HostFinish::Served) {
        const double weight = ms < usual.ms ? USUAL_SMOOTHING_DOWN : USUAL_SMOOTHING_UP;
        usual.samples = std::min(usual.samples + 1, LEARNING_SAMPLES);
        usual.ms
            += (usual.samples < LEARNING_SAMPLES ? 1.0 / usual.samples : weight) * (ms - usual.ms);
    }
    return ratio;
}

void ConcurrencyController::recordEnd(const PaceSample &sample, TimePoint now)
{
    const double usual = usualMs(sample.route);
    const auto quietMs = static_cast<double>((now - m_quietSince).ms);
    m_quietSince = now;
    if (usual > 0 && quietMs > std::max(SILENCE_MIN_MS, usual * SILENCE_FACTOR))
        ramp(PaceReason::Silence, now);
    if (sample.finish == HostFinish::Broken) {
        if (++m_brokenInRow >= BROKEN_MAX)
            ramp(PaceReason::Broken, now);
        else if (m_phase == Phase::Ramp)
            m_bound = std::max(1U, m_bound / 2);
        return;
    }
    // A call that was ended early tells something only when it was slow already.
    const bool endedSlow = sample.finish == HostFinish::Cancelled && usual > 0
                           && static_cast<double>(sample.processingTime.ms) >= usual * SLOW_RATIO;
    if (sample.finish != HostFinish::Served && !endedSlow)
        return;
    if (sample.finish == HostFinish::Served)
        m_brokenInRow = 0;
    if (m_coldUntil.ms != 0 && now >= m_coldUntil) {
        // The times of the cold server are not the usual ones.
        m_coldUntil = {0};
        forgetTimes();
        if (!isOpen())
            enter(Phase::Ramp, now);
    }
    const double ratio = updateBaseline(sample);
    // Calls from before a recovery were slow for another reason.
    if (m_phase == Phase::Ramp && sample.started < m_phaseSince)
        return;
    m_slowness += SLOWNESS_SMOOTHING * (ratio - m_slowness);
    if (sample.started >= m_phaseSince)
        addRoundSample(sample, ratio, now);
}

/** Handles the answer to a call that started in this phase. */
void ConcurrencyController::addRoundSample(const PaceSample &sample, double ratio, TimePoint now)
{
    m_samples++;
    m_ratioSum += ratio;
    m_runningSum += sample.runningAtStart;
    const bool roundEnds = m_samples >= std::max(m_bound, ROUND_SAMPLES_MIN);
    const bool slow = m_slowness >= SLOW_RATIO && m_coldUntil.ms == 0;
    switch (m_phase) {
    case Phase::Open:
        if (m_samples >= m_answersToTrial && slow && m_bound > boundMin())
            beginMeasure(false, now);
        break;
    case Phase::Ramp:
        if (ratio < SLOW_RATIO)
            m_bound++;
        if (!isOpen() && m_slowness >= SLOW_RATIO)
            m_reason = PaceReason::Slow;
        if (isOpen() || m_slowness >= SLOW_RATIO)
            settle(now);
        break;
    case Phase::Hold:
        if (m_samples < m_answersToTrial)
            break;
        if (m_slowness <= USUAL_RATIO) {
            m_rateBefore = 0;
            m_trialUp = true;
            beginTrial(now);
        } else {
            beginMeasure(!slow || m_bound <= boundMin(), now);
        }
        break;
    case Phase::Measure:
        if (!roundEnds)
            break;
        if (!m_trialUp && m_ratioSum < SLOW_RATIO * m_samples) {
            settle(now);
            break;
        }
        m_rateBefore = m_runningSum / m_ratioSum;
        beginTrial(now);
        break;
    case Phase::Trial:
        if (roundEnds)
            endTrial(now);
        break;
    }
}

void ConcurrencyController::beginMeasure(bool up, TimePoint now)
{
    m_trialUp = up;
    enter(Phase::Measure, now);
}

void ConcurrencyController::beginTrial(TimePoint now)
{
    m_boundBefore = m_bound;
    if (m_trialUp) {
        m_bound = std::min(m_slots, m_bound + std::max(1U, m_slots / STEP_DIVISOR));
    } else {
        m_bound = std::max(boundMin(), static_cast<unsigned>(m_bound * TRIAL_DOWN));
        m_reason = PaceReason::Slow;
    }
    enter(Phase::Trial, now);
}

/** Keeps the bound of the trial when it served more; else goes back to the one before. */
void ConcurrencyController::endTrial(TimePoint now)
{
    const double rate = m_runningSum / m_ratioSum;
    const bool usual = m_ratioSum <= USUAL_RATIO * m_samples;
    const bool better = m_trialUp ? (m_rateBefore == 0 ? usual : rate >= GAIN_UP * m_rateBefore)
                                  : rate > GAIN_DOWN * m_rateBefore;
    if (better) {
        m_holdRounds = m_trialUp ? (usual ? 0 : 1) : HOLD_ROUNDS_AFTER_DOWN;
    } else {
        m_bound = m_boundBefore;
        m_holdRounds = std::min(HOLD_ROUNDS_MAX, std::max(1U, m_holdRounds) * 2);
    }
    settle(now);
}

} // namespace cornelwell
