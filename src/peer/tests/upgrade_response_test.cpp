/** @file upgrade_response_test.cpp Which answers to a handshake reach the parser of the library. */
#include "peer/upgrade_response.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace cornelwell;

namespace {

/** Takes a text in, so many bytes at a time. @return whether all of it was taken. */
bool takes(const std::string &text, std::size_t step)
{
    UpgradeResponse response;
    try {
        for (std::size_t at = 0; at < text.size(); at += step)
            response.consume(text.data() + at, std::min(step, text.size() - at));
    } catch (const websocketpp::http::exception &) {
        return false;
    }
    return response.get_status_code() == websocketpp::http::status_code::switching_protocols
           && response.get_header("Upgrade") == "websocket";
}

} // namespace

// Guards against a status outside the library's enumeration, which is undefined behaviour.
TEST_CASE("only an accepted handshake is read as an answer, however it is cut", "[control]")
{
    const std::string headers = "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n";
    for (const std::size_t step : {1, 5, 4096}) {
        INFO(step);
        CHECK(takes("HTTP/1.1 101 Switching Protocols" + headers, step));
        for (const char *line :
             {"HTTP/1.1 000 Odd", "HTTP/1.1 1010 Odd", "HTTP/1.1 426 Odd", "HTTP/1.1 512 Odd",
              "HTTP/1.1 600 Odd", "HTTP/1.1 -1 Odd", "101 HTTP/1.1", "\r\n"})
            CHECK_FALSE(takes(line + headers, step));
    }
}
