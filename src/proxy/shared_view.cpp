/** @file shared_view.cpp Hands configuration and servers from the control to the calls. */
#include "proxy/shared_view.h"

#include "base/hash_func.h"

#include <algorithm>

namespace cornelwell {

void SharedView::setConfiguration(ConfigurationPtr configuration)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_configuration = std::move(configuration);
}

ConfigurationPtr SharedView::configuration() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_configuration;
}

void SharedView::setTargets(std::vector<ServiceTargets> services)
{
    std::map<ServiceName, std::shared_ptr<ServiceRouter>> next;
    for (ServiceTargets &item : services) {
        std::shared_ptr<ServiceRouter> known = router(item.service);
        if (!known)
            known = std::make_shared<ServiceRouter>(m_options, hash64(item.service.text()));
        known->setTargets(std::move(item.targets));
        next[item.service] = std::move(known);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_routers = std::move(next);
}

void SharedView::setQuarantined(std::vector<std::uint64_t> fingerprints)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_quarantined = std::move(fingerprints);
}

bool SharedView::isQuarantined(std::uint64_t fingerprint) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::find(m_quarantined.begin(), m_quarantined.end(), fingerprint)
           != m_quarantined.end();
}

bool SharedView::hasQuarantined() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return !m_quarantined.empty();
}

std::shared_ptr<ServiceRouter> SharedView::router(const ServiceName &service) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto at = m_routers.find(service);
    return at == m_routers.end() ? nullptr : at->second;
}

} // namespace cornelwell
