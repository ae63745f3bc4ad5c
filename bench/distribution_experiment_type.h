/** @file distribution_experiment_type.h What the distribution experiment is asked and what it
 * samples. */
#pragma once

#include "fleet.h"

#include "base/identifier_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cornelwell {

/** What the command was asked. */
struct ExperimentOptions
{
    unsigned daemons = 50;
    unsigned changes = 10;
    double churn = 0;
    double seconds = 15;
    std::string fault = "none";
    bool direct = false;
    std::uint64_t seed = 1;
    unsigned net = 21;
};

/** A change and when the platform had it. */
struct AcceptedAt
{
    Revision revision = 0;
    std::int64_t wallMs = 0;
};

/** Counters of one daemon at one time. */
struct DaemonSample
{
    bool valid = false;
    std::uint64_t incarnation = 0;
    double bytes = 0;
    std::map<std::string, double> bytesByKind;
    ProcessUsage usage;
};

/** One life of a daemon as its time line tells it. */
struct Life
{
    std::size_t server = 0;
    std::int64_t startedMs = 0;
    std::vector<std::pair<std::int64_t, Revision>> applied;
};

} // namespace cornelwell
