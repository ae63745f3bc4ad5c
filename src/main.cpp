/** @file main.cpp The one binary: daemon and operators' command line. */
#include "cli/cli.h"

#include <csignal>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return cornelwell::runCommandLine({argv + 1, argv + argc});
}
