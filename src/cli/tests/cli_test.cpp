/** @file cli_test.cpp Exit codes of the command line. */
#include "base/table/result_codes.h"
#include "cli/cli.h"
#include "raw_server.h"

#include "base/endpoint_func.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace cornelwell;

namespace {

/** Runs a command with its output caught. */
struct Run
{
    explicit Run(const std::vector<std::string> &words)
    {
        std::ostringstream out;
        std::ostringstream error;
        auto *const oldOut = std::cout.rdbuf(out.rdbuf());
        auto *const oldError = std::cerr.rdbuf(error.rdbuf());
        code = runCommandLine(words);
        std::cout.rdbuf(oldOut);
        std::cerr.rdbuf(oldError);
        output = out.str();
        errors = error.str();
    }

    int code;
    std::string output;
    std::string errors;
};

} // namespace

TEST_CASE("commands end with documented exit codes", "[cli]")
{
    CHECK(Run({"--help"}).code == EXIT_OK);
    CHECK(Run({}).code == EXIT_USAGE);
    CHECK(Run({"dance"}).code == EXIT_USAGE);
    CHECK(Run({"entry"}).code == EXIT_USAGE);
    CHECK(Run({"entry", "--help"}).code == EXIT_OK);
    CHECK(Run({"entry", "propose", "--help"}).output.find("Example:") != std::string::npos);
    CHECK(Run({"entry", "propose"}).code == EXIT_USAGE);
    CHECK(Run({"entry", "list", "--colour"}).code == EXIT_USAGE);
    CHECK(Run({"entry", "list"}).code == EXIT_USAGE);
    CHECK(Run({"codes", "--output", "json"}).code == EXIT_OK);
    CHECK(Run({"codes", "--output", "xml"}).code == EXIT_USAGE);
    CHECK(Run({"version"}).output.find("cornelwell ") == 0);
    CHECK(Run({"status", "--daemon", "127.9.9.9:1", "--timeout", "100"}).code == EXIT_UNREACHABLE);
    CHECK(Run({"entry", "list", "--platform", "127.9.9.9:1"}).code == EXIT_UNREACHABLE);
    CHECK(Run({"settings", "check", "/nonexistent"}).code == EXIT_INVALID);
}

// Guards against a status of 000 that counts as an answer.
TEST_CASE("an answer with a status of 000 is none for the command line", "[cli][threaded]")
{
    RawServer server([](int connection) {
        if (readRequest(connection))
            writeText(connection, "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}");
    });
    const std::string address = formatEndpoint(server.endpoint);
    CHECK(Run({"status", "--daemon", address, "--timeout", "2000"}).code == EXIT_UNREACHABLE);
    CHECK(Run({"timeline", "--daemon", address}).code == EXIT_UNREACHABLE);
    CHECK(Run({"entry", "list", "--platform", address}).code == EXIT_UNKNOWN);
}

TEST_CASE("an error says number, place, cause and what to do", "[cli]")
{
    const Run run({"settings", "check", "/nonexistent"});
    CHECK(run.errors.find("100 SettingsUnreadable") != std::string::npos);
    CHECK(run.errors.find("at: /nonexistent") != std::string::npos);
    CHECK(run.errors.find("what to do:") != std::string::npos);
}

TEST_CASE("explain merges the lines of a request, of its calls, and the beliefs around it", "[cli]")
{
    const std::string first = "explain-a.log";
    const std::string second = "explain-b.log";
    std::ofstream(first)
        << R"({"time_ms":1000,"daemon":"a","event":"routes","version":7})"
        << "\n"
        << R"({"time_ms":1500,"daemon":"a","event":"answered","request":"x1","status":503})"
        << "\nnot a line\n"
        << R"({"time_ms":1490,"daemon":"a","event":"answered","request":"x2","status":200})"
        << "\n";
    std::ofstream(second)
        << R"(  1.5 b {"time_ms":1490,"daemon":"b","event":"hosted","request":"x1","reason":"full"})"
        << "\n"
        << R"({"time_ms":1495,"daemon":"b","event":"hosted","request":"x1.c1"})"
        << "\n"
        << R"({"time_ms":90000,"daemon":"b","event":"store_lost"})"
        << "\n";
    const Run found({"explain", "x1", first, second});
    CHECK(found.code == EXIT_OK);
    CHECK(found.output.find("reason=full") < found.output.find("status=503"));
    CHECK(found.output.find("version=7") != std::string::npos);
    CHECK(found.output.find("x1.c1") != std::string::npos);
    CHECK(found.output.find("x2") == std::string::npos);
    CHECK(found.output.find("store_lost") == std::string::npos);
    CHECK(Run({"explain", "nobody", first}).code == EXIT_FAILED);
    CHECK(Run({"explain", "x1", "no-such-file"}).code != EXIT_OK);
    std::remove(first.c_str());
    std::remove(second.c_str());
}
