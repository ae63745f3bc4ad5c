/** @file backend_standin.cpp Slots, cold start, shedding, drain, deadlines, cancellation, crash. */
#include "backend_standin.h"

#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace cornelwell {

namespace {

constexpr std::size_t STARTS_MAX = 200000;             ///< Starts whose times are kept.
constexpr const char *WORK_HEADER = "Standin-Work-Ms"; ///< Time that this request takes.
constexpr const char *CRASH_HEADER
    = "Standin-Crash"; ///< Ends the process when it begins this request.
constexpr const char *TOKEN_HEADER
    = "Standin-Token"; ///< Echoed, so that a caller knows its own answer.
constexpr const char *KEY_HEADER = "Idempotency-Key"; ///< Key under which the run is recorded.
constexpr const char *TIMEOUT_HEADER
    = "Cornelwell-Timeout-Ms"; ///< Time that is left for the request.

HttpResponse notRun()
{
    HttpResponse response;
    response.status = 503;
    response.headers.add("Cornelwell-Not-Run", "1");
    return response;
}

/** Counts a request for as long as it runs. */
class SlotUse
{
public:
    explicit SlotUse(std::atomic<unsigned> &running) : m_running(running), m_before(running++) {}
    ~SlotUse() { m_running--; }
    SlotUse(const SlotUse &) = delete;
    SlotUse &operator=(const SlotUse &) = delete;

    unsigned before() const { return m_before; }

private:
    std::atomic<unsigned> &m_running;
    const unsigned m_before;
};

} // namespace

BackendStandin::BackendStandin(BackendStandinOptions options, const Clock &clock)
    : m_options(std::move(options)), m_clock(clock), m_started(clock.now())
{}

HttpResponse BackendStandin::handle(const HttpRequest &request, int callerSocket)
{
    if (request.path == "/health")
        return health();
    if (request.path == "/standin/records")
        return records();
    return run(request, callerSocket);
}

HttpResponse BackendStandin::health() const
{
    HttpResponse response;
    response.status = m_draining && !m_options.healthLies ? 503 : 200;
    response.body = m_draining ? "draining\n" : "ready\n";
    return response;
}

HttpResponse BackendStandin::records() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    HttpResponse response;
    response.body
        = nlohmann::json{{"id", m_options.id},       {"runs", m_runs},      {"shed", m_shed},
                         {"cancelled", m_cancelled}, {"keys", m_runsByKey}, {"starts_ms", m_starts}}
              .dump();
    return response;
}

void BackendStandin::record(const HttpRequest &request, bool cancelled)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (cancelled) {
        m_cancelled++;
        return;
    }
    m_runs++;
    if (m_starts.size() < STARTS_MAX)
        m_starts.push_back(m_clock.wallNow().ms);
    const std::string key(request.headers.get(KEY_HEADER));
    if (!key.empty())
        m_runsByKey[key]++;
}

bool BackendStandin::work(std::int64_t ms, int callerSocket) const
{
    pollfd waited{callerSocket, POLLRDHUP, 0};
    return ::poll(&waited, 1, static_cast<int>(ms)) == 0;
}

HttpResponse BackendStandin::run(const HttpRequest &request, int callerSocket)
{
    const SlotUse slot(m_running);
    if (slot.before() >= m_options.slots || m_draining) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_shed++;
        return notRun();
    }
    if (request.headers.has(CRASH_HEADER))
        _exit(EXIT_FAILURE);
    std::int64_t ms = m_options.workMs;
    if (request.headers.has(WORK_HEADER))
        ms = std::strtoll(std::string(request.headers.get(WORK_HEADER)).c_str(), nullptr, 10);
    if (m_clock.now() - m_started < Duration{m_options.coldMs})
        ms += ms / 2;
    if (request.headers.has(TIMEOUT_HEADER)) {
        const auto left
            = std::strtoll(std::string(request.headers.get(TIMEOUT_HEADER)).c_str(), nullptr, 10);
        if (left <= 0)
            return notRun();
    }
    record(request, false);
    if (ms > 0 && !work(ms, callerSocket))
        record(request, true);
    HttpResponse response;
    response.headers.add("Content-Type", "application/json");
    response.body = nlohmann::json{
        {"server", m_options.id},
        {"path", request.path},
        {"token", std::string(request.headers.get(TOKEN_HEADER))},
        {"on_behalf_of", std::string(request.headers.get("Cornelwell-On-Behalf-Of"))},
        {"echo",
         request.body}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace cornelwell
