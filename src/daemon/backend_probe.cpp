/** @file backend_probe.cpp The probe's thread. */
#include "daemon/backend_probe.h"

#include <algorithm>
#include <chrono>

namespace cornelwell {

namespace {

constexpr Duration PROBE_TIMEOUT = {500};    ///< Longest wait for an answer to a probe.
constexpr Duration PAUSE_WHILE_DOWN = {200}; ///< Pause between probes until the server is ready.

} // namespace

BackendProbe::BackendProbe(const BackendSettings &backend, const Clock &clock,
                           std::function<void(MemberState)> onState)
    : m_backend(backend)
    , m_clock(clock)
    , m_onState(std::move(onState))
    , m_client(clock, 1)
    , m_thread([this] { work(); })
{}

BackendProbe::~BackendProbe()
{
    stop();
}

void BackendProbe::hurry()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_hurry = true;
    m_wake.notify_one();
}

void BackendProbe::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        m_wake.notify_one();
    }
    if (m_thread.joinable())
        m_thread.join();
}

MemberState BackendProbe::probe()
{
    HttpRequest request;
    request.path = "/health";
    HttpBounds bounds;
    bounds.deadline = m_clock.now() + PROBE_TIMEOUT;
    const HttpOutcome outcome = m_client.execute(m_backend.address, request, bounds);
    if (outcome.failure != HttpFailure::None)
        return MemberState::Warming;
    if (outcome.response.status == 200)
        return MemberState::Ready;
    return outcome.response.status == 503 ? MemberState::Draining : MemberState::Warming;
}

void BackendProbe::work()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_hurry = false;
        lock.unlock();
        const MemberState state = probe();
        m_onState(state);
        lock.lock();
        const Duration pause = state == MemberState::Ready
                                   ? m_backend.probeInterval
                                   : std::min(PAUSE_WHILE_DOWN, m_backend.probeInterval);
        m_wake.wait_for(lock, std::chrono::milliseconds(pause.ms),
                        [this] { return m_stopping || m_hurry; });
    }
}

} // namespace cornelwell
