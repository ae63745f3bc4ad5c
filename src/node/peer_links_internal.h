/** @file peer_links_internal.h One link to a peer, for each direction; private to PeerLinks. */
#pragma once

#include "link/withdrawn_calls_func.h"
#include "node/peer_links.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornelwell {

/** The link of a peer that reads too slowly is closed. */
constexpr std::size_t MAX_UNSENT_BYTES = 16UL * 1024 * 1024;

/** A link that this daemon opened. */
class PeerLinks::OutboundLink : public ConnectionHandler,
                                public std::enable_shared_from_this<PeerLinks::OutboundLink>
{
public:
    OutboundLink(PeerLinks &links, DaemonRecord record)
        : m_links(links), m_record(std::move(record))
    {}

    void open()
    {
        lastReceivedAt = m_links.m_loop.now();
        m_connection = TcpConnection::open(m_links.m_loop, m_record.linkEndpoint,
                                           m_links.m_options.connectTimeout, *this);
    }

    void connected() override
    {
        LinkHello hello;
        hello.sender = m_links.m_table.self();
        hello.version = m_links.m_listener.routesVersion();
        hello.recipient = m_record.name;
        if (const Peer *known = m_links.m_table.find(m_record.name))
            hello.restrictions = known->restrictions;
        m_connection->write(encodeLinkMessage(hello));
    }

    void received(std::string_view bytes) override
    {
        const auto self = shared_from_this();
        lastReceivedAt = m_links.m_loop.now();
        m_links.m_listener.linkInputReceived(bytes.size());
        m_reader.feed(bytes);
        while (m_connection->isOpen() && m_reader.ready()) {
            Result<LinkMessage> message = m_reader.next();
            if (!message) {
                close();
                return;
            }
            handleMessage(std::move(message.value()));
        }
    }

    void disconnected(DisconnectReason) override { m_links.outboundLinkClosed(m_record.name, up); }

    /** Drops a result whose body is not complete. */
    void dropResult(OfferId offer) { m_partialResults.erase(offer); }

    void send(const std::string &bytes)
    {
        if (m_connection->unsentBytes() > MAX_UNSENT_BYTES) {
            close();
            return;
        }
        m_links.m_bulk.recordSent(bytes.size());
        m_connection->write(bytes);
    }

    /** Sends bytes of a request's body that BulkWriter has permitted. */
    BulkProgress sendBodyPart(OfferId offer, std::string_view bytes)
    {
        if (!m_connection->isOpen())
            return BulkProgress::Ended;
        if (m_connection->unsentBytes() > BULK_UNSENT_BYTES_MAX)
            return BulkProgress::Blocked;
        m_connection->write(encodeLinkMessage(LinkBodyPart{offer, std::string(bytes)}));
        return BulkProgress::Sent;
    }

    void close()
    {
        if (!m_connection->isOpen())
            return;
        m_connection->close();
        m_links.outboundLinkClosed(m_record.name, up);
    }

    bool isInSameDataCentre() const
    {
        return m_record.dataCentre == m_links.m_table.self().dataCentre;
    }

    bool up = false;
    TimePoint lastReceivedAt{0};

private:
    void handleMessage(LinkMessage message)
    {
        const auto *state = std::get_if<LinkDaemonState>(&message);
        if (state == nullptr && !up) {
            close();
            return;
        }
        if (state != nullptr && !up) {
            if (state->name != m_record.name) {
                const ServerId replaced = m_record.name;
                close();
                m_links.m_listener.peerReplaced(replaced);
                return;
            }
            up = true;
            std::uint64_t &known = m_links.m_incarnations[m_record.name];
            const bool restarted = known != 0 && known != state->incarnation;
            known = state->incarnation;
            m_links.m_retries.erase(m_record.name);
            m_links.m_listener.handlePeerAnswer(m_record.name, message);
            m_links.m_listener.linkUp(m_record.name, restarted);
            return;
        }
        if (auto *result = std::get_if<LinkResult>(&message)) {
            if (result->bodyBytesToFollow > 0) {
                const OfferId offer = result->offer;
                m_partialResults[offer] = std::move(*result);
                return;
            }
        } else if (const auto *part = std::get_if<LinkBodyPart>(&message)) {
            addBodyPart(*part);
            return;
        }
        m_links.m_listener.handlePeerAnswer(m_record.name, std::move(message));
    }

    /** Adds a part to its result, which is handled when its body is complete. */
    void addBodyPart(const LinkBodyPart &part)
    {
        const auto found = m_partialResults.find(part.offer);
        if (found == m_partialResults.end())
            return;
        LinkResult &result = found->second;
        if (part.bytes.empty() || part.bytes.size() > result.bodyBytesToFollow) {
            close();
            return;
        }
        result.outcome.response.body += part.bytes;
        result.bodyBytesToFollow -= part.bytes.size();
        if (result.bodyBytesToFollow > 0)
            return;
        LinkResult complete = std::move(result);
        m_partialResults.erase(found);
        m_links.m_listener.handlePeerAnswer(m_record.name, std::move(complete));
    }

    PeerLinks &m_links;
    DaemonRecord m_record;
    TcpConnectionPtr m_connection;
    LinkReader m_reader;
    std::map<OfferId, LinkResult> m_partialResults; ///< Results whose body is not complete.
};

