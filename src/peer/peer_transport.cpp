/** @file peer_transport.cpp Links by websocketpp on Boost.Asio. */
#include "peer/peer_transport.h"

#include "base/endpoint_func.h"
#include "base/result_code_func.h"
#include "peer/upgrade_response.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>

namespace cornelwell {

namespace {

namespace ws = websocketpp;

constexpr long CONNECT_TIMEOUT_MS = 1000;   ///< Longest wait for a TCP connection.
constexpr long HANDSHAKE_TIMEOUT_MS = 2000; ///< Longest wait for the WebSocket handshake.
constexpr int LISTEN_BACKLOG = 1024;        ///< Links that wait for accept.
constexpr std::size_t FRAME_BYTES_SMALL
    = 4; ///< Frame header of a short message, with its mask halved.
constexpr std::size_t FRAME_BYTES_LARGE = 10;             ///< Frame header of a long message.
constexpr std::size_t FRAME_SMALL_MAX = 125;              ///< Longest short message.
constexpr std::size_t SEND_BUFFER_MAX = 16 * 1024 * 1024; ///< A peer that lags by more is cut off.

// The library asks for the names of the members.
struct ServerConfig : ws::config::asio
{
    // NOLINTNEXTLINE(readability-identifier-naming)
    struct transport_config : ws::config::asio::transport_config
    {
        static const long timeout_open_handshake = HANDSHAKE_TIMEOUT_MS;
    };
    typedef ws::transport::asio::endpoint<transport_config> transport_type;
    static const long timeout_open_handshake = HANDSHAKE_TIMEOUT_MS;
};

struct ClientConfig : ws::config::asio_client
{
    typedef UpgradeResponse response_type;
    // NOLINTNEXTLINE(readability-identifier-naming)
    struct transport_config : ws::config::asio_client::transport_config
    {
        static const long timeout_connect = CONNECT_TIMEOUT_MS;
        static const long timeout_dns_resolve = CONNECT_TIMEOUT_MS;
    };
    typedef ws::transport::asio::endpoint<transport_config> transport_type;
    static const long timeout_open_handshake = HANDSHAKE_TIMEOUT_MS;
};

using Server = ws::server<ServerConfig>;
using Client = ws::client<ClientConfig>;
using Handle = ws::connection_hdl;

std::size_t frameBytes(std::size_t payload)
{
    return payload <= FRAME_SMALL_MAX ? FRAME_BYTES_SMALL : FRAME_BYTES_LARGE;
}

bool sameHandle(const Handle &a, const Handle &b)
{
    return !a.owner_before(b) && !b.owner_before(a);
}

} // namespace

/** The two websocketpp endpoints and the table of links. */
class PeerTransport::Impl
{
public:
    Impl(boost::asio::io_context &context, PeerTransportOptions options, const Clock &clock,
         PeerEvents &events)
        : m_options(options), m_clock(clock), m_events(events)
    {
        prepare(m_server, context);
        prepare(m_client, context);
        m_server.set_reuse_addr(true);
        m_server.set_listen_backlog(LISTEN_BACKLOG);
        m_server.set_validate_handler([this](Handle handle) {
            return m_accepted < m_options.linksMax && !isCut(remoteAddress(m_server, handle));
        });
        m_server.set_open_handler([this](Handle handle) { opened(handle, std::nullopt); });
    }

    Result<void> listen(const Endpoint &endpoint)
    {
        boost::system::error_code addressError;
        const auto address = boost::asio::ip::make_address(endpoint.ip, addressError);
        if (addressError)
            return fail(ResultCode::AddressInvalid, addressError.message(), endpoint.ip);
        ws::lib::error_code error;
        m_server.listen(boost::asio::ip::tcp::endpoint(address, endpoint.port), error);
        if (!error)
            m_server.start_accept(error);
        if (error)
            return fail(ResultCode::ListenFailed, error.message(), formatEndpoint(endpoint));
        return success();
    }

