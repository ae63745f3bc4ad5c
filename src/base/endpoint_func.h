/** @file endpoint_func.h Conversion of endpoints from and to text. */
#pragma once

#include "base/identifier_type.h"
#include "base/result.h"

#include <string>

namespace cornelwell {

/** @return true when @p text is an IPv4 or IPv6 address, not a host name. */
bool isIpAddress(const std::string &text);

/**
 * Parses `IP:PORT`; an IPv6 address may stand in brackets, as in `[IP]:PORT`.
 * @param text The text to parse.
 * @return the endpoint, or AddressInvalid.
 */
Result<Endpoint> parseEndpoint(const std::string &text);

/** @return the endpoint as `IP:PORT`, for IPv6 as `[IP]:PORT`. */
std::string formatEndpoint(const Endpoint &endpoint);

} // namespace cornelwell
