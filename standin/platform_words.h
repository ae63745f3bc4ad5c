/** @file platform_words.h Settings and configurations as the users' platform writes them. */
#pragma once

#include "base/identifier_type.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace cornelwell {

/** One VM, for its daemon's settings. */
struct PlatformVm
{
    std::string name;              ///< Name of the daemon.
    std::string ip;                ///< Its IP number.
    std::string zone;              ///< Data centre.
    std::string service;           ///< Service of the server beside it.
    Endpoint calls;                ///< Callers' address.
    Endpoint ready;                ///< Where it is asked whether it serves.
    Endpoint reports;              ///< Where its server reports.
    Endpoint server;               ///< The server beside it.
    Endpoint store;                ///< The platform's store.
    std::uint16_t linkPort = 7660; ///< For links between daemons.
};

/** One route of a configuration. */
struct PlatformRoute
{
    std::string name;           ///< Name; the prefix is `/NAME/`, the host `NAME.bench`.
    std::string service;        ///< Service that runs it.
    bool idempotent = true;     ///< May be repeated.
    std::int64_t goalMs = 0;    ///< Latency goal.
    std::int64_t timeoutMs = 0; ///< Timeout.
};

/** @return the settings file of a daemon. */
nlohmann::json platformSettings(const PlatformVm &vm);

/** @return a call that creates the first configuration: target and body. */
std::pair<std::string, std::string> platformConfiguration(const std::vector<PlatformRoute> &routes);

/** @return path of the question whether a daemon serves. */
std::string platformReadyPath();

} // namespace cornelwell
