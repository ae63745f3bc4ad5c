/** @file object_store_standin.h The stand-in for the users' store: objects of kinds, revisions,
 * watches. */
#pragma once

#include "loop_service.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cornelwell {

/**
 * Answers calls on objects. A call to `/standin/mode?down=busy|silent|no` changes how it behaves,
 * `/standin/compact` drops its history, `/standin/calls` counts its calls.
 * `/standin/restore?revision=N` brings back the state of revision N: later changes are lost,
 * revisions are given out again, and the era of its answers rises.
 */
class ObjectStoreStandin
{
public:
    explicit ObjectStoreStandin(EventLoop &loop);

    /** Handles a call. */
    void handle(const HttpRequest &request, const LoopService::Reply &reply);

private:
    using Json = nlohmann::json;
    /** A change, for watches. */
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        Json object;
        bool deleted = false;
    };
    /** A watch that waits. */
    struct Watch
    {
        std::string kind;
        std::uint64_t from = 0;
        LoopService::Reply reply;
        TimerId timer = 0;
    };

    void restore(std::uint64_t revision);
    void answerAllWatches(int status);
    void steer(const HttpRequest &request, const LoopService::Reply &reply);
    void list(const std::string &kind, const std::string &query, const LoopService::Reply &reply);
    void watch(const std::string &kind, const std::string &query, const LoopService::Reply &reply);
    HttpResponse write(const std::string &kind, const std::string &name,
                       const HttpRequest &request);
    HttpResponse remove(const std::string &kind, const std::string &name);
    bool answerWatch(const std::string &kind, std::uint64_t from, const LoopService::Reply &reply);
    void changed(const std::string &kind, Json object, bool deleted);

    EventLoop &m_loop;
    std::map<std::string, std::map<std::string, Json>> m_objects;
    std::map<std::string, std::map<std::string, Json>> m_base; ///< Objects before m_events.
    std::deque<Event> m_events;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 1;    ///< Rises with each restore.
    std::uint64_t m_oldest = 1; ///< Changes up to this revision are forgotten.
    std::uint64_t m_lastWatch = 0;
    std::uint64_t m_calls = 0;
    std::string m_down = "no";
};

} // namespace cornelwell
