/** @file cli.h The command line. */
#pragma once

#include <string>
#include <vector>

namespace cornelwell {

/**
 * Runs one command.
 * @param arguments The words after the program's name.
 * @return the exit code.
 */
int runCommandLine(const std::vector<std::string> &arguments);

} // namespace cornelwell
