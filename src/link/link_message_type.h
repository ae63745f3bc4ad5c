/** @file link_message_type.h Messages on the links that carry calls between daemons. */
#pragma once

#include "dispatch/dispatch_type.h"
#include "fleet/fleet_type.h"
#include "hosting/hosting_type.h"
#include "retry/quarantine_type.h"
#include "routes/route_update.h"

#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** Version of the message format; daemons with another one are not linked. */
constexpr unsigned LINK_FORMAT = 2;

/** First message of the daemon that opened the link. */
struct LinkHello
{
    unsigned format = LINK_FORMAT; ///< Format that it speaks.
    DaemonRecord daemon;           ///< Who it is.
    Revision version = 0;          ///< Version that it has in force.
    ServerId to;                   ///< Whom it means; an address may have got a new owner.
};
/** State of the accepting daemon; the first one answers the hello. */
struct LinkState
{
    ServerId name;                 ///< Who it is.
    std::uint64_t incarnation = 0; ///< Its start.
    HostLoad load;                 ///< Load of its server.
    Revision version = 0;          ///< Version that it has in force.
    Duration storeAge;             ///< How long ago it heard from the platform's store.
    bool leaving = false;          ///< It is about to stop.
    bool watching = false;         ///< It watches the platform's store and pushes versions.
    std::string leftInstance;      ///< Server beside the receiver that was last heard to leave.
};
/** Offers a call. */
struct LinkCall
{
    OfferId offer = 0;             ///< Number, unique within the sender's incarnation.
    HttpRequest request;           ///< The request as the server is to get it, without timing.
    std::string requestId;         ///< The caller's identifier, which the answer has to echo.
    std::string route;             ///< Name of the route.
    std::string instance;          ///< Server that is meant.
    unsigned rank = 0;             ///< Lower goes first.
    Duration timeLeft;             ///< Until the deadline.
    Duration goalLeft;             ///< Until the goal; may be negative.
    bool idempotent = false;       ///< True when it may be run again.
    bool returning = false;        ///< It was refused before and has come back.
    std::uint64_t fingerprint = 0; ///< Hash of the request.
    Duration waitMax{-1};          ///< With a longer wait it is to be refused; below 0: any wait.
};
/** Gives up an offer. */
struct LinkCancel
{
    OfferId offer = 0;        ///< The offer.
    bool onlyWaiting = false; ///< When the server has begun it, it runs to its end.
};
/** Asks how an offer ended; sent on a new link for an offer of the one before. */
struct LinkAsk
{
    OfferId offer = 0; ///< The offer.
};
/** How an offer ended. */
struct LinkResult
{
    OfferId offer = 0;   ///< The offer.
    HostOutcome outcome; ///< How it ended.
    HostLoad load;       ///< Load of the server now.
};
/** A version of the routes. */
struct LinkRoutes
{
    RouteUpdate update; ///< What makes it of what the receiver has.
};
/** Asks for the version of the routes that the receiver has in force. */
struct LinkAskRoutes
{
    Revision have = 0; ///< Version that the sender has.
};
/** A request crashed a server. */
struct LinkCrash
{
    CrashReport report; ///< Which, and where.
};

/** A message. */
using LinkMessage = std::variant<LinkHello, LinkState, LinkCall, LinkCancel, LinkAsk, LinkResult,
                                 LinkRoutes, LinkCrash, LinkAskRoutes>;

} // namespace cornelwell
