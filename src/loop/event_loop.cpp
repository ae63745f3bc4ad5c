/** @file event_loop.cpp Event loop on Boost.Asio. One Asio timer serves all timers, which saves
 * system calls to arm them. */
#include "loop/event_loop.h"

#include "loop/closing_connections.h"

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
        const TimePoint due = m_clock.now() + (delay.ms > 0 ? delay : Duration{0});
        const TimerId id = ++m_lastTimerId;
        m_dueTimes.emplace(id, due);
        m_callbacks.emplace(Key{due.ms, id}, std::move(callback));
        arm();
        return id;
    }

    void cancel(TimerId id)
    {
        const auto found = m_dueTimes.find(id);
        if (found == m_dueTimes.end())
            return;
        m_callbacks.erase(Key{found->second.ms, id});
        m_dueTimes.erase(found);
    }

    void onSignal(int number, std::function<void()> callback)
    {
        m_signalSets.push_back(std::make_unique<boost::asio::signal_set>(m_context, number));
        waitForSignal(*m_signalSets.back(), std::move(callback));
    }

    boost::asio::io_context m_context{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};

private:
    /** Due time in milliseconds, then identifier: timers due at one time run in start order. */
    using Key = std::pair<std::int64_t, TimerId>;

    /** Arms the Asio timer when the earliest timer is due before the time that it is armed for. */
    void arm()
    {
        if (m_callbacks.empty() || m_callbacks.begin()->first.first >= m_armedForMs)
            return;
        m_armedForMs = m_callbacks.begin()->first.first;
        const std::int64_t leftMs = m_armedForMs - m_clock.now().ms;
        m_asioTimer.expires_after(std::chrono::milliseconds(leftMs > 0 ? leftMs : 0));
        m_asioTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                runDueTimers();
        });
    }

    void runDueTimers()
    {
        m_armedForMs = NEVER.ms;
        const std::int64_t nowMs = m_clock.now().ms;
        while (!m_callbacks.empty() && m_callbacks.begin()->first.first <= nowMs) {
            const auto first = m_callbacks.begin();
            const std::function<void()> callback = std::move(first->second);
            m_dueTimes.erase(first->first.second);
            m_callbacks.erase(first);
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
    boost::asio::steady_timer m_asioTimer{m_context};
    std::map<Key, std::function<void()>> m_callbacks;
    std::map<TimerId, TimePoint> m_dueTimes;
    std::int64_t m_armedForMs = NEVER.ms;
    TimerId m_lastTimerId = 0;
    std::vector<std::unique_ptr<boost::asio::signal_set>> m_signalSets;
};

EventLoop::EventLoop(const ClosingOptions &closing)
    : m_impl(std::make_unique<Impl>(m_clock))
    , m_closingConnections(std::make_unique<ClosingConnections>(*this, closing))
{}

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
