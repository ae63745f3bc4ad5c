/** @file upgrade_response.h The answer to a handshake that opens a link. */
#pragma once

#include <websocketpp/common/memory.hpp> // response.hpp does not include it
#include <websocketpp/http/response.hpp>

#include <cstddef>
#include <string_view>

namespace cornelwell {

/**
 * Takes an answer in only while its first line is that of an accepted handshake.
 *
 * The library converts the status into an enumeration whose values end at 511. A greater number is
 * undefined behaviour, so that the line is checked before the library reads it.
 */
class UpgradeResponse : public websocketpp::http::parser::response
{
public:
    /**
     * Takes the next bytes of the answer. The base class's function is not virtual; the connection
     * calls this one because its configuration names this class.
     * @return how many bytes were taken.
     * @throws websocketpp::http::exception when the handshake is not accepted.
     */
    std::size_t consume(const char *bytes, std::size_t length)
    {
        for (std::size_t i = 0; i < length && m_checked < ACCEPTED.size(); ++i, ++m_checked) {
            if (bytes[i] != ACCEPTED[m_checked])
                throw websocketpp::http::exception("the handshake was not accepted",
                                                   websocketpp::http::status_code::bad_gateway);
        }
        return websocketpp::http::parser::response::consume(bytes, length);
    }

private:
    /** How the answer begins (RFC 6455, 4.1); daemons answer in this version of HTTP. */
    static constexpr std::string_view ACCEPTED = "HTTP/1.1 101 ";

    std::size_t m_checked = 0; ///< Bytes of the beginning that have been compared.
};

} // namespace cornelwell
