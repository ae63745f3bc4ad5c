/** @file identifier_type.h Identifiers with a type per kind, so that kinds cannot be confused. */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cornelwell {

/**
 * A name in text form.
 * @tparam Tag Makes each kind of name a distinct type.
 */
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string text) : m_text(std::move(text)) {}

    /** @return the name as text. */
    const std::string &text() const { return m_text; }
    /** @return true when no name is set. */
    bool empty() const { return m_text.empty(); }

    friend bool operator==(const Identifier &a, const Identifier &b)
    {
        return a.m_text == b.m_text;
    }
    friend bool operator!=(const Identifier &a, const Identifier &b)
    {
        return a.m_text != b.m_text;
    }
    friend bool operator<(const Identifier &a, const Identifier &b) { return a.m_text < b.m_text; }

private:
    std::string m_text;
};

using ServerId = Identifier<struct ServerTag>; ///< A backend server and the daemon on its VM.
using DataCentreId = Identifier<struct DataCentreTag>; ///< A data centre.
using ServiceName = Identifier<struct ServiceTag>;     ///< A service run by backend servers.
using EntryName = Identifier<struct EntryTag>;         ///< A catalogue entry.
using ResourceName = Identifier<struct ResourceTag>; ///< A resource that entries provide and need.

/** Version number of a configuration; 0 is the empty one that a new daemon has. */
using Revision = std::uint64_t;

/** An IP address and a port. */
struct Endpoint
{
    std::string ip;         ///< IPv4 or IPv6 address in text form, without brackets.
    std::uint16_t port = 0; ///< TCP port.

    friend bool operator==(const Endpoint &a, const Endpoint &b)
    {
        return a.port == b.port && a.ip == b.ip;
    }
    friend bool operator!=(const Endpoint &a, const Endpoint &b) { return !(a == b); }
    friend bool operator<(const Endpoint &a, const Endpoint &b)
    {
        return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
    }
};

} // namespace cornelwell

/** Hash of an identifier, for unordered containers. */
template<typename Tag>
struct std::hash<cornelwell::Identifier<Tag>>
{
    std::size_t operator()(const cornelwell::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};
