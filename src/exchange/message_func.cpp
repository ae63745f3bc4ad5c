/** @file message_func.cpp Serialization of HTTP/1.1 requests and responses. */
#include "exchange/message_func.h"

#include <algorithm>
#include <iterator>

namespace cornelwell {

namespace {

/** Hop-by-hop fields, and the fields that this daemon sets or handles itself for each hop. */
constexpr const char *HOP_BY_HOP_FIELDS[] = {"Connection",
                                             "Keep-Alive",
                                             "Proxy-Connection",
                                             "Proxy-Authenticate",
                                             "Proxy-Authorization",
                                             "TE",
                                             "Trailer",
                                             "Transfer-Encoding",
                                             "Upgrade",
                                             "Content-Length",
                                             "Expect"};
constexpr int NO_CONTENT = 204;
constexpr int NOT_MODIFIED = 304;

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

/** @return the field names listed in the Connection fields. */
std::vector<std::string> connectionOptions(const HttpHeaders &headers)
{
    std::vector<std::string> names;
    for (const HttpHeader &field : headers.fields()) {
        if (!sameHeaderName(field.name, "Connection"))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            const std::string_view name = trimmed(rest.substr(0, comma));
            if (!name.empty())
                names.emplace_back(name);
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

void appendFields(std::string &bytes, const HttpHeaders &headers)
{
    for (const HttpHeader &field : headers.fields()) {
        bytes += field.name;
        bytes += ": ";
        bytes += field.value;
        bytes += "\r\n";
    }
}

} // namespace

HttpHeaders withoutHeaders(const HttpHeaders &headers, const std::vector<std::string> &names)
{
    HttpHeaders kept;
    for (const HttpHeader &field : headers.fields()) {
        const bool removed = std::any_of(names.begin(), names.end(), [&](const std::string &name) {
            return sameHeaderName(field.name, name);
        });
        if (!removed)
            kept.add(field.name, field.value);
    }
    return kept;
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    std::vector<std::string> names = connectionOptions(headers);
    names.insert(names.end(), std::begin(HOP_BY_HOP_FIELDS), std::end(HOP_BY_HOP_FIELDS));
    return withoutHeaders(headers, names);
}

std::string serializeRequest(const HttpRequest &request)
{
    std::string bytes;
    bytes.reserve(request.body.size() + 512);
    bytes += request.method + " " + request.path + " HTTP/1.1\r\n";
    appendFields(bytes, request.headers);
    const bool omitLength = request.body.empty()
                            && (request.method == "GET" || request.method == "HEAD"
                                || request.method == "DELETE" || request.method == "OPTIONS");
    if (!omitLength)
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    bytes += "\r\n";
    bytes += request.body;
    return bytes;
}

std::string serializeResponse(const HttpResponse &response, std::string_view method, bool close)
{
    std::string bytes;
    bytes.reserve(response.body.size() + 256);
    bytes += "HTTP/1.1 " + std::to_string(response.status) + " " + httpStatusText(response.status)
             + "\r\n";
    appendFields(bytes, response.headers);
    const bool noBody = response.status == NO_CONTENT || response.status == NOT_MODIFIED;
    if (!noBody)
        bytes += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (close)
        bytes += "Connection: close\r\n";
    bytes += "\r\n";
    if (!noBody && method != "HEAD")
        bytes += response.body;
    return bytes;
}

} // namespace cornelwell
