/** @file call_sender.h Carries calls to servers: choice, one hop, retries. */
#pragma once

#include "base/clock.h"
#include "http/http_client.h"
#include "metrics/metrics.h"
#include "proxy/call_receiver.h"
#include "proxy/call_type.h"
#include "proxy/shared_view.h"
#include "retry/retry_budget.h"
#include "timeline/timeline.h"

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace cornelwell {

/** What the sender works with; all of it outlives the sender. */
struct SenderParts
{
    SharedView &view;                 ///< Configuration and servers.
    CallReceiver &receiver;           ///< This daemon's own server.
    const ReceiverIdentity &identity; ///< Who this daemon is.
    Metrics &metrics;                 ///< Counters.
    Timeline &timeline;               ///< Events.
    ObjectStore &store;               ///< The platform, to look for claims.
    const NetworkCuts *cuts;          ///< Addresses that an experiment cuts off; may be null.
    const Clock &clock;               ///< Time.
};

/** Sends calls to the servers of their service. Safe for threads. */
class CallSender
{
public:
    /**
     * @param parts What it works with.
     * @param connectionsPerServer Connections kept to one server.
     * @param bodyBytesMax Longest answer.
     */
    CallSender(SenderParts parts, std::size_t connectionsPerServer, std::size_t bodyBytesMax);

    /** Sends a call, and again where that is allowed. Waits for its answer. */
    CallResult send(const OutgoingCall &call);

    /** Sets who is told that a server's machine refused a connection. */
    void setRefusalListener(std::function<void(const ServerId &)> listener)
    {
        m_refused = std::move(listener);
    }

private:
    CallResult sendToServers(const OutgoingCall &call);
    CallResult proveNotRun(const OutgoingCall &call, CallResult result);
    CallResult attempt(const OutgoingCall &call, const Target &target);
    CallResult follow(const OutgoingCall &call, const CallResult &claimed);
    CallResult overHttp(const OutgoingCall &call, const Endpoint &relay);
    std::vector<ServerId> limitedServers(const EntryName &entry, TimePoint now);
    void learnLimit(const EntryName &entry, const ServerId &server, TimePoint until);
    void note(EventKind kind, const OutgoingCall &call, const CallResult &result);

    const SenderParts m_parts;
    const std::size_t m_bodyBytesMax;
    HttpClient m_client;
    RetryBudget m_budget;
    std::mutex m_limitedMutex;
    std::map<std::pair<EntryName, ServerId>, TimePoint> m_limited;
    std::function<void(const ServerId &)> m_refused;
};

} // namespace cornelwell
