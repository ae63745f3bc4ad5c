/** @file event_loop.h The event loop of a process: timers, signals and Boost.Asio sockets. */
#pragma once

#include "base/clock.h"
#include "loop/closing_state.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace cornelwell {

class ClosingConnections;

/** Identifier of a timer; 0 stands for no timer. */
using TimerId = std::uint64_t;

/** Single-threaded event loop; all callbacks run on the thread that calls run. */
class EventLoop
{
public:
    /** @param closing Bounds for connections that have sent their last byte. */
    explicit EventLoop(const ClosingOptions &closing = {});
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** @return the current monotonic time. */
    TimePoint now() const { return m_clock.now(); }
    /** @return the system clock that the loop uses. */
    const Clock &clock() const { return m_clock; }
    /**
     * Starts a timer that calls a function once.
     * @param delay Time until the call; a negative delay counts as 0.
     * @param callback The function; it is never called before this returns.
     * @return the timer, for cancel.
     */
    TimerId after(Duration delay, std::function<void()> callback);
    /** Cancels a timer and sets @p timer to 0; does nothing when the timer has fired. */
    void cancel(TimerId &timer);
    /** Calls a function each time the process receives signal @p number. */
    void onSignal(int number, std::function<void()> callback);
    /** Runs callbacks until stop is called. */
    void run();
    /** Makes run return. */
    void stop();
    /** @return the connections of this loop that have sent their last byte. */
    ClosingConnections &closingConnections() { return *m_closingConnections; }
    /** @return the Boost.Asio context, for sockets. */
    boost::asio::io_context &context();

private:
    class Impl;
    SystemClock m_clock;
    std::unique_ptr<Impl> m_impl;
    std::unique_ptr<ClosingConnections> m_closingConnections; ///< Their sockets need m_impl.
};

} // namespace cornelwell
