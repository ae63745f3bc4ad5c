/** @file quota_type.h Quotas of tenants: limits, messages between daemons, actions and options. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** Quota of a tenant over all daemons together. */
struct TenantQuota
{
    std::string tenant;   ///< Name of the tenant.
    double perSecond = 0; ///< Requests a second; 0: no limit.
    double burst = 0;     ///< Requests that may come at once on top.

    friend bool operator==(const TenantQuota &a, const TenantQuota &b)
    {
        return a.tenant == b.tenant && a.perSecond == b.perSecond && a.burst == b.burst;
    }
};

/** Asks the coordinator of a tenant for tokens. */
struct QuotaRequest
{
    std::uint64_t id = 0;       ///< Number, unique within the sender's process.
    std::string tenant;         ///< The tenant.
    std::uint32_t wanted = 0;   ///< Tokens that the sender can use.
    std::uint32_t arrivals = 0; ///< Requests that arrived at the sender since its last one.
    /** Requests that the sender admitted by its fallback bucket since its last answered one. */
    std::uint32_t fallback = 0;
    /** The message was sent before; its answer counts once. */
    bool repeated = false;
};
/** Answers a QuotaRequest. */
struct QuotaGrant
{
    std::uint64_t id = 0;      ///< Number of the request.
    std::string tenant;        ///< The tenant.
    std::uint32_t granted = 0; ///< Tokens granted.
    Duration retryAfter{0};    ///< When fewer were granted than wanted: time until there are more.
    bool coordinating = true;  ///< False: the answering daemon does not coordinate this tenant.
};
/** What one data centre asks of or gives to another one for one tenant. */
struct QuotaTransfer
{
    std::string tenant;       ///< The tenant.
    std::uint32_t tokens = 0; ///< Tokens wanted or given.
};
/** Asks for, or gives, tokens between the coordinators of two data centres. */
struct QuotaExchange
{
    ServerId origin;                      ///< Daemon that sent the message first.
    DataCentreId originDataCentre;        ///< Its data centre.
    ServerId recipient;                   ///< Empty: the coordinator of each tenant.
    DataCentreId dataCentre;              ///< Data centre of the recipient.
    std::uint64_t sequence = 0;           ///< Number of the demand; an answer repeats it.
    bool gives = false;                   ///< True: gives tokens; false: asks for tokens.
    bool relayed = false;                 ///< A daemon passed it on; it is not passed on again.
    std::vector<QuotaTransfer> transfers; ///< By tenant.
};

/** Why a request is refused. */
enum class QuotaRefusal : std::uint8_t
{
    Exhausted, ///< The coordinator has no token.
    Fallback,  ///< The coordinator does not answer and the fallback bucket is empty.
    Count,     ///< Number of reasons; not a reason.
};

/** Dispatch the request: it has a token. */
struct AdmitRequest
{
    std::uint64_t request = 0; ///< The request.
    bool fallback = false;     ///< The token is of the fallback bucket.
};
/** Refuse the request. */
struct RefuseRequest
{
    std::uint64_t request = 0;                     ///< The request.
    std::string tenant;                            ///< Its tenant.
    Duration retryAfter{0};                        ///< When a retry can succeed.
    QuotaRefusal reason = QuotaRefusal::Exhausted; ///< Why.
};
/** Send a request for tokens to a coordinator, which may be this daemon. */
struct SendQuotaRequest
{
    ServerId coordinator; ///< Receiver.
    QuotaRequest request; ///< The message.
};
/** An action of QuotaClient. */
using QuotaAction = std::variant<AdmitRequest, RefuseRequest, SendQuotaRequest>;
using QuotaActions = std::vector<QuotaAction>;

/** Send an exchange to a daemon of the own data centre, or into another one. */
struct SendQuotaExchange
{
    ServerId daemon;        ///< Receiver; empty: any linked daemon of exchange.dataCentre.
    QuotaExchange exchange; ///< The message.
};
using QuotaExchanges = std::vector<SendQuotaExchange>;

/** Time limits and sizes. */
struct QuotaOptions
{
    Duration grantTimeout{60}; ///< Longest wait for a grant.
    /** A message without an answer is sent again after this time: several times the way to another
     * daemon of the data centre and back, and short enough for two repeats before grantTimeout. */
    Duration resendAfter{20};
    /** Longest wait of a request whose coordinator answers that tokens are to come. */
    Duration waitMax{200};
    Duration batchTime{250};      ///< A daemon asks for the tokens of this time.
    Duration askAheadTime{100};   ///< It asks when its tokens do not last for this time.
    Duration tokenLifetime{2000}; ///< Tokens that are not used for this long lapse.
    /** After a refusal a daemon refuses on its own for at most this long, so that overload does not
     * cost one message for each request. */
    Duration refusalHold{100};
    /** After a time-out the fallback bucket is used for this long before the coordinator is asked
     * again. */
    Duration suspicion{250};
    /** The same after an answer that the daemon does not coordinate yet: it has just started, or
     * sees other members, and both last for a short time. */
    Duration notReadyPause{50};
    /** Tokens of the fallback bucket lapse after this time. */
    Duration fallbackLifetime{1000};
    Duration retryAfterMax{5000}; ///< Longest Retry-After.
    /**
     * Tokens on top of `burst` over all daemons together. A tenant of one request a second has a
     * bucket below one token for each data centre otherwise. The limit allows 20 (`quota-slack`);
     * the rest of them is left for tokens that are on the way.
     */
    double extraDepth = 12;
    /**
     * Tokens with which the buckets of a new coordinator start, over all data centres together, at
     * most once in startInterval. Without them a tenant of a few requests a second is refused below
     * its quota for seconds after each change of coordinator.
     */
    double startTokens = 6;
    Duration startInterval{5000};    ///< Shortest time between two such starts.
    Duration exchangeInterval{200};  ///< Shortest time between two demands for one tenant.
    Duration exchangeLifetime{1000}; ///< Tokens of another data centre that come later are dropped.
    /** Time in which another data centre's tokens arrive: two ways over long distances, with a
     * daemon that passes the message on. */
    Duration helpTime{90};
    /** After a demand that no data centre answered none is expected to for this long. */
    Duration noHelpTime{1000};
    double exchangeBelow = 0.6; ///< Filling of the bucket below which tokens are asked for.
    double keepShare = 0.25;    ///< Part of the bucket's depth that is never given away.
    Duration keepTime{500};     ///< The tokens of this time of own demand are kept as well.
    /** A coordinator that did not run for this long starts with an empty bucket: another one has
     * granted tokens meanwhile. */
    Duration pauseMax{1000};
    /** A daemon coordinates when the members that it knows have not changed for this long. A
     * daemon that has just started learns of its peers one after the other. */
    Duration settleTime{100};
    /** It coordinates this long after its start even if its members still change. */
    Duration startDelay{1000};
    /** Answers are kept for requests that are repeated; longer than grantTimeout and the way. */
    Duration answerLifetime{100};
};

} // namespace cornelwell
