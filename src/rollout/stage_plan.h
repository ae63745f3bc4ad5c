/** @file stage_plan.h Stages of a roll-out: shares of the requests and when they may begin. */
#pragma once

#include <array>
#include <cstdint>

namespace cornelwell {

/** One stage. Times are in thousandths of the order's time limit. */
struct RolloutStage
{
    unsigned sharePerMille; ///< Share of the service's requests that the target version gets.
    unsigned startPerMille; ///< Earliest begin, counted from the order.
    unsigned dwellPerMille; ///< Shortest duration of the stage before this one.
};

/**
 * The plan. Until the end of the stage of 400 the target version gets at most 7.8 % of the requests
 * that come within the time limit; less when the stages begin late and follow each other after the
 * shortest durations. A stage of 500 for 0.06 of the time limit costs as much, but was too short
 * for a version that is bad only under load.
 */
constexpr std::array<RolloutStage, 7> ROLLOUT_STAGES = {{{0, 0, 0},
                                                         {20, 0, 0},
                                                         {50, 200, 80},
                                                         {100, 400, 80},
                                                         {250, 520, 80},
                                                         {400, 600, 80},
                                                         {1000, 680, 80}}};
constexpr unsigned LAST_STAGE = ROLLOUT_STAGES.size() - 1;
/** Earliest completion, and shortest duration of the last stage before it. */
constexpr RolloutStage ROLLOUT_COMPLETION = {1000, 760, 80};

/** @return share of a stage; that of the last one for a stage that does not exist. */
constexpr unsigned shareOfStage(unsigned stage)
{
    return ROLLOUT_STAGES[stage > LAST_STAGE ? LAST_STAGE : stage].sharePerMille;
}

} // namespace cornelwell
