/** @file shared_view.h What the call path reads of the control: configuration and servers. */
#pragma once

#include "catalogue/configuration.h"
#include "routing/router.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace cornelwell {

/** The router of one service behind a lock. */
class ServiceRouter
{
public:
    ServiceRouter(RoutingOptions options, std::uint64_t seed) : m_router(options, seed) {}

    /** See Router::setTargets. */
    void setTargets(std::vector<Target> targets)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_router.setTargets(std::move(targets));
    }

    /** See Router::choose. */
    std::optional<Target> choose(const std::vector<ServerId> &except, TimePoint now)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_router.choose(except, now);
    }

    /** See Router::finished. */
    void finished(const ServerId &id, TargetOutcome outcome, const std::optional<LoadReport> &load,
                  TimePoint now)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_router.finished(id, outcome, load, now);
    }

private:
    std::mutex m_mutex;
    Router m_router;
};

/** Servers of one service. */
struct ServiceTargets
{
    ServiceName service;         ///< The service.
    std::vector<Target> targets; ///< Its servers that take new calls.
};

/** Written by the control, read by calls; each read takes one short lock. */
class SharedView
{
public:
    explicit SharedView(RoutingOptions options)
        : m_options(options), m_configuration(Configuration::empty())
    {}

    /** Puts a version into force for all calls that begin from now on. */
    void setConfiguration(ConfigurationPtr configuration);

    /** @return the version in force. */
    ConfigurationPtr configuration() const;

    /** Replaces the servers of all services. */
    void setTargets(std::vector<ServiceTargets> services);

    /** Replaces the fingerprints of requests that are refused. */
    void setQuarantined(std::vector<std::uint64_t> fingerprints);

    /** @return true when a request is refused because it crashed backend servers. */
    bool isQuarantined(std::uint64_t fingerprint) const;

    /** @return true when any request is refused for that. */
    bool hasQuarantined() const;

    /** @return the router of a service, or null when no server is known. */
    std::shared_ptr<ServiceRouter> router(const ServiceName &service) const;

private:
    const RoutingOptions m_options;
    mutable std::mutex m_mutex;
    ConfigurationPtr m_configuration;
    std::vector<std::uint64_t> m_quarantined;
    std::map<ServiceName, std::shared_ptr<ServiceRouter>> m_routers;
};

} // namespace cornelwell
