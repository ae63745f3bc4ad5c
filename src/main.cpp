/** @file main.cpp The one binary: daemons and operators' command line. */
#include "base/memory_func.h"
#include "cli/cli.h"
#include "log/log.h"
#include "node/proxy_node.h"
#include "platform/object_platform.h"

#include <csignal>
#include <cstdlib>
#include <cstring>

namespace {

/** Runs the daemon on the users' platform; the settings file's path stands in the environment. */
int runProxy()
{
    const char *path = std::getenv("CORNELWELL_CONFIG");
    const cornelwell::ObjectPlatform platform;
    const auto result = cornelwell::runProxyNode(platform, path == nullptr ? "" : path);
    if (result)
        return EXIT_SUCCESS;
    cornelwell::logError(cornelwell::LogLevel::Error, cornelwell::LogCategory::Daemon,
                         result.error());
    cornelwell::flushLog();
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cornelwell::returnFreedBuffersToSystem();
    if (argc == 2 && std::strcmp(argv[1], "proxy") == 0)
        return runProxy();
    return cornelwell::runCommandLine({argv + 1, argv + argc});
}
