/** @file dispatch_type.h Requests that a daemon dispatches, and the actions of its dispatcher. */
#pragma once

#include "hosting/hosting_type.h"
#include "routes/route_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** Identifies a caller's request that has no answer yet; unique within the process. */
using PendingRequestId = std::uint64_t;
/** Identifies one offer of a request to a hosting daemon; unique within the process. */
using OfferId = std::uint64_t;

/** Attributes of a caller's request that the dispatcher needs. */
struct RequestAttributes
{
    std::shared_ptr<const Route> route; ///< Route, of the version in force when the request came.
    ServiceName service;                ///< Service of the route that runs the request.
    std::uint64_t fingerprint = 0;      ///< Hash of the request; equal for retries of the request.
    TimePoint deadline;                 ///< Earlier of callerDeadline and the route's timeout.
    TimePoint callerDeadline;           ///< Time at which the caller stops waiting.
    TimePoint softDeadline;       ///< A later answer is worth less; a retry keeps the first value.
    bool fromLocalServer = false; ///< The local server made the request, as a nested call.
    std::optional<unsigned> callerRank; ///< Rank of the requests that make such nested calls.
    bool isRetry = false;               ///< An earlier attempt was refused or has failed.
    std::size_t bodyBytes = 0;          ///< Size of the request's body.
    std::string tenant; ///< Name of the tenant whose key the request has; may be empty.
    std::optional<unsigned>
        tenantPriority; ///< Goes before the route's; empty when no tenants are in force.
};

/** Offers the request to a hosting daemon. */
struct SendOffer
{
    PendingRequestId request = 0; ///< The request.
    OfferId offer = 0;            ///< Identifies this offer.
    ServerId daemon;              ///< Hosting daemon; may be this daemon.
    std::string instance;         ///< Instance of the server that must run the request.
    unsigned rank = 0;            ///< Requests of a lower rank run first.
    Duration queueWaitMax;        ///< The daemon refuses to queue it for longer; below 0: no limit.
};
/** Withdraws an offer at its hosting daemon. */
struct CancelOffer
{
    OfferId offer = 0;         ///< The offer.
    ServerId daemon;           ///< Hosting daemon that received the offer.
    bool onlyIfQueued = false; ///< Keep a request that its server has already received.
};
/** Asks a hosting daemon for the outcome of an offer after the link to the daemon broke. */
struct AskOutcome
{
    OfferId offer = 0; ///< The offer.
    ServerId daemon;   ///< Hosting daemon that received the offer.
};
/** Forwards the server's response to the caller. */
struct ForwardResponse
{
    PendingRequestId request = 0; ///< The request.
    HttpResponse response;        ///< Response of the server.
};
/** Answers the caller with a response that this daemon generates. */
struct SendLocalReply
{
    PendingRequestId request = 0; ///< The request.
    int status = 503; ///< HTTP status; 503: the request has not run, 502 and 504: it may have run.
    HostReason reason = HostReason::None; ///< Why no server's response is forwarded.
    Duration retryAfter;                  ///< Advised delay before a retry; 0 gives no advice.
};
/** An action that the dispatcher requests from its owner. */
using DispatchAction
    = std::variant<SendOffer, CancelOffer, AskOutcome, ForwardResponse, SendLocalReply>;
using DispatchActions = std::vector<DispatchAction>;

} // namespace cornelwell
