/** @file output_scheduler.h Shares of a VM's network link among large messages. */
#pragma once

#include "base/clock_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace cornelwell {

/** Identifies a flow; unique within the process. */
using OutputFlowId = std::uint64_t;

/** Messages of this size, in bytes, or above are sent in frames; smaller ones are sent at once. */
constexpr std::size_t BULK_BYTES_MIN = 12288;

/** Rate of the link and sizes. */
struct OutputSchedulerOptions
{
    /** Rate of the VM's link in bytes per second; 0 when it is unknown, and no flow waits for it.
     */
    std::uint64_t bytesPerSecond = 0;
    /** Share of the rate for flows; the rest covers packet headers and messages sent at once. */
    double flowShare = 0.93;
    Duration burst = {20};         ///< Unused rate that may be used later, as time at full rate.
    Duration debtMax = {500};      ///< Most use ahead of the rate that later flows make up for.
    std::size_t frameBytes = 8192; ///< Largest frame.
};

/** Permission to send the next bytes of a flow. */
struct OutputGrant
{
    OutputFlowId flow = 0; ///< The flow.
    std::size_t bytes = 0; ///< Number of bytes; at most a frame.
};

/**
 * Decides when each frame of the large messages leaves, so that the queue of the VM's link stays
 * short and small messages are not delayed. Flows get equal shares per unit of weight (deficit
 * round robin); together they use no more than the rate of the link leaves. Does no input or
 * output. Not thread-safe.
 */
class OutputScheduler
{
public:
    explicit OutputScheduler(OutputSchedulerOptions options) : m_options(options) {}

    /**
     * Adds a flow.
     * @param flow The flow; not added before.
     * @param bytes Number of bytes to send; above 0.
     * @param weight Share relative to the other flows; above 0.
     */
    void add(OutputFlowId flow, std::size_t bytes, unsigned weight);
    /** Removes a flow; does nothing when it is unknown. */
    void remove(OutputFlowId flow);
    /** Excludes a flow whose connection takes no more bytes, until unblockAll(). */
    void block(OutputFlowId flow);
    /** Includes all blocked flows again. @return true when there were any. */
    bool unblockAll();
    /** Records bytes that left without a grant; flows wait for them. */
    void recordSent(std::size_t bytes, TimePoint now);

    /** @return the next grant; nothing when no flow may send at this time. */
    std::optional<OutputGrant> next(TimePoint now);
    /** @return time until next() may give a grant; nothing when no flow is waiting. */
    std::optional<Duration> delay(TimePoint now);

    /** @return number of bytes of all flows that have no grant yet. */
    std::size_t backlogBytes() const { return m_backlogBytes; }
    /** @return rate of the link in bytes per second; 0 when it is unknown. */
    std::uint64_t bytesPerSecond() const { return m_options.bytesPerSecond; }
    /** @return bytes per second that flows can use together; 0 when the rate is unknown. */
    double flowBytesPerSecond() const
    {
        return static_cast<double>(m_options.bytesPerSecond) * m_options.flowShare;
    }

private:
    struct Flow
    {
        std::size_t bytesLeft = 0;
        unsigned weight = 1;
        std::size_t deficit = 0; ///< Bytes that it may send in this round.
        bool blocked = false;
    };

    void refill(TimePoint now);

    const OutputSchedulerOptions m_options;
    std::unordered_map<OutputFlowId, Flow> m_flows;
    std::deque<OutputFlowId> m_round; ///< Flows that are not blocked; the first is served.
    std::size_t m_backlogBytes = 0;
    double m_budgetBytes = 0; ///< Bytes that flows may send now; negative after use ahead.
    TimePoint m_refilledAt{0};
};

} // namespace cornelwell
