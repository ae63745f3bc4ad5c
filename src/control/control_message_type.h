/** @file control_message_type.h Messages between daemons. */
#pragma once

#include "distribution/distribution_type.h"
#include "membership/membership_type.h"
#include "retry/quarantine_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** First message on a link, from both sides. */
struct HelloMessage
{
    unsigned formatMin = 0; ///< Oldest message format that the sender reads.
    unsigned formatMax = 0; ///< Newest message format that the sender writes.
    MemberRecord sender;    ///< Who the sender is.
    Revision revision = 0;  ///< Version that it runs.
};

/** Sent in fixed intervals: the sender lives, and what it holds. */
struct HeartbeatMessage
{
    Revision revision = 0;          ///< Version that the sender runs.
    std::uint64_t memberDigest = 0; ///< Digest of its table of servers.
};

/** What the sender knows of some servers. */
struct MembersMessage
{
    std::vector<MemberClaim> claims; ///< Claims, in any order.
};

/** Digest of the servers of one data centre. */
struct DataCentreDigest
{
    DataCentreId dataCentre;  ///< The data centre.
    std::uint64_t digest = 0; ///< Digest of its living servers.
};

/** The sender's table by data centre; the receiver answers with what differs. */
struct DigestMessage
{
    std::vector<DataCentreDigest> digests; ///< One for each data centre known.
};

/** Requests that crashed backend servers. */
struct CrashesMessage
{
    std::vector<CrashReport> reports; ///< Reports, in any order.
};

/** Any message between daemons; the order is that of the kinds on the wire. */
using ControlMessage
    = std::variant<HelloMessage, HeartbeatMessage, MembersMessage, DigestMessage, ChangesMessage,
                   ChangesRequest, SnapshotMessage, RetryLater, CrashesMessage>;

constexpr std::size_t CONTROL_MESSAGE_KINDS = std::variant_size_v<ControlMessage>;

constexpr unsigned MESSAGE_FORMAT_MIN = 1; ///< Oldest format that is read.
constexpr unsigned MESSAGE_FORMAT_MAX = 1; ///< Newest format, which is written.

} // namespace cornelwell
