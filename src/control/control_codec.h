/** @file control_codec.h Messages between daemons to CBOR and back. */
#pragma once

#include "base/result.h"
#include "control/control_message_type.h"
#include "timeline/timeline_type.h"

#include <cstddef>
#include <string>

namespace cornelwell {

/** A message with the stamp that orders events over processes. */
struct StampedMessage
{
    EventStamp stamp;       ///< Stamp of the sender.
    ControlMessage message; ///< The message.
};

/** @return the message as CBOR: `[kind, stamp ms, stamp counter, body...]`. */
std::string encodeMessage(const StampedMessage &stamped);

/**
 * Reads a message; parts added by later formats are left out.
 * @param bytes CBOR of any origin.
 * @return the message, or PeerMalformed.
 */
Result<StampedMessage> decodeMessage(const std::string &bytes);

/** @return the name of the message's kind. */
const char *messageKindName(std::size_t kind);

} // namespace cornelwell
