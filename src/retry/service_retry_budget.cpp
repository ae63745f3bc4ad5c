/** @file service_retry_budget.cpp Token buckets that requests and time refill. */
#include "retry/service_retry_budget.h"

#include <algorithm>

namespace cornelwell {

ServiceRetryBudget::Bucket &ServiceRetryBudget::refill(const ServiceName &service, TimePoint now)
{
    Bucket &bucket = m_buckets[service];
    if (!bucket.initialized) {
        bucket = {slackShare() / 2, now, true};
        return bucket;
    }
    // The bucket holds half of the share and earns the other half in a window, so that the share is
    // used about once in a window.
    const double elapsedMs = static_cast<double>((now - bucket.refilledAt).ms);
    const double earned = slackShare() / 2 * elapsedMs / static_cast<double>(m_options.window.ms);
    bucket.tokens = std::min(std::max(1.0, slackShare() / 2), bucket.tokens + earned);
    bucket.refilledAt = now;
    return bucket;
}

void ServiceRetryBudget::recordRequest(const ServiceName &service, TimePoint now)
{
    Bucket &bucket = refill(service, now);
    bucket.tokens = std::min(std::max(1.0, slackShare() / 2), bucket.tokens + m_options.ratio);
}

bool ServiceRetryBudget::tryAcquire(const ServiceName &service, TimePoint now, double cost)
{
    Bucket &bucket = refill(service, now);
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= cost;
    return true;
}

void ServiceRetryBudget::refund(const ServiceName &service)
{
    m_buckets[service].tokens += 1;
}

} // namespace cornelwell
