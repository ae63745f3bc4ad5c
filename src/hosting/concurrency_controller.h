/** @file concurrency_controller.h Number of calls that may run at once at the local server. */
#pragma once

#include "hosting/hosting_type.h"

#include <string>
#include <unordered_map>

namespace cornelwell {

/** Why the controller last narrowed the bound below the slots. */
enum class PaceReason : std::uint8_t
{
    None,      ///< It has not.
    Started,   ///< The server has registered.
    Recovered, ///< The server refused connections before.
    Broken,    ///< Several calls in a row broke off.
    Silence,   ///< The server answered nothing for long while it had calls.
    Slow,      ///< Fewer calls at once are served faster in sum.
    Count,     ///< Number of reasons; not a reason.
};

/** @return the name of the reason, for logs. */
const char *paceReasonName(PaceReason reason);

/** A call that has ended at the server. */
struct PaceSample
{
    std::string route;
    HostFinish finish = HostFinish::Served;
    Duration processingTime;     ///< Time from the call's start to its end.
    TimePoint started{0};        ///< When the call started.
    unsigned runningAtStart = 0; ///< Calls at the server then, this one included.
};

/**
 * Finds, from the server's answers, how many calls may run at once at it: from 1 to its slots.
 *
 * A server that has started or recovered begins with a part of its slots; each answer in usual time
 * adds one. An open server, whose bound is its slots, that becomes slow is tried with fewer calls;
 * the lower bound stays only when more calls are served in sum. A bound below the slots is tried
 * with more calls in the same way. Times are compared with the recent ones of the same route.
 */
class ConcurrencyController
{
public:
    /** Handles the registration of a server, or its return. */
    void begin(PaceReason reason, TimePoint now);
    /** Handles a report of the server. @param coldUntil It is slow after its start until then. */
    void handleReport(unsigned slots, TimePoint coldUntil, TimePoint now);
    /** Records a start. @param running Calls at the server, this one included. */
    void recordStart(unsigned running, TimePoint now);
    /** Records the end of a call. */
    void recordEnd(const PaceSample &sample, TimePoint now);
    /** Forgets the processing times, for another server. */
    void forgetTimes();

    /** @return calls that may run at once. */
    unsigned bound() const { return m_bound; }
    /** @return true when the bound is the server's slots. */
    bool isOpen() const { return m_bound >= m_slots; }
    /**
     * @return true when calls beyond the bound would be served in time, as far as is known. Not
     * when the answers have shown that they slow down all calls.
     */
    bool allowsUrgent() const { return m_reason != PaceReason::Slow; }
    /** @return why the bound was last narrowed. */
    PaceReason reason() const { return m_reason; }
    /** @return recent processing times over the usual ones of their routes. */
    double slowness() const { return m_slowness; }

private:
    enum class Phase : std::uint8_t
    {
        Open,    ///< The bound is the slots.
        Ramp,    ///< Each answer in usual time raises the bound.
        Hold,    ///< The bound is below the slots and stands for some answers.
        Measure, ///< The served rate at the bound is measured before a trial.
        Trial,   ///< The served rate at another bound is measured.
    };

    /** Processing time of a route when the server is well. */
    struct UsualTime
    {
        double ms = 0;
        unsigned samples = 0; ///< Answers that it was learnt from, up to a bound.
    };

    void enter(Phase phase, TimePoint now);
    void ramp(PaceReason reason, TimePoint now);
    void settle(TimePoint now);
    void beginMeasure(bool up, TimePoint now);
    void beginTrial(TimePoint now);
    void endTrial(TimePoint now);
    void addRoundSample(const PaceSample &sample, double ratio, TimePoint now);
    double updateBaseline(const PaceSample &sample);
    double usualMs(const std::string &route) const;
    unsigned boundMin() const;

    unsigned m_slots = 1;
    unsigned m_bound = 1;
    Phase m_phase = Phase::Open;
    PaceReason m_reason = PaceReason::None;
    TimePoint m_phaseSince{0}; ///< Samples of calls that started earlier do not count in a round.
    TimePoint m_coldUntil{0};  ///< 0: the server is warm.
    TimePoint m_quietSince{0}; ///< Last end of a call, or start of one at an idle server.
    unsigned m_brokenInRow = 0;
    double m_slowness = 1; ///< Smoothed ratio of processing times to the usual ones.
    std::unordered_map<std::string, UsualTime> m_usualByRoute;

    // The round of Measure or Trial.
    unsigned m_samples = 0;
    double m_ratioSum = 0;
    double m_runningSum = 0;
    bool m_trialUp = false;        ///< The trial raises the bound.
    unsigned m_boundBefore = 1;    ///< Bound before the trial.
    double m_rateBefore = 0;       ///< Served rate before the trial; 0: any rate is as good.
    unsigned m_answersToTrial = 0; ///< Answers until the next trial.
    unsigned m_holdRounds = 1;     ///< Rounds between trials; doubles when trials fail.
};

} // namespace cornelwell
