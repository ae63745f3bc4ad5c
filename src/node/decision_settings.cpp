/** @file decision_settings.cpp Comparison of the switches. */
#include "node/decision_settings.h"

#include "node/table/decision_switches.h"

#include <algorithm>
#include <iterator>

namespace cornelwell {

bool operator==(const DecisionSettings &a, const DecisionSettings &b)
{
    return std::all_of(std::begin(DECISION_SWITCHES), std::end(DECISION_SWITCHES),
                       [&](const DecisionSwitch &one) { return a.*one.value == b.*one.value; });
}

} // namespace cornelwell
