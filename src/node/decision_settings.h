/** @file decision_settings.h Mechanisms of the decisions that the settings can switch off. */
#pragma once

namespace cornelwell {

/** Which mechanisms are in use. With all of them off, calls go to a server by load and speed only.
 */
struct DecisionSettings
{
    bool hedges = true;        ///< A slow idempotent call goes to a second, faster server as well.
    bool waitBounds = true;    ///< A daemon refuses a call that would wait less elsewhere.
    bool lateRetries = true;   ///< A caller's retry keeps the soft deadline of its first attempt.
    bool failedRetries = true; ///< A retry is told from a first attempt after a failure as well.
    bool lateLast = true;      ///< A retry that can only be late goes behind calls of its rank.
    bool lateAdvice = true;    ///< A retry that can only be late is advised to come much later.
    bool softDeadlines = true; ///< Calls that would miss their soft deadline are refused at once.
    bool runningAges = true;   ///< The age of running calls raises the expected wait.
    bool failureShares = true; ///< The failure share of a server counts in the choice.
    bool coldStarts = true;    ///< A server that has just started is expected to be slow.
    bool transferCosts = true; ///< Bytes to and from other data centres count in the choice.
    bool nestedRoutes = true;  ///< Routes of nested calls are learnt where no key tells them.
    bool nestedRanks = true;   ///< A nested call has the rank of the request that makes it.

    friend bool operator==(const DecisionSettings &a, const DecisionSettings &b);
};

/** A switch of DecisionSettings. */
struct DecisionSwitch
{
    const char *name;              ///< Key in the section `decisions` of the settings.
    bool DecisionSettings::*value; ///< The member that it sets.
    const char *meaning;           ///< For the operators' page.
};

} // namespace cornelwell
