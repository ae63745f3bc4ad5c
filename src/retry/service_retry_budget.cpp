/** @file service_retry_budget.cpp Tokens by requests, and a share of the slack by time. */
#include "retry/service_retry_budget.h"

#include <algorithm>

namespace cornelwell {

ServiceRetryBudget::Bucket &ServiceRetryBudget::refilled(const ServiceName &service, TimePoint now)
{
    Bucket &bucket = m_buckets[service];
    if (!bucket.begun) {
        bucket = {share() / 2, now, true};
        return bucket;
    }
    const double passed = static_cast<double>((now - bucket.at).ms);
    const double earned = share() / 2 * passed / static_cast<double>(m_options.window.ms);
    bucket.tokens = std::min(std::max(1.0, share() / 2), bucket.tokens + earned);
    bucket.at = now;
    return bucket;
}

void ServiceRetryBudget::recordRequest(const ServiceName &service, TimePoint now)
{
    Bucket &bucket = refilled(service, now);
    bucket.tokens = std::min(std::max(1.0, share() / 2), bucket.tokens + m_options.ratio);
}

bool ServiceRetryBudget::tryAcquire(const ServiceName &service, TimePoint now, double cost)
{
    Bucket &bucket = refilled(service, now);
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
