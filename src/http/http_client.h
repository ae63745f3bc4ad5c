/** @file http_client.h HTTP client that sends each request at most once and takes only whole
 * answers. */
#pragma once

#include "base/clock.h"
#include "base/identifier_type.h"
#include "base/network_cuts.h"
#include "http/http_type.h"

#include <atomic>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace cornelwell {

class DeadlineStream;

/** Bounds of one exchange. */
struct HttpBounds
{
    TimePoint deadline = NEVER; ///< Monotonic time at which the exchange ends.
    int callerSocket = -1;      ///< Socket whose closing cancels the exchange; -1 for none.
    std::size_t bodyBytesMax = 1024 * 1024; ///< Longest answer body.
    Duration connectMax = {1000};           ///< Longest wait for a connection.
};

/** Bytes that a client exchanged. */
struct HttpTraffic
{
    std::uint64_t bytesSent = 0;     ///< Bytes sent.
    std::uint64_t bytesReceived = 0; ///< Bytes received.
};

/** Kept connections to servers, shared by the threads of a process. */
class HttpClient
{
public:
    /**
     * @param clock For the age of kept connections.
     * @param idlePerServer Connections kept to one server while unused.
     * @param cuts Addresses that an experiment cuts off; may be null.
     */
    HttpClient(const Clock &clock, std::size_t idlePerServer, const NetworkCuts *cuts = nullptr);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends a request once. It is never sent again, on this or another connection.
     * @param server Where to.
     * @param request What to send.
     * @param bounds When to give up.
     * @return the whole answer, or how far it got.
     */
    HttpOutcome execute(const Endpoint &server, const HttpRequest &request,
                        const HttpBounds &bounds);

    /** Opens connections ahead of use. @return connections open and unused. */
    std::size_t openAhead(const Endpoint &server, std::size_t count);

    /** @return bytes exchanged so far. */
    HttpTraffic traffic() const { return {m_bytesSent, m_bytesReceived}; }

    /** Closes the unused connections to a server. */
    void forget(const Endpoint &server);

private:
    using StreamPtr = std::unique_ptr<DeadlineStream>;

    /** An unused connection and when it was last used. */
    struct IdleStream
    {
        StreamPtr stream;
        TimePoint since;
    };

    StreamPtr takeIdle(const Endpoint &server);
    void keep(const Endpoint &server, StreamPtr stream);
    StreamPtr open(const Endpoint &server, const HttpBounds &bounds, HttpOutcome &outcome);

    const Clock &m_clock;
    const std::size_t m_idlePerServer;
    const NetworkCuts *m_cuts;
    std::mutex m_mutex;
    std::map<Endpoint, std::deque<IdleStream>> m_idle;
    std::atomic<std::uint64_t> m_bytesSent{0};
    std::atomic<std::uint64_t> m_bytesReceived{0};
};

} // namespace cornelwell
