/** @file service_retry_budget.h Bounds retries and hedges for each service of the fleet. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstddef>
#include <map>

namespace cornelwell {

/** Budget of the whole fleet. Each daemon uses its share without asking the others. */
struct ServiceRetryBudgetOptions
{
    double ratio = 0.1;            ///< Tokens that each request adds; a retry costs one token.
    double slack = 30;             ///< Tokens of the whole fleet that no request needs to earn.
    Duration window = seconds(10); ///< Time in which the slack may be used once.
};

/**
 * Token bucket for each service. Requests of this daemon fill it by ratio, and time fills it by the
 * daemon's share of the slack. A second attempt of a request (a retry or a hedge) takes a token.
 * Not thread-safe.
 */
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(ServiceRetryBudgetOptions options) : m_options(options) {}

    /** Replaces the fleet's budget; the buckets keep their tokens. */
    void setOptions(ServiceRetryBudgetOptions options) { m_options = options; }
    /** Sets the number of daemons that share the slack; 0 counts as 1. */
    void setDaemonCount(std::size_t daemons) { m_daemonCount = daemons > 0 ? daemons : 1; }
    /** Adds the share of a token that a new request of the service earns. */
    void recordRequest(const ServiceName &service, TimePoint now);
    /**
     * Takes tokens for a second attempt when the bucket holds at least one.
     * @param service Service that is to run the request.
     * @param now Time.
     * @param cost Tokens to take; a cost above one may make the bucket negative.
     * @return true when the attempt may be made.
     */
    bool tryAcquire(const ServiceName &service, TimePoint now, double cost = 1);
    /** Returns one token, for an attempt that did not reach a server. */
    void refund(const ServiceName &service);

private:
    /** Tokens of one service. */
    struct Bucket
    {
        double tokens = 0;
        TimePoint refilledAt{0};
        bool initialized = false;
    };

    Bucket &refill(const ServiceName &service, TimePoint now);
    /** @return this daemon's share of the slack, in tokens. */
    double slackShare() const { return m_options.slack / static_cast<double>(m_daemonCount); }

    ServiceRetryBudgetOptions m_options;
    std::size_t m_daemonCount = 1;
    std::map<ServiceName, Bucket> m_buckets;
};

} // namespace cornelwell