    void open(const Endpoint &endpoint)
    {
        if (isCut(endpoint.ip)) {
            m_events.onLinkFailed(endpoint, false);
            return;
        }
        ws::lib::error_code error;
        const Client::connection_ptr connection
            = m_client.get_connection("ws://" + formatEndpoint(endpoint) + "/peer", error);
        if (error) {
            m_events.onLinkFailed(endpoint, false);
            return;
        }
        connection->set_open_handler([this, endpoint](Handle handle) { opened(handle, endpoint); });
        connection->set_fail_handler([this, endpoint](Handle handle) { failed(handle, endpoint); });
        m_client.connect(connection);
    }

    void send(std::uint64_t id, const std::string &bytes)
    {
        const auto at = m_links.find(id);
        if (at == m_links.end())
            return;
        if (isCut(at->second.address))
            return;
        m_traffic.bytesSent += bytes.size() + frameBytes(bytes.size());
        m_traffic.messagesSent++;
        ws::lib::error_code error;
        std::size_t waiting = 0;
        if (at->second.mine) {
            const auto connection = m_client.get_con_from_hdl(at->second.handle, error);
            if (!error)
                error = connection->send(bytes, ws::frame::opcode::binary);
            waiting = error ? 0 : connection->get_buffered_amount();
        } else {
            const auto connection = m_server.get_con_from_hdl(at->second.handle, error);
            if (!error)
                error = connection->send(bytes, ws::frame::opcode::binary);
            waiting = error ? 0 : connection->get_buffered_amount();
        }
        if (waiting > SEND_BUFFER_MAX)
            cut(id, ResultCode::PeerSilent);
    }

    void close(std::uint64_t id, ResultCode code)
    {
        const auto at = m_links.find(id);
        if (at == m_links.end())
            return;
        const Link link = at->second;
        erase(at);
        closeHandle(link, code);
    }

    void shutdown()
    {
        m_stopping = true;
        ws::lib::error_code error;
        if (m_server.is_listening())
            m_server.stop_listening(error);
        while (!m_links.empty())
            close(m_links.begin()->first, ResultCode::PeerClosed);
    }

    const PeerTraffic &traffic() const { return m_traffic; }

private:
    /** One open link. */
    struct Link
    {
        Handle handle;         ///< Connection of one of the two endpoints.
        std::string address;   ///< IP number of the other side.
        bool mine = false;     ///< True when this side opened it.
        TimePoint second{0};   ///< Start of the current second of the rate bound.
        unsigned messages = 0; ///< Messages in the current second.
    };

    template<typename EndpointType>
    void prepare(EndpointType &endpoint, boost::asio::io_context &context)
    {
        endpoint.clear_access_channels(ws::log::alevel::all);
        endpoint.clear_error_channels(ws::log::elevel::all);
        endpoint.init_asio(&context);
        endpoint.set_max_message_size(m_options.messageBytesMax);
        endpoint.set_message_handler(
            [this](Handle handle, const typename EndpointType::message_ptr &message) {
                received(handle, message->get_payload());
            });
        endpoint.set_close_handler([this](Handle handle) { closed(handle); });
    }

    bool isCut(const std::string &address) const
    {
        return m_options.cuts != nullptr && m_options.cuts->isCut(address);
    }

    template<typename EndpointType>
    std::string remoteAddress(EndpointType &endpoint, const Handle &handle) const
    {
        ws::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error)
            return {};
        boost::system::error_code closed;
        const auto remote = connection->get_raw_socket().remote_endpoint(closed);
        return closed ? std::string() : remote.address().to_string();
    }

    std::map<std::uint64_t, Link>::iterator findLink(const Handle &handle)
    {
        for (auto at = m_links.begin(); at != m_links.end(); ++at) {
            if (sameHandle(at->second.handle, handle))
                return at;
        }
        return m_links.end();
    }

    void erase(std::map<std::uint64_t, Link>::iterator at)
    {
        if (!at->second.mine)
            m_accepted--;
        m_links.erase(at);
    }

    void opened(const Handle &handle, const std::optional<Endpoint> &target)
    {
        if (m_stopping)
            return;
        const std::uint64_t id = m_nextLink++;
        Link link;
        link.handle = handle;
        link.mine = target.has_value();
        link.address = target ? target->ip : remoteAddress(m_server, handle);
        m_links[id] = link;
        m_accepted += link.mine ? 0 : 1;
        m_events.onLinkOpened(id, target);
    }

