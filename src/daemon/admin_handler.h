/** @file admin_handler.h The admin address: health, metrics, status, servers, time line, entries.
 */
#pragma once

#include "daemon/control_loop.h"
#include "http/http_server.h"
#include "metrics/metrics.h"
#include "timeline/timeline.h"

#include <functional>

namespace cornelwell {

/** What the admin address shows; all of it outlives the handler. */
struct AdminParts
{
    ControlLoop &loop;        ///< The control.
    Metrics &metrics;         ///< Counters.
    Timeline &timeline;       ///< Events.
    SharedView &view;         ///< Configuration in force.
    const Settings &settings; ///< Settings of the daemon.
    CallReceiver &receiver;   ///< The own server.
    NetworkCuts &cuts;        ///< Set by experiments.
};

/** Answers operators. */
class AdminHandler final : public HttpHandler
{
public:
    /**
     * @param parts What it shows.
     * @param drain Begins a graceful shutdown.
     */
    AdminHandler(AdminParts parts, std::function<void()> drain)
        : m_parts(parts), m_drain(std::move(drain))
    {}

    HttpResponse handle(const HttpRequest &request, int callerSocket) override;

private:
    HttpResponse health() const;
    HttpResponse status();
    HttpResponse members();
    HttpResponse timeline() const;
    HttpResponse entries() const;
    HttpResponse quarantine();
    HttpResponse release(const HttpRequest &request);
    HttpResponse cut(const HttpRequest &request);

    const AdminParts m_parts;
    const std::function<void()> m_drain;
};

} // namespace cornelwell
