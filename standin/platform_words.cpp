/** @file platform_words.cpp The platform's side of its documents, as an operator would write them.
 */
#include "platform_words.h"

#include "base/endpoint_func.h"

#include <set>

namespace cornelwell {

using Json = nlohmann::json;

Json platformSettings(const PlatformVm &vm)
{
    return {{"self",
             {{"node-name", vm.name},
              {"ip", vm.ip},
              {"zone", vm.zone},
              {"service", vm.service},
              {"app-addr", formatEndpoint(vm.server)}}},
            {"network",
             {{"listen-addrs",
               {{"outbound", formatEndpoint(vm.calls)},
                {"ready", formatEndpoint(vm.ready)},
                {"control", formatEndpoint(vm.reports)}}},
              {"internal-ports", {vm.linkPort, vm.linkPort + 1}}}},
            {"platform", {{"platform", {{"address", formatEndpoint(vm.store)}}}}},
            {"timers",
             {{"bounds",
               {{"budget-ratio", 0.2},
                {"budget-slack", 64},
                {"budget-window-s", 10},
                {"grace-s", 6}}}}}};
}

std::pair<std::string, std::string> platformConfiguration(const std::vector<PlatformRoute> &routes)
{
    Json spec = {{"version", "00000001"},
                 {"routes", Json::array()},
                 {"services", Json::array()},
                 {"limits",
                  {{"header-bytes", 16384},
                   {"body-bytes", 1048576},
                   {"header-timeout-ms", 3000},
                   {"idle-timeout-ms", 15000}}}};
    std::set<std::string> services;
    for (const PlatformRoute &route : routes) {
        spec["routes"].push_back({{"name", route.name},
                                  {"host", route.name + ".bench"},
                                  {"path-prefix", "/" + route.name + "/"},
                                  {"kind", route.idempotent ? "idempotent" : "non_idempotent"},
                                  {"timeout-ms", route.timeoutMs},
                                  {"goal-ms", route.goalMs},
                                  {"priority", 2},
                                  {"service", route.service},
                                  {"max-attempts", 2}});
        services.insert(route.service);
    }
    for (const std::string &service : services)
        spec["services"].push_back({{"name", service}, {"max-conns", 100}});
    const Json object = {{"meta", {{"name", "main"}}}, {"spec", spec}};
    return {"/api/objects/config", object.dump()};
}

std::string platformReadyPath()
{
    return "/api/ready";
}

} // namespace cornelwell
