/** @file event_loop.h The one event loop of a process: sockets by Boost.Asio, timers, signals. */
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace cornelwell {

/** Number of a timer; 0 is no timer. */
using TimerId = std::uint64_t;

/** Runs everything of a process on one thread. */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** @return the monotonic time. */
    TimePoint now() const { return m_clock.now(); }
    /** @return the clock of the machine. */
    const Clock &clock() const { return m_clock; }
    /**
     * Calls a function once, later.
     * @param delay From now.
     * @param callback The function.
     * @return its number, for cancel.
     */
    TimerId after(Duration delay, std::function<void()> callback);
    /** Forgets a timer and sets @p timer to 0; one that has run is no fault. */
    void cancel(TimerId &timer);
    /** Calls a function for every signal of this number. */
    void onSignal(int number, std::function<void()> callback);
    /** Runs until stop. */
    void run();
    /** Ends run. */
    void stop();
    /** @return the library's loop, for sockets. */
    boost::asio::io_context &context();

private:
    class Impl;
    SystemClock m_clock;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cornelwell
