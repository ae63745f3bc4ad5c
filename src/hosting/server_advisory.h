/** @file server_advisory.h What a server says of itself in the header fields of its answers. */
#pragma once

#include "base/result.h"

#include <optional>
#include <string_view>

namespace cornelwell {

/** State of a server, as one of its answers names it. */
struct ServerAdvisory
{
    /** Requests a second that the server takes from all daemons together; nothing: no limit. */
    std::optional<double> requestsPerSecond;
    bool leaving = false; ///< The server is about to stop and accepts no new requests.
};

/**
 * Reads the advisory fields of an answer.
 * @param limit Value of the field that names the limit, in requests a second; empty when absent.
 * @param leaving Value of the field that says that the server leaves; empty when absent.
 * @return the advisory, or ServerAdvisoryMalformed when the limit is no decimal number of 0 or
 * more.
 */
Result<ServerAdvisory> parseServerAdvisory(std::string_view limit, std::string_view leaving);

} // namespace cornelwell
