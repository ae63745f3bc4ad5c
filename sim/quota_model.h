/** @file quota_model.h Quotas of tenants in a modelled fleet, in virtual time. */
#pragma once

#include "quota/quota_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** What happens to the modelled fleet. */
enum class QuotaEventKind : std::uint8_t
{
    Hot,       ///< The demand of a tenant is multiplied.
    Shift,     ///< A data centre gets all requests of a tenant.
    Cut,       ///< A data centre loses contact with all others.
    Kill,      ///< The coordinator of a tenant in a data centre is killed and restarted at the end.
    Freeze,    ///< The coordinator of a tenant in a data centre stands still.
    HerdKill,  ///< All daemons of a data centre are killed and restarted at the end.
    Lossy,     ///< A share of all quota messages is lost.
    Limit,     ///< The quota of a tenant is multiplied, for good.
    SmallHalf, ///< The daemons of a data centre fall into two halves.
    Count,     ///< Number of kinds; not a kind.
};

/** One event. */
struct QuotaEvent
{
    QuotaEventKind kind = QuotaEventKind::Hot; ///< What happens.
    TimePoint at{0};                           ///< When it begins.
    Duration length{0};                        ///< How long it lasts.
    unsigned tenant = 0;                       ///< Rank of the tenant; 0 is the largest.
    unsigned centre = 0;                       ///< Data centre.
    double factor = 1;                         ///< Of the demand, the quota or the loss.
};

/** What is played. */
struct QuotaModelOptions
{
    std::uint64_t seed = 1;             ///< Of all random choices.
    unsigned daemons = 74;              ///< Daemons of the fleet.
    unsigned centres = 3;               ///< Data centres.
    unsigned tenants = 79;              ///< Tenants.
    double requestsPerSecond = 2000;    ///< Usual requests of all tenants together.
    double exponent = 1.2;              ///< Of the Zipf distribution of tenants.
    double quotaFactor = 1.6;           ///< Quota as a multiple of the usual demand.
    Duration duration = seconds(30);    ///< Virtual time.
    unsigned remoteLinkPerMille = 1000; ///< Pairs of daemons of different data centres with links.
    bool measureMessages = false;       ///< Encode messages for their size and time.
    std::vector<QuotaEvent> events;     ///< What happens.
    QuotaOptions quota;                 ///< Options of the decision classes.
};

/** What came of it. */
struct QuotaModelReport
{
    std::uint64_t asked = 0;        ///< Requests.
    std::uint64_t admitted = 0;     ///< Admitted ones.
    std::uint64_t askedBelow = 0;   ///< Asked while the tenant asked for at most 0.9 of its quota.
    std::uint64_t refusedBelow = 0; ///< Refused ones of them.
    std::uint64_t fallback = 0;     ///< Admitted by fallback buckets.
    double worstExcess = -1e9;      ///< Largest number of requests above the allowed ones.
    double worstRatio = 0;          ///< Largest admitted / allowed in a window.
    std::string worstTenant;        ///< Tenant of worstExcess.
    TimePoint worstAt{0};           ///< End of its window.
    std::vector<std::uint64_t> askedOf;        ///< By tenant.
    std::vector<std::uint64_t> admittedOf;     ///< By tenant.
    std::vector<std::uint64_t> askedBelowOf;   ///< By tenant.
    std::vector<std::uint64_t> refusedBelowOf; ///< By tenant.
    std::uint64_t waited = 0;                  ///< Requests that waited for an answer.
    std::int64_t waitMsMax = 0;                ///< Longest wait.
    std::uint64_t messages = 0;                ///< Quota messages.
    std::uint64_t crossMessages = 0;           ///< Those of them between data centres.
    std::uint64_t bytes = 0;                   ///< Their size.
    double messagesBusiest = 0;  ///< Sent and received by the busiest daemon, a second.
    double processorSeconds = 0; ///< Of all daemons, with encoding and decoding.
};

/** @return quota of a tenant at the start. */
TenantQuota modelQuota(const QuotaModelOptions &options, unsigned tenant);
/** Plays a fleet. */
QuotaModelReport runQuotaModel(const QuotaModelOptions &options);

} // namespace cornelwell
