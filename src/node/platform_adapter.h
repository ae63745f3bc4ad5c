/** @file platform_adapter.h What a platform's dialect has to translate; no decision and no state.
 */
#pragma once

#include "fleet/peer_discovery.h"
#include "hosting/hosting_type.h"
#include "http/http_type.h"
#include "node/node_settings.h"
#include "replication/replication_type.h"
#include "routes/route_type.h"

#include <string>
#include <vector>

namespace cornelwell {

/** Names of the header fields that go with a call. */
struct CallFields
{
    std::string requestId;  ///< Identifier of the caller's request, echoed by servers.
    std::string deadline;   ///< Milliseconds that are left.
    std::string instance;   ///< Server that is meant.
    std::string notRun;     ///< Present when a server did not run the request.
    std::string seal;       ///< Signature of a server under its answer.
    std::string caller;     ///< Service on the VM where the call began.
    std::string retryAfter; ///< Seconds until the caller should come back.
};

/** Translates between a platform and the product's types. */
class PlatformAdapter
{
public:
    virtual ~PlatformAdapter() = default;

    /** @return the settings in a settings file's text. */
    virtual Result<NodeSettings> settings(const std::string &text) const = 0;
    /** @return the header fields of calls. */
    virtual const CallFields &callFields() const = 0;
    /** @return true for the question whether the daemon serves. */
    virtual bool asksReady(const HttpRequest &request) const = 0;
    /** @return what a server tells, or why it cannot be used. */
    virtual Result<ServerNotice> serverNotice(const HttpRequest &request) const = 0;
    /** @return the acknowledgement of a notice. */
    virtual HttpResponse acknowledgement() const = 0;

    /** @return the call that reads the newest document. */
    virtual HttpRequest readRoutes(bool stale) const = 0;
    /** @return its answer, read. */
    virtual Result<StoredRoutes> routesRead(const HttpResponse &response) const = 0;
    /** @return the call that watches for a newer document. */
    virtual HttpRequest watchRoutes(std::uint64_t storeRevision, Duration wait) const = 0;
    /** @return its answer, read. */
    virtual Result<StoredRoutes> routesWatched(const HttpResponse &response) const = 0;

    /** @return the call that stores a daemon's announcement. @param revision 0 to create it. */
    virtual HttpRequest announce(const DaemonRecord &self, std::uint64_t revision) const = 0;
    /** @return its answer, read. */
    virtual Result<AnnounceAnswer> announced(const HttpResponse &response) const = 0;
    /** @return the call that lists announcements. */
    virtual HttpRequest listDaemons(const std::string &after) const = 0;
    /** @return its answer, read. */
    virtual Result<DaemonPage> daemonsListed(const HttpResponse &response) const = 0;
};

} // namespace cornelwell