/** A link that a peer opened. */
class PeerLinks::InboundLink : public ConnectionHandler,
                               public std::enable_shared_from_this<PeerLinks::InboundLink>
{
public:
    InboundLink(PeerLinks &links, TcpConnectionPtr connection)
        : m_links(links), m_connection(std::move(connection))
    {}

    void start() { m_connection->start(*this); }

    void received(std::string_view bytes) override
    {
        const auto self = shared_from_this();
        m_links.m_listener.linkInputReceived(bytes.size());
        m_reader.feed(bytes);
        std::vector<LinkMessage> messages;
        bool malformed = false;
        while (!malformed && m_reader.ready()) {
            Result<LinkMessage> message = m_reader.next();
            malformed = !message;
            if (message)
                messages.push_back(std::move(message.value()));
        }
        dropWithdrawnCalls(messages);
        for (LinkMessage &message : messages) {
            if (!m_connection->isOpen())
                return;
            if (!handleMessage(std::move(message))) {
                close();
                return;
            }
        }
        if (malformed)
            close();
    }

    void disconnected(DisconnectReason) override { m_links.inboundLinkClosed(*this); }

    /** @param replacesState A message after which the next regular state may come later. */
    void send(const std::string &bytes, bool replacesState = true)
    {
        if (m_connection->unsentBytes() > MAX_UNSENT_BYTES) {
            close();
            return;
        }
        if (replacesState)
            lastSentAt = m_links.m_loop.now();
        m_links.m_bulk.recordSent(bytes.size());
        m_connection->write(bytes);
    }

    /** Sends the body of a result in parts, when the VM's link has room for them. */
    void sendBody(OfferId offer, std::string body)
    {
        stopBody(offer);
        const std::size_t size = body.size();
        OutgoingBody &outgoing = m_bodies[offer];
        outgoing.bytes = std::move(body);
        outgoing.flow
            = m_links.m_bulk.add(size, [weak = weak_from_this(), offer](std::size_t bytes) {
                  const auto link = weak.lock();
                  return link ? link->sendBodyPart(offer, bytes) : BulkProgress::Ended;
              });
    }

    /** Drops the rest of a body. */
    void stopBody(OfferId offer)
    {
        const auto found = m_bodies.find(offer);
        if (found == m_bodies.end())
            return;
        m_links.m_bulk.remove(found->second.flow);
        m_bodies.erase(found);
    }

    /** @return number of sent bytes that the peer has not acknowledged. */
    std::size_t undeliveredBytes() const
    {
        return m_connection->unsentBytes() + m_connection->unacknowledgedBytes();
    }

    /** Closes the link; unread bytes are discarded. */
    void close()
    {
        if (!m_connection->isOpen())
            return;
        m_connection->close();
        m_links.inboundLinkClosed(*this);
    }

    DaemonRecord peer;             ///< Set when the hello arrives.
    bool acceptsBodyParts = false; ///< The peer reads LinkBodyPart.
    bool readsDepartures = false;  ///< The peer answers LinkDepartureRequest.
    TimePoint lastSentAt{0};       ///< When the last message was sent; each carries the load.

private:
    /** A body that leaves in parts. */
    struct OutgoingBody
    {
        OutputFlowId flow = 0;
        std::string bytes;
        std::size_t sent = 0; ///< Bytes that have left.
    };

    BulkProgress sendBodyPart(OfferId offer, std::size_t bytes)
    {
        const auto found = m_bodies.find(offer);
        if (found == m_bodies.end() || !m_connection->isOpen())
            return BulkProgress::Ended;
        if (m_connection->unsentBytes() > BULK_UNSENT_BYTES_MAX)
            return BulkProgress::Blocked;
        OutgoingBody &body = found->second;
        m_connection->write(
            encodeLinkMessage(LinkBodyPart{offer, body.bytes.substr(body.sent, bytes)}));
        body.sent += bytes;
        if (body.sent == body.bytes.size())
            m_bodies.erase(found);
        return BulkProgress::Sent;
    }

    bool handleMessage(LinkMessage message)
    {
        if (const auto *hello = std::get_if<LinkHello>(&message)) {
            if (!peer.name.empty() || hello->format != LINK_FORMAT)
                return false;
            if (hello->recipient != m_links.m_table.self().name) {
                // The state shows the opener which daemon it reached. Its correct link here, if
                // any, stays.
                send(encodeLinkMessage(m_links.m_listener.linkState()));
                return true;
            }
            peer = hello->sender;
            acceptsBodyParts = hello->acceptsBodyParts;
            readsDepartures = hello->readsDepartures;
            m_links.replaceInboundLink(*this);
            m_links.m_retries.erase(peer.name);
            m_links.m_listener.peerAnnounced(peer);
            m_links.m_listener.restrictionsTold(peer.name, hello->restrictions);
            LinkDaemonState state = m_links.m_listener.linkState();
            if (const Peer *known = m_links.m_table.find(peer.name))
                state.restrictions = known->restrictions;
            send(encodeLinkMessage(state));
            return true;
        }
        if (peer.name.empty())
            return false;
        m_links.m_listener.handlePeerRequest(peer, std::move(message));
        return true;
    }

    PeerLinks &m_links;
    TcpConnectionPtr m_connection;
    LinkReader m_reader;
    std::map<OfferId, OutgoingBody> m_bodies; ///< Bodies that are being sent.
};

} // namespace cornelwell
