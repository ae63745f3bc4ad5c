/** @file call_func.h Requests and answers to and from the form in which daemons exchange them. */
#pragma once

#include "base/result.h"
#include "proxy/call_type.h"

#include <string>
#include <vector>

namespace cornelwell {

/** @return the headers that pass through unchanged: none of the connection's, none of the system's.
 */
HttpHeaders passedHeaders(const HttpHeaders &headers);

/** @return the chain as header value. */
std::string chainText(const std::vector<ServiceName> &chain);

/** @return the chain of a header value. */
std::vector<ServiceName> parseChain(std::string_view text);

/** @return a whole number of milliseconds from a header, or nothing. */
std::optional<Duration> parseMilliseconds(std::string_view text);

/** @return the load as header value. */
std::string loadText(const LoadReport &load);

/** @return the load of a header value, or nothing. */
std::optional<LoadReport> parseLoad(std::string_view text);

/** @return hash of all that makes two requests the same. */
std::uint64_t requestFingerprint(const HttpRequest &request);

/** @return true when the entry lets a call with this chain through. */
bool mayCall(const Entry &entry, const std::vector<ServiceName> &chain);

/** Makes the answer that says how a call ended without an answer of a backend server. */
HttpResponse refusalResponse(const CallResult &result, const std::string &callId);

/** @return a result that says that nothing was run. */
CallResult notRun(ResultCode code, std::string detail, Duration retryAfter, bool retryElsewhere);

/** @return a result that says that it may have been run. */
CallResult unknownOutcome(ResultCode code, std::string detail, bool retryElsewhere);

/** Makes the answer that one daemon gives another. */
HttpResponse relayResponse(const CallResult &result, const LoadReport &load);

/** Reads the answer that another daemon gave. */
CallResult parseRelayResponse(HttpOutcome outcome);

/** Makes the request that one daemon sends another. */
HttpRequest relayRequest(const OutgoingCall &call, TimePoint now);

} // namespace cornelwell
