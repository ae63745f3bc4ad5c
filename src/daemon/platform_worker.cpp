/** @file platform_worker.cpp The worker's queue and thread. */
#include "daemon/platform_worker.h"

namespace cornelwell {

PlatformWorker::~PlatformWorker()
{
    stop();
}

void PlatformWorker::add(std::function<void()> job)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_stopping)
        return;
    m_jobs.push_back(std::move(job));
    if (!m_thread.joinable())
        m_thread = std::thread([this] { work(); });
    m_ready.notify_one();
}

void PlatformWorker::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        m_jobs.clear();
        m_ready.notify_one();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void PlatformWorker::work()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_ready.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        if (m_stopping)
            return;
        const std::function<void()> job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace cornelwell
