/** @file object_store_standin.cpp Objects in memory. */
#include "object_store_standin.h"

#include <algorithm>
#include <cstdlib>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr const char *PREFIX = "/api/objects/";
constexpr int GONE = 410;
constexpr std::size_t PAGE = 50; ///< Objects of one answer.

HttpResponse jsonAnswer(int status, const Json &body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

HttpResponse bare(int status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

std::uint64_t number(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

ObjectStoreStandin::ObjectStoreStandin(EventLoop &loop) : m_loop(loop) {}

void ObjectStoreStandin::handle(const HttpRequest &request, const LoopService::Reply &answer)
{
    const LoopService::Reply reply = [this, answer](HttpResponse response) {
        response.headers.add("Store-Era", std::to_string(m_era));
        answer(response);
    };
    const std::string path = request.path.substr(0, request.path.find('?'));
    const std::string query
        = path.size() < request.path.size() ? request.path.substr(path.size() + 1) : "";
    if (path.rfind("/standin/", 0) == 0) {
        steer(request, reply);
        return;
    }
    m_calls++;
    if (m_down == "silent")
        return;
    if (m_down == "busy" || path.rfind(PREFIX, 0) != 0) {
        reply(bare(m_down == "busy" ? 503 : 404));
        return;
    }
    const std::string rest = path.substr(std::string(PREFIX).size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name = kind.size() < rest.size() ? rest.substr(kind.size() + 1) : "";
    if (request.method == "GET" && !queryValue(query, "watch").empty())
        watch(kind, query, reply);
    else if (request.method == "GET" && name.empty())
        list(kind, query, reply);
    else if (request.method == "GET")
        reply(m_objects[kind].count(name) != 0 ? jsonAnswer(200, m_objects[kind][name])
                                               : bare(404));
    else if (request.method == "DELETE")
        reply(remove(kind, name));
    else
        reply(write(kind, name, request));
}

void ObjectStoreStandin::steer(const HttpRequest &request, const LoopService::Reply &reply)
{
    const std::size_t mark = request.path.find('?');
    if (request.path.rfind("/standin/mode", 0) == 0 && mark != std::string::npos)
        m_down = queryValue(request.path.substr(mark + 1), "down");
    if (request.path.rfind("/standin/compact", 0) == 0) {
        m_oldest = m_revision;
        m_base = m_objects;
        m_events.clear();
        answerAllWatches(GONE);
    }
    if (request.path.rfind("/standin/restore", 0) == 0 && mark != std::string::npos)
        restore(number(queryValue(request.path.substr(mark + 1), "revision")));
    reply(jsonAnswer(200, {{"calls", m_calls}, {"down", m_down}, {"revision", m_revision}}));
}

void ObjectStoreStandin::answerAllWatches(int status)
{
    std::map<std::uint64_t, Watch> watches;
    watches.swap(m_watches);
    for (auto &[id, one] : watches) {
        m_loop.cancel(one.timer);
        one.reply(bare(status));
    }
}

/** Rebuilds the objects from the changes up to a revision that is still in the history. */
void ObjectStoreStandin::restore(std::uint64_t revision)
{
    if (revision < m_oldest || revision > m_revision)
        return;
    while (!m_events.empty() && m_events.back().revision > revision)
        m_events.pop_back();
    m_objects = m_base;
    for (const Event &event : m_events) {
        const std::string name = event.object["meta"]["name"];
        if (event.deleted)
            m_objects[event.kind].erase(name);
        else
            m_objects[event.kind][name] = event.object;
    }
    m_revision = revision;
    m_era++;
    answerAllWatches(GONE);
}

void ObjectStoreStandin::list(const std::string &kind, const std::string &query,
                              const LoopService::Reply &reply)
{
    const std::string after = queryValue(query, "after");
    Json items = Json::array();
    bool more = false;
    for (const auto &[name, object] : m_objects[kind]) {
        if (name <= after && !after.empty())
            continue;
        if (items.size() >= PAGE) {
            more = true;
            break;
        }
        items.push_back(object);
    }
    reply(jsonAnswer(200, {{"items", items}, {"has-more", more}, {"store-revision", m_revision}}));
}

bool ObjectStoreStandin::answerWatch(const std::string &kind, std::uint64_t from,
                                     const LoopService::Reply &reply)
{
    Json events = Json::array();
    for (const Event &event : m_events) {
        if (event.revision > from && event.kind == kind)
            events.push_back({{"object", event.object}, {"deleted", event.deleted}});
    }
    if (events.empty())
        return false;
    reply(jsonAnswer(200, {{"events", events}, {"store-revision", m_revision}}));
    return true;
}

void ObjectStoreStandin::watch(const std::string &kind, const std::string &query,
                               const LoopService::Reply &reply)
{
    const std::uint64_t from = number(queryValue(query, "watch"));
    if (from < m_oldest || from > m_revision) {
        reply(bare(410));
        return;
    }
    if (answerWatch(kind, from, reply))
        return;
    const std::uint64_t id = ++m_lastWatch;
    const Duration wait{static_cast<std::int64_t>(number(queryValue(query, "wait-ms")))};
    const TimerId timer = m_loop.after(wait, [this, id] {
        const Watch done = m_watches[id];
        m_watches.erase(id);
        done.reply(jsonAnswer(200, {{"events", Json::array()}, {"store-revision", m_revision}}));
    });
    m_watches[id] = {kind, from, reply, timer};
}

HttpResponse ObjectStoreStandin::write(const std::string &kind, const std::string &name,
                                       const HttpRequest &request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("meta"))
        return bare(400);
    const std::string suffix = "/status";
    const bool ofStatus = name.size() > suffix.size()
                          && name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
    const std::string target = name.empty() ? body["meta"].value("name", "")
                               : ofStatus   ? name.substr(0, name.size() - suffix.size())
                                            : name;
    auto &objects = m_objects[kind];
    const auto found = objects.find(target);
    if (request.method == "POST" && found != objects.end())
        return jsonAnswer(409, found->second);
    if (request.method == "PUT") {
        if (found == objects.end())
            return bare(404);
        const std::uint64_t expected = body["meta"].value("revision", std::uint64_t{0});
        if (expected != 0 && expected != found->second["meta"]["revision"])
            return jsonAnswer(409, found->second);
    }
    Json object = found == objects.end() ? Json::object() : found->second;
    if (!object.contains("meta"))
        object["meta"] = {{"name", target}, {"created-rev", m_revision + 1}};
    if (ofStatus)
        object["status"] = body.value("status", Json());
    else
        object["spec"] = body.value("spec", Json());
    object["meta"]["revision"] = m_revision + 1;
    objects[target] = object;
    changed(kind, object, false);
    return jsonAnswer(200, object);
}

HttpResponse ObjectStoreStandin::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end())
        return bare(404);
    const Json object = found->second;
    m_objects[kind].erase(found);
    changed(kind, object, true);
    return jsonAnswer(200, object);
}

void ObjectStoreStandin::changed(const std::string &kind, Json object, bool deleted)
{
    m_events.push_back({++m_revision, kind, std::move(object), deleted});
    std::vector<Watch> due;
    for (auto item = m_watches.begin(); item != m_watches.end();) {
        if (item->second.kind != kind) {
            ++item;
            continue;
        }
        due.push_back(item->second);
        item = m_watches.erase(item);
    }
    for (Watch &one : due) {
        m_loop.cancel(one.timer);
        answerWatch(kind, one.from, one.reply);
    }
}

} // namespace cornelwell
