/** @file backend_probe_test.cpp What the answers to health probes say. */
#include "daemon/backend_probe.h"

#include "raw_server.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

using namespace cornelwell;

namespace {

/** @return the state after the first probe of a server that sends this answer. */
MemberState stateAfter(const std::string &answer)
{
    RawServer server([&](int connection) {
        while (readRequest(connection))
            writeText(connection, answer);
    });
    BackendSettings backend;
    backend.address = server.endpoint;
    backend.probeInterval = seconds(60);
    const SystemClock clock;
    std::mutex mutex;
    std::condition_variable reported;
    std::optional<MemberState> state;
    BackendProbe probe(backend, clock, [&](MemberState seen) {
        const std::lock_guard<std::mutex> lock(mutex);
        if (!state)
            state = seen;
        reported.notify_one();
    });
    std::unique_lock<std::mutex> lock(mutex);
    reported.wait(lock, [&] { return state.has_value(); });
    lock.unlock();
    probe.stop();
    return *state;
}

} // namespace

// Guards against a status of 000 that counts as healthy or as a server that leaves.
TEST_CASE("a health probe answered with a status that is none of HTTP is a failed probe",
          "[proxy][threaded]")
{
    const std::string rest = " Odd\r\nContent-Length: 0\r\n\r\n";
    for (const char *status : {"000", "099", "600"}) {
        INFO(status);
        CHECK(stateAfter(std::string("HTTP/1.1 ") + status + rest) == MemberState::Warming);
    }
    CHECK(stateAfter("HTTP/1.1 200" + rest) == MemberState::Ready);
    CHECK(stateAfter("HTTP/1.1 503" + rest) == MemberState::Draining);
}
