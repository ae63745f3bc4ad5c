/** @file link_message_type.h Messages on the links that carry calls between daemons. */
#pragma once

#include "dispatch/dispatch_type.h"
#include "fleet/fleet_type.h"
#include "hosting/departure_registry.h"
#include "hosting/hosting_type.h"
#include "quota/quota_type.h"
#include "replication/version_confirmation.h"
#include "retry/quarantine_type.h"
#include "rollout/rollout_type.h"
#include "routes/route_update.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** Version of the message format. Daemons with different versions do not link to each other. */
constexpr unsigned LINK_FORMAT = 2;

/** First message on a link, from the daemon that opened it. */
struct LinkHello
{
    unsigned format = LINK_FORMAT; ///< Message format of the sender.
    DaemonRecord sender;           ///< Announcement of the sender.
    Revision version = 0;          ///< Version of the routes that the sender has in force.
    ServerId recipient; ///< Expected name of the accepting daemon; its address may be reassigned.
    /** The sender reads LinkBodyPart; daemons built before that message do not say so. */
    bool acceptsBodyParts = true;
    ServerRestrictions
        restrictions; ///< Of the accepting daemon's server, as the sender knows them.
    /** The sender answers LinkDepartureRequest; daemons built before it do not say so. */
    bool readsDepartures = true;
};
/** State of the accepting daemon. It answers the hello; updates follow on the same link. */
struct LinkDaemonState
{
    ServerId name;                 ///< Name of the accepting daemon.
    std::uint64_t incarnation = 0; ///< Its incarnation.
    HostLoad load;                 ///< Load of its local server.
    Revision version = 0;          ///< Version of the routes that it has in force.
    Duration storeAge;             ///< Time since its last contact with the platform's store.
    bool shuttingDown = false;     ///< It is about to stop.
    bool watchingStore = false;    ///< It watches the platform's store and pushes new versions.
    std::uint64_t storeEra = 0;    ///< Highest era of the store that it knows; 0: none.
    ServerRestrictions
        restrictions; ///< Of the opener's server, as the accepting daemon knows them.
    /** The sender reads LinkCall::bodyBytesToFollow; daemons built before it do not say so. */
    bool acceptsBodyTransfers = true;
    bool readsPings = false; ///< The sender answers LinkPing.
    /** Daemons of the fleet that the accepting daemon knows; 0: it does not read quota messages. */
    std::uint32_t quotaFleetSize = 0;
    std::vector<RolloutState> rollouts;     ///< Roll-outs that it knows.
    std::optional<ServerEvidence> evidence; ///< Counts of its server while a roll-out needs them.
};
/** Offers a call to the accepting daemon, for its local server. */
struct LinkCall
{
    OfferId offer = 0;             ///< Number, unique within the sender's incarnation.
    HttpRequest request;           ///< Request for the server, without the timing headers.
    std::string requestId;         ///< Identifier that the caller sent; the answer must echo it.
    std::string route;             ///< Name of the route.
    std::string instance;          ///< Instance of the server that the sender chose.
    unsigned rank = 0;             ///< Queue priority; lower ranks run first.
    Duration deadlineLeft;         ///< Time until the deadline.
    Duration softDeadlineLeft;     ///< Time until the soft deadline; negative when it has passed.
    bool idempotent = false;       ///< The request may run more than once.
    bool isRetry = false;          ///< An earlier attempt was refused or has failed.
    std::uint64_t fingerprint = 0; ///< Hash of the request; equal for retries of the request.
    bool overLink = true;          ///< Another daemon sent it; not on the wire.
    bool otherDataCentre = false;  ///< That daemon is in another data centre; not on the wire.
    Duration queueWaitMax{-1}; ///< Refuse the call if it would queue for longer; below 0: no limit.
    /** Size of the request's body when it follows on LinkBodyGrant; 0 when the request has it. */
    std::uint64_t bodyBytesToFollow = 0;
    std::string tenant; ///< Name of the caller's tenant; empty without one.
};
/** Cancels an offer. */
struct LinkCancel
{
    OfferId offer = 0;         ///< The offer.
    bool onlyIfQueued = false; ///< Let the call finish if the server already runs it.
};
/** Asks for the result of an offer that was made on a previous link. */
struct LinkOutcomeRequest
{
    OfferId offer = 0; ///< The offer.
};
/** Result of an offer. */
struct LinkResult
{
    OfferId offer = 0;   ///< The offer.
    HostOutcome outcome; ///< How the call ended.
    HostLoad load;       ///< Load of the local server after the call.
    /** Size of the response's body when it follows in parts; 0 when the response has it. */
    std::uint64_t bodyBytesToFollow = 0;
};
/** Carries the next bytes of a response's body, after its LinkResult, or from the opener of the
 * link of a request's body, after a LinkBodyGrant. */
struct LinkBodyPart
{
    OfferId offer = 0; ///< The offer.
    std::string bytes; ///< The bytes.
};
/** Carries a version of the routes. */
struct LinkRouteUpdate
{
    RouteUpdate update; ///< Changes to the receiver's version, or a whole version.
};
/** Asks for the version of the routes that the receiver has in force. */
struct LinkRoutesRequest
{
    Revision currentVersion = 0; ///< Version that the sender has in force; base of the update.
};
/** Reports a request that crashed a server. */
struct LinkCrashReport
{
    CrashReport report; ///< The request's fingerprint, route and server.
};
/** Permits the opener of the link to send the next bytes of a request's body. */
struct LinkBodyGrant
{
    OfferId offer = 0;       ///< The offer.
    std::uint64_t bytes = 0; ///< Number of bytes, in addition to those of earlier grants.
};

/** Asks the accepting daemon how long ago the sender's version was surely the newest. */
struct LinkPing
{
    TimePoint sentAt;     ///< Time on the sender's clock; the answer repeats it.
    Revision version = 0; ///< Version of the routes that the sender has in force.
};
/** Answers a LinkPing. */
struct LinkPong
{
    TimePoint sentAt;          ///< Of the ping.
    ConfirmationReport report; ///< What the accepting daemon knows of that version.
};

/** Asks the coordinator of a tenant for tokens. Goes only to peers that read quota messages, like
 * the other two messages of quotas. */
struct LinkQuotaRequest
{
    QuotaRequest request; ///< Tokens wanted.
};
/** Answers a LinkQuotaRequest. */
struct LinkQuotaGrant
{
    QuotaGrant grant; ///< Tokens granted.
};
/** Asks another data centre for tokens, or gives them. */
struct LinkQuotaDemand
{
    QuotaExchange exchange; ///< Tokens by tenant.
};

/** Asks the opener of the link to read the record of departures from the accepting daemon's VM,
 * which that daemon cannot read itself. Goes only to openers whose hello permits it. */
struct LinkDepartureRequest
{};
/** Answers a LinkDepartureRequest with what the store holds. */
struct LinkDepartures
{
    Departures departures; ///< Servers that have left the VM of the accepting daemon.
};

/** Any message of a link. The codec's kinds have the same order. */
using LinkMessage
    = std::variant<LinkHello, LinkDaemonState, LinkCall, LinkCancel, LinkOutcomeRequest, LinkResult,
                   LinkRouteUpdate, LinkCrashReport, LinkRoutesRequest, LinkBodyPart, LinkBodyGrant,
                   LinkPing, LinkPong, LinkQuotaRequest, LinkQuotaGrant, LinkQuotaDemand,
                   LinkDepartureRequest, LinkDepartures>;

} // namespace cornelwell
