/** @file service_retry_budget.h How many requests may be handed to a second server: the decision.
 */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstddef>
#include <map>

namespace cornelwell {

/** The fleet's budget, of which each daemon takes its part without asking the others. */
struct ServiceRetryBudgetOptions
{
    double ratio = 0.1;            ///< Repeats earned by one request of the service.
    double slack = 30;             ///< Repeats of the whole fleet that need not be earned.
    Duration window = seconds(10); ///< Time in which the slack may be used once.
};

/** A token bucket for each service, earned by this daemon's own requests. */
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(ServiceRetryBudgetOptions options) : m_options(options) {}

    /** Sets the fleet's budget; tokens that were earned stay. */
    void setOptions(ServiceRetryBudgetOptions options) { m_options = options; }
    /** Sets by how many daemons the slack is shared. */
    void setDaemonCount(std::size_t daemons) { m_daemons = daemons > 0 ? daemons : 1; }
    /** A request of the service begins. */
    void recordRequest(const ServiceName &service, TimePoint now);
    /**
     * Asks for a repeat.
     * @param service Service that is to run it.
     * @param now Time.
     * @param cost What it uses up; more than one may leave a debt.
     * @return true when it may be made.
     */
    bool tryAcquire(const ServiceName &service, TimePoint now, double cost = 1);
    /** Gives a repeat back that did not reach a server. */
    void refund(const ServiceName &service);

private:
    /** Tokens of one service. */
    struct Bucket
    {
        double tokens = 0;
        TimePoint at{0};
        bool begun = false;
    };

    Bucket &refilled(const ServiceName &service, TimePoint now);
    double share() const { return m_options.slack / static_cast<double>(m_daemons); }

    ServiceRetryBudgetOptions m_options;
    std::size_t m_daemons = 1;
    std::map<ServiceName, Bucket> m_buckets;
};

} // namespace cornelwell
