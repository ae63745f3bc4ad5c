/** @file http_type.h Requests and answers, apart from the libraries that carry them. */
#pragma once

#include "base/clock_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelwell {

/** One header field. */
struct HttpHeader
{
    std::string name;  ///< Field name, compared without case.
    std::string value; ///< Field value.
};

/** Header fields in order. */
class HttpHeaders
{
public:
    /** Adds a field. */
    void add(std::string name, std::string value)
    {
        m_fields.push_back({std::move(name), std::move(value)});
    }

    /** @return the value of the first field of this name, or an empty text. */
    std::string_view get(std::string_view name) const;

    /** @return true when a field of this name is present. */
    bool has(std::string_view name) const;

    /** @return all fields in order. */
    const std::vector<HttpHeader> &fields() const { return m_fields; }

private:
    std::vector<HttpHeader> m_fields;
};

/** @return true when the names are equal without regard to case. */
bool sameHeaderName(std::string_view a, std::string_view b);

/** A request. */
struct HttpRequest
{
    std::string method = "GET"; ///< Method.
    std::string path;           ///< Path without query.
    std::string query;          ///< Query without '?'.
    HttpHeaders headers;        ///< Header fields.
    std::string body;           ///< Whole body.
    bool bodyTooLarge = false;  ///< The body went over the listener's limit and was dropped.
};

/** An answer. */
struct HttpResponse
{
    int status = 200;    ///< Status.
    HttpHeaders headers; ///< Header fields.
    std::string body;    ///< Whole body.
};

/** How far a failed exchange got. */
enum class HttpFailure : std::uint8_t
{
    None,      ///< It did not fail.
    NotSent,   ///< No byte of the request left: it was not run.
    Broken,    ///< The connection broke after bytes left: it may have run.
    TimedOut,  ///< No whole answer in time: it may have run.
    Cancelled, ///< The caller went away after bytes left: it may have run.
    Malformed, ///< The answer is cut short or is no HTTP: it may have run.
};

/** Result of an exchange: an answer when failure is None. */
struct HttpOutcome
{
    HttpFailure failure = HttpFailure::None; ///< How it failed.
    HttpResponse response;                   ///< The whole answer.
    std::string detail;                      ///< For a person.
};

/** @return true for the status of a response that another one follows: 100 to 199. */
constexpr bool isInterimStatus(int status)
{
    return status >= 100 && status <= 199;
}

/** @return true for the status of a response that ends an exchange: 200 to 599. */
constexpr bool isFinalStatus(int status)
{
    return status >= 200 && status <= 599;
}

/** @return the usual text of a status. */
const char *httpStatusText(int status);

/** @return the value of @p key in a query of `a=b&c=d`, without escapes; empty when absent. */
std::string queryValue(const std::string &query, const std::string &key);

} // namespace cornelwell