    void failed(const Handle &handle, const Endpoint &endpoint)
    {
        ws::lib::error_code error;
        const auto connection = m_client.get_con_from_hdl(handle, error);
        const bool refused
            = !error && connection->get_transport_ec() == boost::asio::error::connection_refused;
        if (!m_stopping)
            m_events.onLinkFailed(endpoint, refused);
    }

    void closed(const Handle &handle)
    {
        const auto at = findLink(handle);
        if (at == m_links.end())
            return;
        const std::uint64_t id = at->first;
        const ResultCode code = closeCode(at->second);
        erase(at);
        m_events.onLinkClosed(id, code);
    }

    /** Tells a message over the limit and an orderly end from a break. */
    ResultCode closeCode(const Link &link)
    {
        ws::lib::error_code error;
        if (link.mine) {
            const auto connection = m_client.get_con_from_hdl(link.handle, error);
            return error ? ResultCode::PeerClosed
                         : codeOf(connection->get_local_close_code(),
                                  connection->get_remote_close_code());
        }
        const auto connection = m_server.get_con_from_hdl(link.handle, error);
        return error ? ResultCode::PeerClosed
                     : codeOf(connection->get_local_close_code(),
                              connection->get_remote_close_code());
    }

    static ResultCode codeOf(ws::close::status::value local, ws::close::status::value remote)
    {
        if (local == ws::close::status::message_too_big)
            return ResultCode::PeerTooLarge;
        return remote == ws::close::status::normal ? ResultCode::Ok : ResultCode::PeerClosed;
    }

    void received(const Handle &handle, const std::string &bytes)
    {
        const auto at = findLink(handle);
        if (at == m_links.end())
            return;
        const std::uint64_t id = at->first;
        Link &link = at->second;
        if (isCut(link.address))
            return;
        m_traffic.bytesReceived += bytes.size() + frameBytes(bytes.size());
        m_traffic.messagesReceived++;
        const TimePoint now = m_clock.now();
        if (now - link.second >= seconds(1)) {
            link.second = now;
            link.messages = 0;
        }
        if (++link.messages > m_options.messagesPerSecondMax) {
            cut(id, ResultCode::PeerTooFast);
            return;
        }
        m_events.onLinkMessage(id, bytes);
    }

    /** Closes a link that broke a bound, and reports it. */
    void cut(std::uint64_t id, ResultCode code)
    {
        close(id, code);
        m_events.onLinkClosed(id, code);
    }

    void closeHandle(const Link &link, ResultCode code)
    {
        ws::lib::error_code error;
        const auto status = code == ResultCode::Ok ? ws::close::status::normal
                                                   : ws::close::status::policy_violation;
        const std::string reason = resultCodeInfo(code).name;
        if (link.mine)
            m_client.close(link.handle, status, reason, error);
        else
            m_server.close(link.handle, status, reason, error);
    }

    const PeerTransportOptions m_options;
    const Clock &m_clock;
    PeerEvents &m_events;
    Server m_server;
    Client m_client;
    std::map<std::uint64_t, Link> m_links;
    std::uint64_t m_nextLink = 1;
    unsigned m_accepted = 0;
    bool m_stopping = false;
    PeerTraffic m_traffic;
};

PeerTransport::PeerTransport(boost::asio::io_context &context, PeerTransportOptions options,
                             const Clock &clock, PeerEvents &events)
    : m_impl(std::make_unique<Impl>(context, options, clock, events))
{}

PeerTransport::~PeerTransport() = default;

Result<void> PeerTransport::listen(const Endpoint &endpoint)
{
    return m_impl->listen(endpoint);
}

void PeerTransport::open(const Endpoint &endpoint)
{
    m_impl->open(endpoint);
}

void PeerTransport::send(std::uint64_t link, const std::string &bytes)
{
    m_impl->send(link, bytes);
}

void PeerTransport::close(std::uint64_t link, ResultCode code)
{
    m_impl->close(link, code);
}

void PeerTransport::shutdown()
{
    m_impl->shutdown();
}

const PeerTraffic &PeerTransport::traffic() const
{
    return m_impl->traffic();
}

} // namespace cornelwell
