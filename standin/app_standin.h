/** @file app_standin.h The stand-in for a server of the users: slots, seals, reports. */
#pragma once

#include "loop_service.h"
#include "node/store_client.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelwell {

/** How the stand-in behaves. */
struct AppStandinOptions
{
    std::string id;             ///< Identity; it appears in seals.
    std::string service;        ///< Its service.
    std::string zone;           ///< Its data centre.
    Endpoint listen;            ///< Where it serves.
    Endpoint reports;           ///< Where its daemon takes reports.
    unsigned slots = 4;         ///< Requests at once.
    Duration work = {20};       ///< Time of a request; `?work=MS` names another.
    std::string next;           ///< Service that each run calls before it answers; empty for none.
    Endpoint calls;             ///< Where its daemon takes such calls.
    Duration drain = {1000};    ///< From the acknowledged report that it leaves to its end.
    std::string version = "v1"; ///< Software version that it states.
    unsigned failPerMille = 0;  ///< Share of the requests that it fails while it is bad.
    unsigned slowFactor = 1;    ///< Multiplies the time of a request while it is bad.
    Duration badAfter = {0};    ///< It is bad from this time after its start on,
    unsigned badRunning = 0;    ///< while it runs at least so many requests,
    std::string badPath;        ///< on paths that begin so; empty: on all.
};

/**
 * Runs requests and reports to its daemon. `?fail=1` answers 500, `?cut=1` breaks the connection,
 * `?other=1` answers under another request's identifier first. `/standin/records` tells how often
 * each request was run. `?deepfail=1` fails at the last service of a chain. With a next service
 * each run calls it, and fails when that call fails. `/standin/advisory?limit=X&leaving=1` sets
 * what its answers say of it, while its reports go on as before, and starts the list of arrivals
 * anew.
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
    bool isBadFor(const HttpRequest &request) const;
    void run(const HttpRequest &request, const LoopService::Reply &reply);
    HttpResponse records() const;
    void setAdvisory(const std::string &query);
    void callNext(const HttpRequest &request, const LoopService::Reply &reply);
    void finish(const std::string &requestId, int status, const std::string &body,
                const LoopService::Reply &reply);
    void report();
    HttpResponse sealed(int status, const std::string &requestId, std::string body) const;

    EventLoop &m_loop;
    const AppStandinOptions m_options;
    LoopService m_service;
    StoreClient m_daemon;
    std::vector<std::unique_ptr<StoreClient>> m_idle; ///< Connections for calls onwards.
    std::map<std::string, unsigned> m_runs;
    std::map<std::string, std::string> m_callers;
    std::int64_t m_born;
    std::uint64_t m_sequence = 0;
    unsigned m_running = 0;
    bool m_leaving = false;
    std::string m_limit;                    ///< Limit that its answers name; empty: none.
    bool m_answersLeaving = false;          ///< Its answers say that it leaves.
    std::vector<std::int64_t> m_arrivalsMs; ///< Of requests since the advisory was set, in ms.
};

} // namespace cornelwell
