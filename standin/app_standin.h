/** @file app_standin.h The stand-in for a server of the users: slots, seals, reports. */
#pragma once

#include "loop_service.h"
#include "node/store_client.h"

#include <map>
#include <string>

namespace cornelwell {

/** How the stand-in behaves. */
struct AppStandinOptions
{
    std::string id;          ///< Identity; it appears in seals.
    std::string service;     ///< Its service.
    std::string zone;        ///< Its data centre.
    Endpoint listen;         ///< Where it serves.
    Endpoint reports;        ///< Where its daemon takes reports.
    unsigned slots = 4;      ///< Requests at once.
    Duration work = {20};    ///< Time of a request; `?work=MS` names another.
    Duration drain = {1000}; ///< From the acknowledged report that it leaves to its end.
};

/**
 * Runs requests and reports to its daemon. `?fail=1` answers 500, `?cut=1` breaks the connection,
 * `?other=1` answers under another request's identifier first. `/standin/records` tells how often
 * each request was run.
 */
class AppStandin
{
public:
    AppStandin(EventLoop &loop, AppStandinOptions options);

    /** Listens and begins to report. */
    Result<void> start();
    /** Reports that it leaves, then ends the loop. */
    void leave();

private:
    void handle(const HttpRequest &request, const LoopService::Reply &reply);
    void run(const HttpRequest &request, const LoopService::Reply &reply);
    void report();
    HttpResponse sealed(int status, const std::string &requestId, std::string body) const;

    EventLoop &m_loop;
    const AppStandinOptions m_options;
    LoopService m_service;
    StoreClient m_daemon;
    std::map<std::string, unsigned> m_runs;
    std::map<std::string, std::string> m_callers;
    std::int64_t m_born;
    std::uint64_t m_sequence = 0;
    unsigned m_running = 0;
    bool m_leaving = false;
};

} // namespace cornelwell
