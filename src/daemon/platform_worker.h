/** @file platform_worker.h A thread for blocking calls to the platform. */
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace cornelwell {

/** Runs jobs one after the other on a thread of its own, which starts with the first job. */
class PlatformWorker
{
public:
    PlatformWorker() = default;
    ~PlatformWorker();
    PlatformWorker(const PlatformWorker &) = delete;
    PlatformWorker &operator=(const PlatformWorker &) = delete;

    /** Adds a job. */
    void add(std::function<void()> job);

    /** Ends the thread after the job that it runs now. */
    void stop();

private:
    void work();

    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<std::function<void()>> m_jobs;
    std::thread m_thread;
    bool m_stopping = false;
};

} // namespace cornelwell
