/** @file quota_coordinator.h The buckets of the tenants that this daemon coordinates in its data
 * centre. */
#pragma once

#include "quota/quota_fleet.h"
#include "quota/quota_type.h"
#include "quota/token_bucket.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace cornelwell {

/** Counts for metrics, since the start. */
struct QuotaCoordinatorCounts
{
    std::uint64_t granted = 0;  ///< Tokens granted to daemons.
    std::uint64_t denied = 0;   ///< Tokens wanted and not granted.
    std::uint64_t given = 0;    ///< Tokens given to other data centres.
    std::uint64_t received = 0; ///< Tokens received from other data centres.
    std::uint64_t late = 0;     ///< Tokens of other data centres that came too late.
    std::uint64_t emptied = 0;  ///< Buckets emptied at a takeover or after a pause.
};

/** State of one tenant, for logs. */
struct QuotaState
{
    TenantQuota quota;        ///< Quota over all daemons.
    double demand = 0;        ///< Requests a second in this data centre.
    double perSecond = 0;     ///< Refill of the bucket.
    double tokens = 0;        ///< Tokens in the bucket.
    bool coordinated = false; ///< This daemon coordinates the tenant.
};

/**
 * Grants tokens to the daemons of the data centre. A bucket refills by the part of the quota that
 * the responsive daemons of the data centre stand for, so that the buckets of all data centres
 * never refill by more than the quota together, in touch or not. A coordinator that runs short asks
 * those of other data centres for tokens that they do not need; a token is taken from one bucket
 * before it is put into another one. Does no input or output.
 */
class QuotaCoordinator
{
public:
    /** @param fleet The daemons; outlives the coordinator. @param dataCentre Of this daemon. */
    QuotaCoordinator(QuotaFleet &fleet, DataCentreId dataCentre, QuotaOptions options,
                     TimePoint now);

    /** Sets the quotas in force. */
    void setQuotas(const std::vector<TenantQuota> &quotas, TimePoint now);
    /** Call it after each change of the fleet. */
    void fleetChanged(TimePoint now);
    /** Sets the other data centres. */
    void setRemoteDataCentres(std::vector<DataCentreId> dataCentres);
    /** Empties the buckets: this daemon stood still, and another one may have granted tokens. */
    void handlePause(TimePoint now);

    /** @return the answer to a daemon of this data centre, which may be this one. */
    QuotaGrant handleRequest(const ServerId &daemon, const QuotaRequest &request, TimePoint now);
    /** @return demands on other data centres for tenants that run short; call it regularly. */
    QuotaExchanges tick(TimePoint now);
    /** @return true when tick() should be called now: a request was not granted in whole. */
    bool isShort() const { return m_short; }
    /** Takes in, answers or passes on a message of another data centre. */
    QuotaExchanges handleExchange(const QuotaExchange &exchange, TimePoint now);

    /** @return state of a tenant. */
    QuotaState state(const std::string &tenant, TimePoint now);
    /** @return counts for metrics. */
    const QuotaCoordinatorCounts &counts() const { return m_counts; }

private:
    /** A demand on other data centres. */
    struct Demand
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt{-1000000};
        std::set<DataCentreId> answered; ///< Each data centre gives once for each demand.
        bool urgent = false;             ///< Not one token was left.
    };
    /** State of one tenant. */
    struct Ledger
    {
        Ledger(TenantQuota q, Duration span) : quota(std::move(q)), arrivals(span) {}

        TenantQuota quota;
        TokenBucket bucket;
        RateEstimate arrivals;
        Demand demand;
        bool coordinated = false;
        unsigned demandsInVain = 0;    ///< Last demands that no data centre answered.
        TimePoint noHelpUntil{0};      ///< No tokens of other data centres are expected before.
        TimePoint startedAt{-1000000}; ///< When the bucket last got start tokens.
    };

    /** An answer that may have been lost. */
    struct SentAnswer
    {
        TimePoint sentAt{0};
        ServerId daemon;
        QuotaGrant grant;
    };

    const QuotaGrant *findAnswer(const ServerId &daemon, const QuotaRequest &request);
    QuotaGrant decide(const QuotaRequest &request, TimePoint now);
    void restart(Ledger &ledger, TimePoint now);
    bool mayCoordinate(TimePoint now) const;
    void checkPause(TimePoint now);
    void configure(Ledger &ledger, TimePoint now);
    Duration retryAfter(const Ledger &ledger, TimePoint now) const;
    bool needsTokens(const Ledger &ledger, TimePoint now) const;
    QuotaExchanges relay(const QuotaExchange &exchange);
    void receive(const QuotaExchange &exchange, TimePoint now);
    QuotaExchanges give(const QuotaExchange &exchange, TimePoint now);

    QuotaFleet &m_fleet;
    const DataCentreId m_dataCentre;
    const QuotaOptions m_options;
    const TimePoint m_startedAt;
    TimePoint m_lastRunAt;
    TimePoint m_fleetChangedAt;
    std::deque<SentAnswer> m_answers; ///< Of the last QuotaOptions::answerLifetime.
    std::vector<DataCentreId> m_remoteDataCentres;
    std::unordered_map<std::string, Ledger> m_ledgers;
    /** Starts at the time, so that a restarted daemon does not take an answer to the one before. */
    std::uint64_t m_lastSequence;
    bool m_short = false;
    QuotaCoordinatorCounts m_counts;
};

} // namespace cornelwell
