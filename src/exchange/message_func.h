/** @file message_func.h Requests and answers as bytes; fields that concern one connection only. */
#pragma once

#include "http/http_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace cornelwell {

/** @return the fields that go on to the next hop: all but those of one connection and framing. */
HttpHeaders endToEndHeaders(const HttpHeaders &headers);
/** @return the fields without those of the given names. */
HttpHeaders withoutHeaders(const HttpHeaders &headers, const std::vector<std::string> &names);
/** @return the request as bytes; its framing is a counted body, whatever it came with. */
std::string serializeRequest(const HttpRequest &request);
/**
 * @param response Status, fields and body.
 * @param method Method of the request; an answer to HEAD has no body.
 * @param close The connection ends behind the answer.
 * @return the answer as bytes.
 */
std::string serializeResponse(const HttpResponse &response, std::string_view method, bool close);

} // namespace cornelwell
