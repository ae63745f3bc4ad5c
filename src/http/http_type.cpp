/** @file http_type.cpp Header look-up and status texts. */
#include "http/http_type.h"

#include <algorithm>
#include <cctype>

namespace cornelwell {

bool sameHeaderName(std::string_view a, std::string_view b)
{
    const auto same = [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x))
               == std::tolower(static_cast<unsigned char>(y));
    };
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), same);
}

std::string_view HttpHeaders::get(std::string_view name) const
{
    for (const HttpHeader &field : m_fields) {
        if (sameHeaderName(field.name, name))
            return field.value;
    }
    return {};
}

bool HttpHeaders::has(std::string_view name) const
{
    const auto named = [&](const HttpHeader &field) { return sameHeaderName(field.name, name); };
    return std::any_of(m_fields.begin(), m_fields.end(), named);
}

const char *httpStatusText(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 499:
        return "Client Closed Request";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string queryValue(const std::string &query, const std::string &key)
{
    std::size_t at = 0;
    while (at < query.size()) {
        const std::size_t end = std::min(query.find('&', at), query.size());
        const std::string pair = query.substr(at, end - at);
        if (pair.size() > key.size() && pair.compare(0, key.size(), key) == 0
            && pair[key.size()] == '=')
            return pair.substr(key.size() + 1);
        at = end + 1;
    }
    return {};
}

} // namespace cornelwell
