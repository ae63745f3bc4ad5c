/** @file start_failure_test.cpp What the log says of a daemon that cannot start. */
#include "log/log.h"
#include "node/proxy_node.h"
#include "platform/object_platform.h"
#include "scripted_server.h"

#include "base/endpoint_func.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>

using namespace cornelwell;

namespace {

/** A file that is removed at the end. */
class TemporaryFile
{
public:
    TemporaryFile()
    {
        const int file = ::mkstemp(path.data());
        REQUIRE(file >= 0);
        ::close(file);
    }
    ~TemporaryFile() { std::remove(path.c_str()); }

    std::string path = "/tmp/cornelwell-test-XXXXXX";
};

/** @return what a function writes to standard error. */
std::string standardErrorOf(const std::function<void()> &write)
{
    const TemporaryFile file;
    const int target = ::open(file.path.c_str(), O_WRONLY);
    REQUIRE(target >= 0);
    std::fflush(stderr);
    const int before = ::dup(STDERR_FILENO);
    ::dup2(target, STDERR_FILENO);
    ::close(target);
    write();
    std::fflush(stderr);
    ::dup2(before, STDERR_FILENO);
    ::close(before);
    std::ifstream written(file.path);
    return {std::istreambuf_iterator<char>(written), std::istreambuf_iterator<char>()};
}

} // namespace

// Guards against a line that does not say which daemon could not listen.
TEST_CASE("a daemon that cannot listen is named in the log", "[log]")
{
    EventLoop loop;
    const ScriptedServer taken(loop);
    const std::string address = formatEndpoint(taken.endpoint());
    const std::uint16_t port = taken.endpoint().port;
    const nlohmann::json settings
        = {{"self",
            {{"node-name", "vm-7"},
             {"ip", "127.0.0.1"},
             {"zone", "east"},
             {"service", "desk"},
             {"app-addr", address}}},
           {"network",
            {{"listen-addrs", {{"outbound", address}, {"ready", address}, {"control", address}}},
             {"internal-ports", {port, port}}}},
           {"platform", {{"platform", {{"address", address}}}}}};
    const TemporaryFile file;
    std::ofstream(file.path) << settings.dump();
    const std::string log = standardErrorOf([&] {
        const auto result = runProxyNode(ObjectPlatform(), file.path);
        REQUIRE_FALSE(result);
        CHECK(result.error().code == ResultCode::ListenFailed);
        logError(LogLevel::Error, LogCategory::Daemon, result.error());
        flushLog();
    });
    const auto line = nlohmann::json::parse(log);
    CHECK(line["process"] == "vm-7");
    CHECK(line["data_centre"] == "east");
}
