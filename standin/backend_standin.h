/** @file backend_standin.h The stand-in for a backend server. */
#pragma once

#include "base/clock.h"
#include "http/http_server.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cornelwell {

/** How the stand-in behaves. */
struct BackendStandinOptions
{
    std::string id;          ///< Name in its answers.
    unsigned slots = 8;      ///< Requests run at once; more are shed.
    std::int64_t workMs = 5; ///< Time of one request; a request may ask for another.
    std::int64_t coldMs = 0; ///< Requests are slower by half for this long after the start.
    bool healthLies = false; ///< Always says that it is ready.
};

/** Runs requests: waits, echoes the body, and records what it ran. */
class BackendStandin final : public HttpHandler
{
public:
    BackendStandin(BackendStandinOptions options, const Clock &clock);

    HttpResponse handle(const HttpRequest &request, int callerSocket) override;

    /** Says from now on that it takes no new requests. */
    void drain() { m_draining = true; }

    /** @return true while a request runs. */
    bool busy() const { return m_running > 0; }

private:
    HttpResponse health() const;
    HttpResponse records() const;
    HttpResponse run(const HttpRequest &request, int callerSocket);
    bool work(std::int64_t ms, int callerSocket) const;
    void record(const HttpRequest &request, bool cancelled);

    const BackendStandinOptions m_options;
    const Clock &m_clock;
    const TimePoint m_started;
    std::atomic<bool> m_draining{false};
    std::atomic<unsigned> m_running{0};
    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_runsByKey;
    std::uint64_t m_runs = 0;
    std::vector<std::int64_t> m_starts;
    std::uint64_t m_shed = 0;
    std::uint64_t m_cancelled = 0;
};

} // namespace cornelwell
