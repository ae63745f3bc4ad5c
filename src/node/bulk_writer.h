/** @file bulk_writer.h Sends large messages in frames, as OutputScheduler decides. */
#pragma once

#include "bandwidth/output_scheduler.h"
#include "loop/event_loop.h"

#include <functional>
#include <unordered_map>

namespace cornelwell {

/** What a flow did with its turn. */
enum class BulkProgress : std::uint8_t
{
    Sent,    ///< The bytes were handed to the connection.
    Blocked, ///< Nothing was sent: the connection has too many unsent bytes.
    Ended,   ///< Nothing was sent and nothing will be: the connection is closed.
};

/** A connection with more unsent bytes than this gets no further frame. */
constexpr std::size_t BULK_UNSENT_BYTES_MAX = 32768;

/** Sends the frames of large messages when the VM's link has room for them. */
class BulkWriter
{
public:
    /** Sends the next @p bytes of a message; may be called again with the same bytes if blocked. */
    using Sink = std::function<BulkProgress(std::size_t bytes)>;

    /** @param loop The event loop. @param options Rate of the link and sizes. */
    BulkWriter(EventLoop &loop, OutputSchedulerOptions options);
    ~BulkWriter();

    /**
     * Adds a message.
     * @param bytes Its size; above 0.
     * @param sink Sends each frame; not called before this returns.
     * @return the flow, for remove.
     */
    OutputFlowId add(std::size_t bytes, Sink sink);
    /** Drops the rest of a message; does nothing when it has been sent. */
    void remove(OutputFlowId flow);
    /** Records bytes that were sent without a flow. */
    void recordSent(std::size_t bytes) { m_scheduler.recordSent(bytes, m_loop.now()); }
    /** @return the decisions and the backlog. */
    const OutputScheduler &scheduler() const { return m_scheduler; }

private:
    /** A message that is being sent. */
    struct Flow
    {
        Sink sink;
        std::size_t bytesLeft = 0;
        std::size_t bytesBlocked = 0; ///< Granted bytes that the connection did not take yet.
    };

    void schedule(Duration delay);
    void sendDue();
    BulkProgress sendNow(OutputFlowId id, std::size_t bytes);
    void retryBlocked();

    EventLoop &m_loop;
    OutputScheduler m_scheduler;
    std::unordered_map<OutputFlowId, Flow> m_flows;
    OutputFlowId m_lastFlow = 0;
    TimerId m_timer = 0;
};

} // namespace cornelwell
