/** @file message_func.h Serialization of HTTP/1.1 messages; removal of hop-by-hop fields. */
#pragma once

#include "http/http_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace cornelwell {

/** @return the fields to forward to the next hop: all but hop-by-hop and framing fields. */
HttpHeaders endToEndHeaders(const HttpHeaders &headers);
/** @return the fields whose names are not in @p names; names are compared without case. */
HttpHeaders withoutHeaders(const HttpHeaders &headers, const std::vector<std::string> &names);
/**
 * Serializes a request. The body is framed by Content-Length, however it was received.
 * @param request The request; `path` holds the whole target, query included.
 * @return the bytes to send.
 */
std::string serializeRequest(const HttpRequest &request);
/**
 * Serializes a response.
 * @param response Status, fields and body.
 * @param method Method of the request; the body is omitted for HEAD.
 * @param close Whether to announce that the connection closes after the response.
 * @return the bytes to send.
 */
std::string serializeResponse(const HttpResponse &response, std::string_view method, bool close);

} // namespace cornelwell
