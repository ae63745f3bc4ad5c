/** @file backend_probe.h Asks the backend server on this VM whether it takes requests. */
#pragma once

#include "base/clock.h"
#include "http/http_client.h"
#include "membership/membership_type.h"
#include "settings/settings_type.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace cornelwell {

/** Probes `GET /health` in a thread of its own: 200 is ready, 503 draining, anything else warming.
 */
class BackendProbe
{
public:
    /**
     * @param backend The backend server.
     * @param clock Time.
     * @param onState Called with the state of each probe.
     */
    BackendProbe(const BackendSettings &backend, const Clock &clock,
                 std::function<void(MemberState)> onState);
    ~BackendProbe();
    BackendProbe(const BackendProbe &) = delete;
    BackendProbe &operator=(const BackendProbe &) = delete;

    /** Probes at once: the call path found the server gone. */
    void hurry();

    /** Ends the thread. */
    void stop();

private:
    MemberState probe();
    void work();

    const BackendSettings m_backend;
    const Clock &m_clock;
    const std::function<void(MemberState)> m_onState;
    HttpClient m_client;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    bool m_hurry = false;
    std::thread m_thread;
};

} // namespace cornelwell
