/** @file bench_internal.h The commands of the load and experiment tool. */
#pragma once

namespace cornelwell {

int runLoadCommand(int argc, char **argv);         ///< `load`
int runDistributionCommand(int argc, char **argv); ///< `distribution`
int runCallsCommand(int argc, char **argv);
/** Days of a modelled fleet. @return exit code. */
int runSimCommand(int argc, char **argv); ///< `calls`

} // namespace cornelwell
