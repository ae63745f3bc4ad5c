/** @file call_handlers.h The two HTTP listeners of the call path: for callers and for other
 * daemons. */
#pragma once

#include "http/http_server.h"
#include "proxy/call_registry.h"
#include "proxy/call_sender.h"

#include <atomic>
#include <string>

namespace cornelwell {

/** Answers callers. */
class EdgeHandler final : public HttpHandler
{
public:
    /**
     * @param parts What the call path works with.
     * @param sender Carries the calls.
     * @param registry Calls that the own backend server runs.
     * @param settings Address, service and bounds.
     */
    EdgeHandler(SenderParts parts, CallSender &sender, CallRegistry &registry,
                const Settings &settings);

    HttpResponse handle(const HttpRequest &request, int callerSocket) override;

    /** Refuses new calls from now on. */
    void refuseNewCalls() { m_refusing = true; }

    /** @return true while a call is under way. */
    bool busy() const { return m_underWay > 0; }

private:
    CallResult carry(const HttpRequest &request, int callerSocket, CallContext &context);
    CallContext contextOf(const HttpRequest &request, int callerSocket);
    HttpResponse answer(const CallResult &result, const CallContext &context) const;
    void count(const CallResult &result, double milliseconds);

    const SenderParts m_parts;
    CallSender &m_sender;
    CallRegistry &m_registry;
    const std::string m_address;
    const ServiceName m_service;
    const Duration m_patienceMax;
    std::atomic<std::uint64_t> m_nextCall{1};
    std::atomic<bool> m_refusing{false};
    std::atomic<std::uint32_t> m_underWay{0};
};

/** Answers other daemons. */
class RelayHandler final : public HttpHandler
{
public:
    RelayHandler(SenderParts parts, CallReceiver &receiver) : m_parts(parts), m_receiver(receiver)
    {}

    HttpResponse handle(const HttpRequest &request, int callerSocket) override;

private:
    CallResult run(const HttpRequest &request, int callerSocket);

    const SenderParts m_parts;
    CallReceiver &m_receiver;
};

} // namespace cornelwell
