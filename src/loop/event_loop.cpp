/** @file event_loop.cpp One library timer serves all timers, so that few system calls arm it. */
#include "loop/event_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <vector>

namespace cornelwell {

class EventLoop::Impl
{
public:
    explicit Impl(const Clock &clock) : m_clock(clock) {}

    TimerId add(Duration delay, std::function<void()> callback)
    {
        const TimePoint at = m_clock.now() + (delay.ms > 0 ? delay : Duration{0});
        const TimerId id = ++m_lastTimer;
        m_timers.emplace(id, at);
        m_queue.emplace(Key{at.ms, id}, std::move(callback));
        arm();
        return id;
    }

    void cancel(TimerId id)
    {
        const auto found = m_timers.find(id);
        if (found == m_timers.end())
            return;
        m_queue.erase(Key{found->second.ms, id});
        m_timers.erase(found);
    }

    void onSignal(int number, std::function<void()> callback)
    {
        m_signals.push_back(std::make_unique<boost::asio::signal_set>(m_context, number));
        waitForSignal(*m_signals.back(), std::move(callback));
    }

    boost::asio::io_context m_context{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};

private:
    using Key = std::pair<std::int64_t, TimerId>;

    /** Arms the library's timer when the next timer is earlier than what it waits for. */
    void arm()
    {
        if (m_queue.empty() || m_queue.begin()->first.first >= m_armedFor)
            return;
        m_armedFor = m_queue.begin()->first.first;
        const std::int64_t left = m_armedFor - m_clock.now().ms;
        m_timer.expires_after(std::chrono::milliseconds(left > 0 ? left : 0));
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                fire();
        });
    }

    void fire()
    {
        m_armedFor = NEVER.ms;
        const std::int64_t now = m_clock.now().ms;
        while (!m_queue.empty() && m_queue.begin()->first.first <= now) {
            const auto first = m_queue.begin();
            const std::function<void()> callback = std::move(first->second);
            m_timers.erase(first->first.second);
            m_queue.erase(first);
            callback();
        }
        arm();
    }

    static void waitForSignal(boost::asio::signal_set &set, std::function<void()> callback)
    {
        set.async_wait([&set, callback = std::move(callback)](
                           const boost::system::error_code &error, int) mutable {
            if (error)
                return;
            callback();
            waitForSignal(set, std::move(callback));
        });
    }

    const Clock &m_clock;
    boost::asio::steady_timer m_timer{m_context};
    std::map<Key, std::function<void()>> m_queue;
    std::map<TimerId, TimePoint> m_timers;
    std::int64_t m_armedFor = NEVER.ms;
    TimerId m_lastTimer = 0;
    std::vector<std::unique_ptr<boost::asio::signal_set>> m_signals;
};

EventLoop::EventLoop() : m_impl(std::make_unique<Impl>(m_clock)) {}

EventLoop::~EventLoop() = default;

TimerId EventLoop::after(Duration delay, std::function<void()> callback)
{
    return m_impl->add(delay, std::move(callback));
}

void EventLoop::cancel(TimerId &timer)
{
    if (timer != 0)
        m_impl->cancel(timer);
    timer = 0;
}

void EventLoop::onSignal(int number, std::function<void()> callback)
{
    m_impl->onSignal(number, std::move(callback));
}

void EventLoop::run()
{
    const auto guard = boost::asio::make_work_guard(m_impl->m_context);
    m_impl->m_context.restart();
    m_impl->m_context.run();
}

void EventLoop::stop()
{
    m_impl->m_context.stop();
}

boost::asio::io_context &EventLoop::context()
{
    return m_impl->m_context;
}

} // namespace cornelwell
