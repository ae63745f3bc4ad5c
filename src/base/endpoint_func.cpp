/** @file endpoint_func.cpp Parses and formats endpoints; host names are not resolved. */
#include "base/endpoint_func.h"

#include <arpa/inet.h>

#include <charconv>

namespace cornelwell {

bool isIpAddress(const std::string &text)
{
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(AF_INET, text.c_str(), buffer) == 1
           || inet_pton(AF_INET6, text.c_str(), buffer) == 1;
}

Result<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size())
        return fail(ResultCode::AddressInvalid, "'" + text + "' is not IP:PORT");
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    if (!isIpAddress(ip))
        return fail(ResultCode::AddressInvalid, "'" + ip + "' is not an IP address");
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0 || port > 65535)
        return fail(ResultCode::AddressInvalid, "'" + text + "' has no port from 1 to 65535");
    return Endpoint{ip, static_cast<std::uint16_t>(port)};
}

std::string formatEndpoint(const Endpoint &endpoint)
{
    const bool v6 = endpoint.ip.find(':') != std::string::npos;
    const std::string host = v6 ? "[" + endpoint.ip + "]" : endpoint.ip;
    return host + ":" + std::to_string(endpoint.port);
}

} // namespace cornelwell
