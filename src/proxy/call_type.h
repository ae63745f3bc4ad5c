/** @file call_type.h One call on its way through daemons. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"
#include "base/result_code_type.h"
#include "catalogue/entry_type.h"
#include "http/http_type.h"
#include "retry/retry_type.h"
#include "routing/routing_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cornelwell {

/** Header fields of the system; those from outside callers are taken out, but for CALL and TIMEOUT.
 */
namespace header {
constexpr const char *CALL = "Cornelwell-Call"; ///< Identifier of the call in progress.
constexpr const char *TIMEOUT
    = "Cornelwell-Timeout-Ms";                    ///< Time that the caller gives, or that is left.
constexpr const char *ENTRY = "Cornelwell-Entry"; ///< Entry of the request.
constexpr const char *CHAIN = "Cornelwell-On-Behalf-Of"; ///< Services that the call came through.
constexpr const char *CODE = "Cornelwell-Code";          ///< Result code of the answer.
constexpr const char *OUTCOME = "Cornelwell-Outcome";    ///< answered, not-run or unknown.
constexpr const char *LOAD = "Cornelwell-Load";     ///< Requests running and waiting at the server.
constexpr const char *SERVER = "Cornelwell-Server"; ///< Server that ran the request.
constexpr const char *CLAIMED_BY
    = "Cornelwell-Claimed-By";                        ///< Daemon that has the claim of the key.
constexpr const char *REPEAT = "Cornelwell-Repeat";   ///< The answer is that of an earlier request.
constexpr const char *NOT_RUN = "Cornelwell-Not-Run"; ///< A backend server refused without running.
constexpr const char *KEY = "Idempotency-Key";     ///< Key of a request that may not be repeated.
constexpr const char *RETRY_AFTER = "Retry-After"; ///< Seconds until the caller should come back.
constexpr const char *RETRY_AFTER_MS = "Cornelwell-Retry-After-Ms"; ///< The same in milliseconds.
} // namespace header

/** What travels with a call through a chain of services. */
struct CallContext
{
    std::string id;                 ///< Identifier, the same through the whole chain.
    TimePoint deadline;             ///< When the answer must be there, on this daemon's clock.
    std::vector<ServiceName> chain; ///< Services that it came through, the first one first.
};

/** A call to be carried to a server. */
struct OutgoingCall
{
    CallContext context;                 ///< What travels with it.
    const EntryInForce *entry = nullptr; ///< Entry of the request.
    HttpRequest request;                 ///< The request without the system's headers.
    int callerSocket = -1;               ///< Closed when the caller goes away.
};

/** How an attempt of a call ended. */
struct CallResult
{
    AttemptResult attempt;              ///< How far it got.
    HttpResponse response;              ///< The answer, when there is one.
    std::string detail;                 ///< For a person.
    Duration retryAfter;                ///< When the caller should come back.
    std::optional<LoadReport> load;     ///< Load that came with the answer.
    std::string claimedBy;              ///< Daemon that has the claim of the key, if another has.
    std::uint64_t claimIncarnation = 0; ///< Its incarnation.
    ServerId server;                    ///< Server that was asked.
};

} // namespace cornelwell
