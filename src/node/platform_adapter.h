/** @file platform_adapter.h Translation between a platform's HTTP interfaces and this code base's
 * types.
 */
#pragma once

#include "fleet/peer_discovery.h"
#include "hosting/departure_registry.h"
#include "hosting/hosting_type.h"
#include "http/http_type.h"
#include "node/node_settings.h"
#include "replication/replication_type.h"
#include "rollout/rollout_evaluator.h"
#include "routes/route_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cornelwell {

/** Names of the header fields of a call. */
struct CallFields
{
    std::string requestId;     ///< Identifier of the request; servers echo it.
    std::string deadline;      ///< Time left until the deadline, in milliseconds.
    std::string instance;      ///< Server instance that the request is meant for.
    std::string notRun;        ///< Present when the server did not run the request.
    std::string signature;     ///< Signature of the server on its response.
    std::string caller;        ///< Service on the VM that the call comes from.
    std::string retryAfter;    ///< Time until the caller should retry, in seconds.
    std::string serverLimit;   ///< Requests a second that a server takes from all daemons.
    std::string serverLeaving; ///< Present, with value 1, when the server is about to stop.
    std::string credential;    ///< API key of the caller's tenant; never passed on.
    std::string tenant;        ///< Name of the caller's tenant, for the server.
};

/** Translates between a platform and this code base's types. It has no state and decides nothing.
 */
class PlatformAdapter
{
public:
    virtual ~PlatformAdapter() = default;

    /** @return the settings in the text of a settings file, or why it is invalid. */
    virtual Result<NodeSettings> settings(const std::string &text) const = 0;
    /** @return the names of the header fields of calls. */
    virtual const CallFields &callFields() const = 0;
    /** @return true when the request asks whether the daemon is ready. */
    virtual bool isReadinessCheck(const HttpRequest &request) const = 0;
    /** @return the report or deregistration in a request, or why it is invalid. */
    virtual Result<ServerNotice> parseServerNotice(const HttpRequest &request) const = 0;
    /** @return the response to a valid server notice. */
    virtual HttpResponse acknowledgement() const = 0;

    /** @return era of the store that gave this answer; 0 when the answer names none. */
    virtual std::uint64_t storeEra(const HttpResponse &response) const = 0;
    /** @return the request that reads the newest routes. @param stale Accept a stale read. */
    virtual HttpRequest readRoutesRequest(bool stale) const = 0;
    /** @return the routes in the response to readRoutesRequest, or an error. */
    virtual Result<StoredRoutes> parseRoutesRead(const HttpResponse &response) const = 0;
    /** @return the request that waits up to @p wait for routes newer than a store revision. */
    virtual HttpRequest watchRoutesRequest(std::uint64_t storeRevision, Duration wait) const = 0;
    /** @return the routes in the response to watchRoutesRequest, or an error. */
    virtual Result<StoredRoutes> parseRoutesWatch(const HttpResponse &response) const = 0;

    /** @return the request that stores the record of a daemon. @param revision 0 to create it. */
    virtual HttpRequest announceRequest(const DaemonRecord &self, std::uint64_t revision) const = 0;
    /** @return the result in the response to announceRequest, or an error. */
    virtual Result<AnnounceAnswer> parseAnnounceResponse(const HttpResponse &response) const = 0;
    /** @return the request that lists daemon records, one page. @param after Last name of the page
     * before; empty for the first page. */
    virtual HttpRequest listDaemonsRequest(const std::string &after) const = 0;
    /** @return the page in the response to listDaemonsRequest, or an error. */
    virtual Result<DaemonPage> parseDaemonList(const HttpResponse &response) const = 0;

    /** @return the departures in the response to announceRequest; nothing if it has none. */
    virtual std::optional<StoredDepartures>
    parseAnnouncedDepartures(const HttpResponse &response, const ServerId &daemon) const = 0;
    /** @return the request that reads the departures from a daemon's VM. */
    virtual HttpRequest readDeparturesRequest(const ServerId &daemon) const = 0;
    /** @return the departures in the response to readDeparturesRequest, or an error. */
    virtual Result<StoredDepartures> parseDeparturesRead(const HttpResponse &response,
                                                         const ServerId &daemon) const = 0;
    /** @return the request that replaces the departures from a daemon's VM. */
    virtual HttpRequest writeDeparturesRequest(const ServerId &daemon,
                                               const WriteDepartures &record) const = 0;
    /** @return the result in the response to writeDeparturesRequest, or an error. */
    virtual Result<DepartureWriteAnswer> parseDeparturesWrite(const HttpResponse &response,
                                                              const ServerId &daemon) const = 0;

    /** @return the request that lists orders of roll-outs, one page. @param after As above. */
    virtual HttpRequest listRolloutsRequest(const std::string &after) const = 0;
    /** @return the page in the response to listRolloutsRequest, or an error. */
    virtual Result<StoredRollouts> parseRolloutList(const HttpResponse &response) const = 0;
    /** @return the request that waits up to @p wait for changes after a store revision. */
    virtual HttpRequest watchRolloutsRequest(std::uint64_t storeRevision, Duration wait) const = 0;
    /** @return the changes in the response to watchRolloutsRequest, or an error. */
    virtual Result<StoredRollouts> parseRolloutWatch(const HttpResponse &response) const = 0;
    /** @return the request that writes an order's status if its object has the order's revision. */
    virtual HttpRequest writeRolloutRequest(const RolloutOrder &order) const = 0;
    /** @return the result in the response to writeRolloutRequest, or an error. */
    virtual Result<RolloutWriteAnswer> parseRolloutWrite(const HttpResponse &response) const = 0;
};

} // namespace cornelwell
