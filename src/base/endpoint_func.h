/** @file endpoint_func.h Endpoints from text and to text. */
#pragma once

#include "base/identifier_type.h"
#include "base/result.h"

#include <string>

namespace cornelwell {

/** @return true when @p text is an IPv4 or IPv6 number, not a host name. */
bool isIpAddress(const std::string &text);

/**
 * Reads `IP:PORT`, for IPv6 `[IP]:PORT`.
 * @param text The text to read.
 * @return the endpoint, or AddressInvalid.
 */
Result<Endpoint> parseEndpoint(const std::string &text);

/** @return the endpoint as `IP:PORT`. */
std::string formatEndpoint(const Endpoint &endpoint);

} // namespace cornelwell
