/** @file decision_switches.h Names of the mechanisms in the section `decisions` of the settings. */
#pragma once

#include "node/decision_settings.h"

namespace cornelwell {

constexpr DecisionSwitch DECISION_SWITCHES[] = {
    {"hedges", &DecisionSettings::hedges, "a slow idempotent call goes to a second server as well"},
    {"wait-bounds", &DecisionSettings::waitBounds,
     "a daemon refuses a call that would wait less elsewhere"},
    {"late-retries", &DecisionSettings::lateRetries,
     "a caller's retry keeps the soft deadline of its first attempt"},
    {"failed-retries", &DecisionSettings::failedRetries,
     "a retry is told from a first attempt after a failure of the server as well"},
    {"late-last", &DecisionSettings::lateLast,
     "a retry that can only be late goes behind the calls of its rank"},
    {"late-advice", &DecisionSettings::lateAdvice,
     "a retry that can only be late is advised to come much later"},
    {"soft-deadlines", &DecisionSettings::softDeadlines,
     "calls that would miss their latency target are refused at once"},
    {"running-ages", &DecisionSettings::runningAges,
     "the age of running calls raises the expected wait"},
    {"failure-shares", &DecisionSettings::failureShares,
     "the failure share of a server counts in the choice"},
    {"cold-starts", &DecisionSettings::coldStarts,
     "a server that has just started is expected to be slow"},
    {"transfer-costs", &DecisionSettings::transferCosts,
     "bytes to and from other data centres count in the choice"},
    {"nested-routes", &DecisionSettings::nestedRoutes,
     "routes of nested calls are learnt where no key tells them"},
    {"nested-ranks", &DecisionSettings::nestedRanks,
     "a nested call has the rank of the request that makes it"},
};

} // namespace cornelwell
