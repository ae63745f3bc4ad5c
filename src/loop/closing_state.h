/** @file closing_state.h How long a connection stays open after its last byte was sent. */
#pragma once

#include "base/clock_type.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace cornelwell {

/** Why a connection that had sent its last byte was closed. */
enum class CloseCause : std::uint8_t
{
    PeerClosed, ///< The peer closed it too.
    PeerReset,  ///< The peer reset it, or it failed.
    Silence,    ///< The peer has received all and sends nothing more, but does not close.
    TimeLimit,  ///< It was open for the longest time.
    Displaced,  ///< There were too many, and it gave way.
    Aborted,    ///< This side closed it before, with its service.
    Count
};

/** @return the name of a cause, for logs and metrics. */
const char *closeCauseName(CloseCause cause);

/** Bounds for connections that have sent their last byte (docs/design/connection-close.md). */
struct ClosingOptions
{
    /** It is closed when the peer has acknowledged all and sent nothing for this long. */
    Duration silenceMax{2000};
    Duration timeMax{30000};                 ///< It is closed after this time in any case.
    std::size_t inputBytesMax = 1024 * 1024; ///< Input that is read and discarded; then no more.
    std::size_t connectionsMax = 512;        ///< Connections at a time; a descriptor each.
    /** A stop of the process waits for this long after the peer has acknowledged all. */
    Duration settleTime{300};
    /** A stop of the process does not wait for a peer that has acknowledged nothing for so long. */
    Duration stalledMax{2000};
};

/** One connection that has sent its last byte; does no input or output. */
class ClosingState
{
public:
    /** @param options Bounds; they outlive the state. @param now When the last byte was sent. */
    ClosingState(const ClosingOptions &options, TimePoint now);

    /** Records discarded input. */
    void recordInput(std::size_t bytes, TimePoint now);
    /** Records the number of sent bytes that the peer has not acknowledged. */
    void recordUnacknowledged(std::size_t bytes, TimePoint now);
    /** @return true while input is read; later input stays in the system, which stops the peer. */
    bool readsInput() const;
    /** @return why the connection has to be closed at @p now; nothing while it stays open. */
    std::optional<CloseCause> closeCause(TimePoint now) const;
    /** @return true when the peer has received all, or no longer receives anything, so that a stop
     * of the process need not wait. */
    bool isSettled(TimePoint now) const;
    /** @return bytes of discarded input. */
    std::size_t inputBytes() const { return m_inputBytes; }
    /** @return when the last byte was sent. */
    TimePoint startedAt() const { return m_startedAt; }

private:
    const ClosingOptions &m_options;
    TimePoint m_startedAt;
    TimePoint m_lastInputAt;
    TimePoint m_lastProgressAt; ///< When the number of unacknowledged bytes changed last.
    std::optional<std::size_t> m_unacknowledgedBytes;
    std::size_t m_inputBytes = 0;
};

} // namespace cornelwell
