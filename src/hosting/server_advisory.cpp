/** @file server_advisory.cpp Parsing of the advisory fields. */
#include "hosting/server_advisory.h"

#include <charconv>
#include <cmath>

namespace cornelwell {

Result<ServerAdvisory> parseServerAdvisory(std::string_view limit, std::string_view leaving)
{
    ServerAdvisory advisory;
    advisory.leaving = leaving == "1";
    if (limit.empty())
        return advisory;
    double value = 0;
    const char *end = limit.data() + limit.size();
    const auto [stopped, error]
        = std::from_chars(limit.data(), end, value, std::chars_format::fixed);
    if (error != std::errc() || stopped != end || !std::isfinite(value) || value < 0)
        return fail(ResultCode::ServerAdvisoryMalformed, "a limit that is no decimal number",
                    std::string(limit));
    advisory.requestsPerSecond = value;
    return advisory;
}

} // namespace cornelwell
