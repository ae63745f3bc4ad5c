/** @file input_scheduler.h Grants for large messages into a VM's network link. */
#pragma once

#include "base/clock_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cornelwell {

/** Identifies a transfer; unique within the process. */
using InputTransferId = std::uint64_t;

/** Rate of the link, sizes and times. */
struct InputSchedulerOptions
{
    /** Rate of the VM's link in bytes per second; 0 when it is unknown, and no transfer waits for
     * it or is refused because of it. */
    std::uint64_t bytesPerSecond = 0;
    /** Share of the rate for transfers; the rest covers packet headers and small messages. */
    double transferShare = 0.9;
    Duration burst = {10};   ///< Unused rate that may be used later, as time at full rate.
    Duration debtMax = {50}; ///< Most other input that later grants make up for.
    /** Granted bytes that have not arrived, from senders of the own data centre. On a link of
     * 10 Mbit/s they delay a small message by 20 ms. */
    std::size_t outstandingMax = 24576;
    /** The same from senders of other data centres, counted apart. It is larger because grants are
     * paced and the way is longer: 24 KB a round trip of 60 ms would use a third of 10 Mbit/s. */
    std::size_t remoteOutstandingMax = 49152;
    std::size_t grantBytes = 8192;    ///< Grants are multiples of this, but for the end of a body.
    Duration progressTimeout = {300}; ///< A transfer whose granted bytes do not arrive ends then.
    /** Bytes of bodies that are accepted, or whole and not yet at the server; bounds memory. */
    std::uint64_t heldBytesMax = 24ULL * 1024 * 1024;
};

/** A large message that a sender wants to transfer. */
struct InputTransfer
{
    InputTransferId id = 0;       ///< Identifies the transfer.
    std::uint64_t bytes = 0;      ///< Its size; above 0.
    unsigned rank = 0;            ///< Lower ranks are transferred first.
    TimePoint due{0};             ///< It is of no use when it is whole later than this.
    TimePoint softDue{0};         ///< Its call misses its soft deadline when it is whole later.
    Duration waitMax{-1};         ///< Refuse it when it would wait for longer; below 0: no limit.
    bool acceptsLate = false;     ///< Accept it also when it waits and misses softDue.
    bool otherDataCentre = false; ///< The sender is in another data centre.
};

/** Whether a transfer is accepted. */
enum class InputVerdict : std::uint8_t
{
    Accepted, ///< Its bytes are granted in time.
    TooLate,  ///< It could not end in time even if it did not wait.
    Busier,   ///< It would wait for longer than InputTransfer::waitMax.
    Full,     ///< With those before it, it or an accepted one of its rank could not end in time.
};

/** Answer to a transfer. */
struct InputAdmission
{
    InputVerdict verdict = InputVerdict::Accepted; ///< Whether it is accepted.
    Duration wait{0};                              ///< Expected wait for those before it.
};

/** Permission to send the next bytes of a transfer. */
struct InputGrant
{
    InputTransferId transfer = 0; ///< The transfer.
    std::size_t bytes = 0;        ///< Number of bytes.
};

/** What a transfer is after some of its bytes arrived. */
enum class InputProgress : std::uint8_t
{
    Unknown, ///< There is no such transfer.
    Partial, ///< More bytes follow.
    Whole,   ///< All bytes arrived; the transfer is removed.
    Excess,  ///< More bytes arrived than were granted; the transfer is removed.
};

/** Why an accepted transfer is ended. */
enum class InputFailure : std::uint8_t
{
    Stalled, ///< Its granted bytes do not arrive.
    TooLate, ///< It cannot end in time any more.
};

/**
 * Decides which large messages may be sent to this VM, and grants their bytes, so that the queue in
 * front of the VM's link stays short and small messages are not delayed. Accepted transfers are
 * served by rank and then by due time. Does no input or output. Not thread-safe.
 */
class InputScheduler
{
public:
    explicit InputScheduler(InputSchedulerOptions options) : m_options(options) {}

    /**
     * Decides on a transfer; an accepted one gets grants until it is whole or removed.
     * @param transfer The transfer.
     * @param heldBytes Bytes of whole bodies that are held.
     * @param now Time.
     */
    InputAdmission submit(const InputTransfer &transfer, std::uint64_t heldBytes, TimePoint now);
    /** Handles bytes of a transfer that arrived. */
    InputProgress handleReceived(InputTransferId id, std::size_t bytes, TimePoint now);
    /** Removes a transfer; does nothing when it is unknown. */
    void remove(InputTransferId id);
    /**
     * Records bytes that arrived over the link, those of transfers included. Grants wait for those
     * of other messages.
     */
    void recordInput(std::size_t bytes);

    /** @return the grants that are possible now, at most one for each transfer. */
    std::vector<InputGrant> grants(TimePoint now);
    /** Removes the transfers that stall or cannot end in time. @return them. */
    std::vector<std::pair<InputTransferId, InputFailure>> expire(TimePoint now);
    /** @return time until grants() or expire() may give something; nothing without transfers. */
    std::optional<Duration> delay(TimePoint now);

    /** @return transfers that have got no grant yet. */
    std::vector<InputTransferId> notStarted() const;
    /** @return bytes of accepted transfers that have not arrived. */
    std::uint64_t committedBytes() const { return m_committedBytes; }
    /** @return bytes that are granted and have not arrived. */
    std::uint64_t outstandingBytes() const { return m_outstanding[0] + m_outstanding[1]; }
    /** @return true when there are no transfers. */
    bool empty() const { return m_transfers.empty(); }

private:
    struct Transfer
    {
        InputTransfer request;
        TimePoint wantedBy{0};     ///< Second key of the order.
        std::uint64_t granted = 0; ///< Bytes granted so far.
        std::uint64_t arrived = 0; ///< Bytes that have arrived.
        TimePoint progressAt{0};   ///< Last arrival, or grant when nothing was outstanding.
    };
    /** Order of grants: rank, due time, arrival. */
    using Key = std::pair<std::pair<unsigned, std::int64_t>, InputTransferId>;

    static Key keyOf(const Transfer &transfer);
    double bytesPerMs() const;
    Duration timeOf(std::uint64_t bytes) const;
    bool delaysOthers(const Transfer &added, std::uint64_t bytesBefore, TimePoint now) const;
    void refill(TimePoint now);

    const InputSchedulerOptions m_options;
    std::map<InputTransferId, Transfer> m_transfers;
    std::set<Key> m_order;
    std::uint64_t m_committedBytes = 0;
    std::uint64_t m_outstanding[2] = {0, 0}; ///< From the own and from other data centres.
    double m_budgetBytes = 0;                ///< Bytes that may be granted now.
    std::int64_t m_otherInput
        = 0; ///< Recorded input less that of transfers, since the last refill.
    TimePoint m_refilledAt{0};
};

} // namespace cornelwell
