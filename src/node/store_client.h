/** @file store_client.h Client of the platform's store on one persistent connection. */
#pragma once

#include "http/http_type.h"
#include "http/response_reader.h"
#include "loop/tcp_connection.h"

#include <deque>
#include <functional>
#include <string>

namespace cornelwell {

/** Makes one call at a time, in order; later calls are queued. */
class StoreClient : private ConnectionHandler
{
public:
    /** Receives the response, or PlatformNotExecuted, PlatformUnknown, PlatformThrottled or
     * PlatformProtocol. */
    using Callback = std::function<void(const Result<HttpResponse> &)>;

    /**
     * @param loop The event loop.
     * @param address Address of the store.
     * @param fromIp Local IP number to bind to; empty for any.
     */
    StoreClient(EventLoop &loop, Endpoint address, std::string fromIp = {});
    ~StoreClient() override;

    /** Sets the address for requests that are sent later; one that is sent is not interrupted. */
    void setAddress(const Endpoint &address);
    /**
     * Makes a call, after those in the queue.
     * @param request The request; Host and Content-Type are added.
     * @param timeout Longest duration of the call, without its wait in the queue.
     * @param callback Receives the result; never called before this returns.
     */
    void call(HttpRequest request, Duration timeout, Callback callback);
    /** Ends the call in progress as if its timeout had expired; its callback is called later. */
    void abandonCall();
    /** @return number of requests sent since the start. */
    std::uint64_t calls() const { return m_requestsSent; }

private:
    /** A call that is queued or in progress. */
    struct Call
    {
        HttpRequest request;
        Duration timeout;
        Callback callback;
    };

    void connected() override;
    void received(std::string_view bytes) override;
    void disconnected(DisconnectReason reason) override;
    void startNextCall();
    void openConnection();
    void startTimeout(Duration timeout);
    void completeWith(HttpResponse response);
    void completeCall(const Result<HttpResponse> &result);
    void closeConnection();

    EventLoop &m_loop;
    Endpoint m_address;
    const std::string m_fromIp;
    TcpConnectionPtr m_connection;
    Endpoint m_connectedTo; ///< Address that m_connection was opened to.
    ResponseReader m_reader;
    std::deque<Call> m_queue;
    TimerId m_timeoutTimer = 0;
    bool m_requestSent = false;
    std::uint64_t m_requestsSent = 0;
};

} // namespace cornelwell
