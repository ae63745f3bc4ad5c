/** @file store_client.h Calls to the platform's store over one kept connection, in order. */
#pragma once

#include "exchange/response_reader.h"
#include "http/http_type.h"
#include "loop/tcp_connection.h"

#include <deque>
#include <functional>
#include <string>

namespace cornelwell {

/** One call at a time; others wait. */
class StoreClient : private ConnectionHandler
{
public:
    /** Told the answer, or PlatformNotExecuted, PlatformUnknown, PlatformThrottled. */
    using Callback = std::function<void(const Result<HttpResponse> &)>;

    /**
     * @param loop The loop.
     * @param store Address of the store.
     */
    /** @param fromIp IP number that calls come from; empty for any. */
    StoreClient(EventLoop &loop, Endpoint store, std::string fromIp = {});
    ~StoreClient() override;

    /** Changes the address, for calls from now on. */
    void setAddress(const Endpoint &store);
    /**
     * Makes a call.
     * @param request The call.
     * @param timeout Longest wait for its answer.
     * @param callback Told how it ended, never before this returns.
     */
    void call(HttpRequest request, Duration timeout, Callback callback);
    /** @return calls made since the start. */
    std::uint64_t calls() const { return m_calls; }

private:
    /** A call that waits or is under way. */
    struct Call
    {
        HttpRequest request;
        Duration timeout;
        Callback callback;
    };

    void connected() override;
    void received(std::string_view bytes) override;
    void disconnected(DisconnectReason end) override;
    void sendFirst();
    void finishFirst(const Result<HttpResponse> &answer);
    void drop();

    EventLoop &m_loop;
    Endpoint m_store;
    const std::string m_fromIp;
    TcpConnectionPtr m_connection;
    ResponseReader m_reader;
    std::deque<Call> m_waiting;
    TimerId m_timer = 0;
    bool m_sent = false;
    std::uint64_t m_calls = 0;
};

} // namespace cornelwell
