/** @file admin_handler.cpp Builds the answers of the admin address. */
#include "daemon/admin_handler.h"

#include "base/json_func.h"

#include "base/endpoint_func.h"
#include "base/hash_func.h"
#include "catalogue/entry_func.h"
#include "timeline/timeline_func.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace cornelwell {

namespace {

constexpr int HEXADECIMAL = 16; ///< Base of fingerprints in text.

HttpResponse jsonResponse(const nlohmann::json &body)
{
    HttpResponse response;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

HttpResponse textResponse(int status, const std::string &text)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain; charset=utf-8");
    response.body = text;
    return response;
}

} // namespace

HttpResponse AdminHandler::handle(const HttpRequest &request, int)
{
    const bool reading = request.method == "GET";
    if (reading && request.path == "/health")
        return health();
    if (reading && request.path == "/metrics")
        return textResponse(200, m_parts.metrics.text());
    if (reading && request.path == "/status")
        return status();
    if (reading && request.path == "/members")
        return members();
    if (reading && request.path == "/timeline")
        return timeline();
    if (reading && request.path == "/entries")
        return entries();
    if (request.method == "POST" && request.path == "/experiment/cut"
        && m_parts.settings.experimentCuts)
        return cut(request);
    if (reading && request.path == "/quarantine")
        return quarantine();
    if (request.method == "POST" && request.path == "/quarantine/release")
        return release(request);
    if (request.method == "POST" && request.path == "/drain") {
        m_drain();
        return textResponse(200, "draining\n");
    }
    return textResponse(404, "GET /health /metrics /status /members /timeline /entries "
                             "/quarantine, POST /drain /quarantine/release\n");
}

HttpResponse AdminHandler::quarantine()
{
    nlohmann::json list = nlohmann::json::array();
    for (const CrashReport &report : m_parts.loop.status().crashes) {
        list.push_back({{"fingerprint", hex64(report.fingerprint)},
                        {"entry", report.entry.text()},
                        {"server", report.server.text()},
                        {"age_ms", report.age.ms},
                        {"refused", m_parts.view.isQuarantined(report.fingerprint)}});
    }
    return jsonResponse(list);
}

HttpResponse AdminHandler::release(const HttpRequest &request)
{
    const std::string text = queryValue(request.query, "fingerprint");
    std::uint64_t fingerprint = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, fingerprint, HEXADECIMAL);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return textResponse(400, "give ?fingerprint=, 16 hexadecimal digits\n");
    m_parts.loop.releaseQuarantine(fingerprint);
    return textResponse(200, "released\n");
}

HttpResponse AdminHandler::cut(const HttpRequest &request)
{
    const Result<nlohmann::json> list = parseJson(request.body, JsonOptions());
    if (!list || !list.value().is_array())
        return textResponse(400, "give a JSON list of IP numbers\n");
    std::set<std::string> addresses;
    for (const nlohmann::json &address : list.value()) {
        if (address.is_string())
            addresses.insert(address.get<std::string>());
    }
    m_parts.cuts.set(std::move(addresses));
    return textResponse(200, "cut\n");
}

HttpResponse AdminHandler::health() const
{
    const Revision revision = m_parts.view.configuration()->revision();
    if (revision == 0)
        return textResponse(503, "no configuration yet\n");
    return textResponse(200, "ok, version " + std::to_string(revision) + "\n");
}

HttpResponse AdminHandler::status()
{
    const ControlStatus status = m_parts.loop.status();
    const LoadReport load = m_parts.receiver.load();
    std::size_t living = 0;
    for (const MemberClaim &claim : status.members)
        living += claim.opinion != MemberOpinion::Failed && claim.record.state != MemberState::Gone
                      ? 1
                      : 0;
    return jsonResponse({{"id", status.self.id.text()},
                         {"data_centre", status.self.dataCentre.text()},
                         {"region", m_parts.settings.region},
                         {"incarnation", status.self.incarnation},
                         {"state", memberStateName(status.self.state)},
                         {"service", status.self.service.text()},
                         {"version", CORNELWELL_VERSION},
                         {"revision", status.revision},
                         {"digest", hex64(status.digest)},
                         {"relay", status.relay},
                         {"platform_answers", status.platformAnswers},
                         {"links", status.links},
                         {"members_known", status.members.size()},
                         {"members_living", living},
                         {"running", load.running},
                         {"waiting", load.waiting}});
}

HttpResponse AdminHandler::members()
{
    nlohmann::json list = nlohmann::json::array();
    for (const MemberClaim &claim : m_parts.loop.status().members) {
        const MemberRecord &record = claim.record;
        list.push_back({{"id", record.id.text()},
                        {"data_centre", record.dataCentre.text()},
                        {"service", record.service.text()},
                        {"state", memberStateName(record.state)},
                        {"opinion", memberOpinionName(claim.opinion)},
                        {"incarnation", record.incarnation},
                        {"sequence", record.sequence},
                        {"call", formatEndpoint({record.address, record.callPort})},
                        {"admin", formatEndpoint({record.address, record.adminPort})}});
    }
    return jsonResponse(list);
}

HttpResponse AdminHandler::timeline() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Event &event : m_parts.timeline.events())
        list.push_back(eventToJson(event));
    return jsonResponse(list);
}

HttpResponse AdminHandler::entries() const
{
    const ConfigurationPtr configuration = m_parts.view.configuration();
    nlohmann::json list = nlohmann::json::array();
    for (const auto &item : configuration->entries())
        list.push_back(entryInForceToJson(item.second));
    return jsonResponse({{"revision", configuration->revision()},
                         {"digest", hex64(configuration->digest())},
                         {"entries", list}});
}

} // namespace cornelwell
