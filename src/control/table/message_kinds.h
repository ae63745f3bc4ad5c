/** @file message_kinds.h Kinds of messages: names and the format that brought them. */
#pragma once

#include "control/control_message_type.h"

#include <iterator>

namespace cornelwell {

/** One kind of message. */
struct MessageKindRow
{
    const char *name;     ///< Name, for metrics and logs.
    unsigned sinceFormat; ///< First format that has it.
};

/** Rows in the order of the alternatives of ControlMessage. */
constexpr MessageKindRow MESSAGE_KINDS[] = {
    {"hello", 1},           {"heartbeat", 1}, {"members", 1},     {"digest", 1},  {"changes", 1},
    {"changes_request", 1}, {"snapshot", 1},  {"retry_later", 1}, {"crashes", 1},
};

static_assert(std::size(MESSAGE_KINDS) == CONTROL_MESSAGE_KINDS, "a row for each kind of message");

} // namespace cornelwell
