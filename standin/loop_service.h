/** @file loop_service.h An HTTP server on the event loop whose answers may come later. */
#pragma once

#include "node/caller_session.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace cornelwell {

/** Serves requests by a function that is given a way to answer. */
class LoopService : private CallerSessionOwner
{
public:
    /** Answers a request; may be called later, once. */
    using Reply = std::function<void(const HttpResponse &)>;
    /** Handles a request. */
    using Handler = std::function<void(const HttpRequest &, Reply)>;

    LoopService(EventLoop &loop, Handler handler) : m_loop(loop), m_handler(std::move(handler)) {}

    /** Listens. */
    Result<void> listen(const Endpoint &at)
    {
        BOOST_OUTCOME_TRY(listener, TcpListener::listen(m_loop, at, [this](TcpConnectionPtr link) {
                              CallerSessionOwner &owner = *this;
                              const auto session = std::make_shared<CallerSession>(
                                  m_loop, owner, std::move(link), false);
                              m_sessions.insert(session);
                              session->start();
                          }));
        m_listener = std::move(listener);
        return success();
    }

    /** Called when the caller of a request left before its answer. */
    std::function<void(PendingRequestId)> onLeft = [](PendingRequestId) {};

    /** Breaks the connection of the request that is being handled, without an answer. */
    void breakConnection(PendingRequestId id)
    {
        const auto found = m_open.find(id);
        if (found == m_open.end())
            return;
        const auto session = found->second.lock();
        m_open.erase(found);
        if (session)
            session->close();
    }

    /** @return number of the request that is being handled. */
    PendingRequestId current() const { return m_last; }

private:
    TrafficLimits limits() const override { return {}; }
    bool shouldCloseConnections() const override { return false; }
    bool mayRunConcurrently(const HttpRequest &) const override { return false; }
    PendingRequestId newRequestId() override { return ++m_last; }
    void handleRequest(CallerSession &session, PendingRequestId id,
                       IncomingRequest request) override
    {
        m_open[id] = session.shared_from_this();
        m_handler(request.request, [this, id](const HttpResponse &response) {
            const auto found = m_open.find(id);
            if (found == m_open.end())
                return;
            const auto open = found->second.lock();
            m_open.erase(found);
            if (open)
                open->respond(id, response);
        });
    }
    void callerDisconnected(PendingRequestId id) override
    {
        m_open.erase(id);
        onLeft(id);
    }
    void sessionClosed(CallerSession &session) override
    {
        m_sessions.erase(session.shared_from_this());
    }

    EventLoop &m_loop;
    Handler m_handler;
    std::unique_ptr<TcpListener> m_listener;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
    std::unordered_map<PendingRequestId, std::weak_ptr<CallerSession>> m_open;
    PendingRequestId m_last = 0;
};

} // namespace cornelwell
