/** @file dispatch_type.h A caller's request on its way to a server, at the daemon that took it. */
#pragma once

#include "hosting/hosting_type.h"
#include "routes/route_type.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** Number of a caller's request, unique within the process. */
using PendingRequestId = std::uint64_t;
/** Number of one offer of it to a server, unique within the process. */
using OfferId = std::uint64_t;

/** What the decision needs to know of a request. */
struct RequestAttributes
{
    std::shared_ptr<const Route> route; ///< Its route, of the version in force when it came.
    ServiceName service;                ///< The part of the route that runs it.
    std::uint64_t fingerprint = 0;      ///< Hash of the request; equal for its repeats.
    TimePoint deadline;                 ///< The caller's deadline or the route's timeout.
    TimePoint callerDeadline;           ///< The caller's own deadline.
    TimePoint softDeadline;             ///< An answer by then is worth most.
    bool fromLocalServer = false;       ///< The server beside this daemon made it.
    bool isRetry = false;               ///< It was refused before and has come back.
    std::size_t bodyBytes = 0;          ///< Size of the request.
};

/** Offer the request to a server. */
struct SendOffer
{
    PendingRequestId request = 0; ///< The request.
    OfferId offer = 0;            ///< Number of the offer.
    ServerId daemon;              ///< Daemon beside the server; may be this one.
    std::string instance;         ///< Identity of the server.
    unsigned rank = 0;            ///< Lower goes first.
    Duration waitMax; ///< With a longer wait the offer is to be refused; below 0: any wait.
};
/** Tell the hosting daemon that an offer is given up. */
struct CancelOffer
{
    OfferId offer = 0;        ///< The offer.
    ServerId daemon;          ///< Where it was sent.
    bool onlyWaiting = false; ///< When the server has begun it, it runs to its end.
};
/** Ask the hosting daemon how an offer ended whose link broke. */
struct AskOutcome
{
    OfferId offer = 0; ///< The offer.
    ServerId daemon;   ///< Where it was sent.
};
/** Give the caller the server's answer. */
struct ForwardResponse
{
    PendingRequestId request = 0; ///< The request.
    HttpResponse response;        ///< The answer.
};
/** Give the caller an answer of this daemon's own. */
struct SendLocalReply
{
    PendingRequestId request = 0;         ///< The request.
    int status = 503;                     ///< 503: not run and never will be; 502, 504: not known.
    HostReason reason = HostReason::None; ///< Why.
    Duration retryAfter;                  ///< When to come back; 0 for no advice.
};
/** An action of the dispatch. */
using DispatchAction
    = std::variant<SendOffer, CancelOffer, AskOutcome, ForwardResponse, SendLocalReply>;
using DispatchActions = std::vector<DispatchAction>;

} // namespace cornelwell
