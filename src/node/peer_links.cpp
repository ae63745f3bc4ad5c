/** @file peer_links.cpp Links over TCP. The daemon that opens a link sends calls on it, the other
 * one its state and results. */
#include "node/peer_links.h"

#include "base/hash_func.h"

#include <algorithm>
#include <functional>

namespace cornelwell {

namespace {

/** The link of a peer that reads too slowly is closed. */
constexpr std::size_t MAX_UNSENT_BYTES = 16UL * 1024 * 1024;
constexpr std::size_t MAX_PENDING_INBOUND_LINKS = 256; ///< Further connections are closed.

} // namespace

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
        m_connection->write(encodeLinkMessage(hello));
    }

    void received(std::string_view bytes) override
    {
        const auto self = shared_from_this();
        lastReceivedAt = m_links.m_loop.now();
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
        m_reader.feed(bytes);
        while (m_connection->isOpen() && m_reader.ready()) {
            Result<LinkMessage> message = m_reader.next();
            if (!message || !handleMessage(std::move(message.value()))) {
                close();
                return;
            }
        }
    }

    void disconnected(DisconnectReason) override { m_links.inboundLinkClosed(*this); }

    void send(const std::string &bytes)
    {
        if (m_connection->unsentBytes() > MAX_UNSENT_BYTES) {
            close();
            return;
        }
        lastSentAt = m_links.m_loop.now();
        m_links.m_bulk.recordSent(bytes.size());
        m_connection->write(bytes);
    }

    /** Sends the body of a result in parts, when the VM's link has room for them. */
    void sendBody(OfferId offer, std::string body)
    {
        stopBody(offer);
        const std::size_t size = body.size();
        m_bodies[offer]
            = m_links.m_bulk.add(size, [weak = weak_from_this(), offer,
                                        text = std::make_shared<std::string>(std::move(body)),
                                        at = std::make_shared<std::size_t>(0)](std::size_t bytes) {
                  const auto link = weak.lock();
                  if (!link || !link->m_connection->isOpen())
                      return BulkProgress::Ended;
                  if (link->m_connection->unsentBytes() > BULK_UNSENT_BYTES_MAX)
                      return BulkProgress::Blocked;
                  link->m_connection->write(
                      encodeLinkMessage(LinkBodyPart{offer, text->substr(*at, bytes)}));
                  *at += bytes;
                  if (*at == text->size())
                      link->m_bodies.erase(offer);
                  return BulkProgress::Sent;
              });
    }

    /** Drops the rest of a body. */
    void stopBody(OfferId offer)
    {
        const auto found = m_bodies.find(offer);
        if (found == m_bodies.end())
            return;
        m_links.m_bulk.remove(found->second);
        m_bodies.erase(found);
    }

    /** Closes the link; unread bytes are discarded. */
    void close()
    {
        if (!m_connection->isOpen())
            return;
        m_connection->close();
        m_links.inboundLinkClosed(*this);
    }

    DaemonRecord peer;       ///< Set when the hello arrives.
    TimePoint lastSentAt{0}; ///< When the last message was sent; each carries the load.

private:
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
            m_links.replaceInboundLink(*this);
            m_links.m_retries.erase(peer.name);
            m_links.m_listener.peerAnnounced(peer);
            LinkDaemonState state = m_links.m_listener.linkState();
            if (const Peer *known = m_links.m_table.find(peer.name))
                state.deregisteredInstance = known->deregisteredInstance;
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
    std::map<OfferId, OutputFlowId> m_bodies; ///< Bodies that are being sent.
};

PeerLinks::PeerLinks(EventLoop &loop, PeerTable &table, PeerLinksListener &listener,
                     PeerLinkOptions options, BulkWriter &bulk)
    : m_loop(loop), m_table(table), m_listener(listener), m_options(options), m_bulk(bulk)
{}

PeerLinks::~PeerLinks() = default;

Result<void> PeerLinks::listen()
{
    BOOST_OUTCOME_TRY(socket,
                      TcpListener::listen(
                          m_loop, m_table.self().linkEndpoint, [this](TcpConnectionPtr connection) {
                              if (m_pendingInboundLinks.size() >= MAX_PENDING_INBOUND_LINKS) {
                                  connection->close();
                                  return;
                              }
                              const auto link
                                  = std::make_shared<InboundLink>(*this, std::move(connection));
                              m_pendingInboundLinks.insert(link);
                              link->start();
                          }));
    m_listenerSocket = std::move(socket);
    return success();
}

/** @return all daemons of a small fleet; in a large one, for each service a limited number of
 * daemons of this and of the other data centres. Rendezvous hashing makes the daemons choose
 * different ones. */
std::set<ServerId> PeerLinks::selectPeersToLink() const
{
    using Ranked = std::vector<std::pair<std::uint64_t, ServerId>>;
    std::map<std::pair<bool, ServiceName>, Ranked> groups;
    for (const auto &[name, peer] : m_table.peers()) {
        const bool sameDataCentre = peer.record.dataCentre == m_table.self().dataCentre;
        groups[{sameDataCentre, peer.record.service}].emplace_back(
            rendezvousWeight(name.text(), m_table.self().name.text()), name);
    }
    std::set<ServerId> names;
    for (auto &[group, ranked] : groups) {
        const std::size_t limit
            = group.first ? m_options.maxLinksPerService : m_options.maxRemoteLinksPerService;
        std::sort(ranked.begin(), ranked.end(), std::greater<>());
        for (std::size_t i = 0; i < std::min(limit, ranked.size()); i++)
            names.insert(ranked[i].second);
    }
    return names;
}

void PeerLinks::openMissingLinks(TimePoint now)
{
    for (const ServerId &name : selectPeersToLink()) {
        if (m_outboundLinks.count(name) != 0)
            continue;
        const auto retry = m_retries.find(name);
        if (retry != m_retries.end() && now < retry->second.nextAttempt)
            continue;
        const auto link = std::make_shared<OutboundLink>(*this, m_table.find(name)->record);
        m_outboundLinks.emplace(name, link);
        link->open();
    }
}

void PeerLinks::tick()
{
    const TimePoint now = m_loop.now();
    std::vector<std::shared_ptr<OutboundLink>> silent;
    for (const auto &[name, link] : m_outboundLinks) {
        const Duration timeout
            = link->isInSameDataCentre() ? m_options.silenceTimeout : m_options.silenceTimeout * 2;
        if (link->up && now - link->lastReceivedAt > timeout)
            silent.push_back(link);
    }
    for (const auto &link : silent)
        link->close();
    openMissingLinks(now);
    sendHeartbeats(now);
}

/** Sends the state on links without a recent message; results carry the load too. */
void PeerLinks::sendHeartbeats(TimePoint now)
{
    std::vector<std::shared_ptr<InboundLink>> due;
    for (const auto &[name, link] : m_inboundLinks) {
        const bool sameDataCentre = link->peer.dataCentre == m_table.self().dataCentre;
        if (now - link->lastSentAt
            >= (sameDataCentre ? m_options.heartbeatInterval : m_options.remoteHeartbeatInterval))
            due.push_back(link);
    }
    if (due.empty())
        return;
    const std::string bytes = encodeLinkMessage(m_listener.linkState());
    for (const auto &link : due)
        link->send(bytes);
}

void PeerLinks::announceState()
{
    const std::string bytes = encodeLinkMessage(m_listener.linkState());
    const auto all = m_inboundLinks;
    for (const auto &[name, link] : all)
        link->send(bytes);
}

void PeerLinks::announceState(const std::vector<ServerId> &peers)
{
    const std::string bytes = encodeLinkMessage(m_listener.linkState());
    for (const ServerId &peer : peers) {
        const auto found = m_inboundLinks.find(peer);
        if (found == m_inboundLinks.end())
            continue;
        const auto link = found->second;
        link->send(bytes);
    }
}

bool PeerLinks::sendBytes(const ServerId &peer, const std::string &bytes)
{
    const auto found = m_outboundLinks.find(peer);
    if (found == m_outboundLinks.end() || !found->second->up)
        return false;
    const auto link = found->second;
    link->send(bytes);
    return true;
}

bool PeerLinks::sendRequest(const ServerId &peer, const LinkMessage &message)
{
    if (const auto *cancel = std::get_if<LinkCancel>(&message)) {
        const auto found = m_outboundLinks.find(peer);
        if (found != m_outboundLinks.end())
            found->second->dropResult(cancel->offer);
    }
    return sendBytes(peer, encodeLinkMessage(message));
}

void PeerLinks::sendRequests(const std::vector<ServerId> &peers, const LinkMessage &message)
{
    const std::string bytes = encodeLinkMessage(message);
    for (const ServerId &peer : peers)
        sendBytes(peer, bytes);
}

bool PeerLinks::sendAnswer(const ServerId &peer, std::uint64_t incarnation,
                           const LinkMessage &message)
{
    const auto found = m_inboundLinks.find(peer);
    if (found == m_inboundLinks.end() || found->second->peer.incarnation != incarnation)
        return false;
    const auto link = found->second;
    link->send(encodeLinkMessage(message));
    return true;
}

bool PeerLinks::sendResult(const ServerId &peer, std::uint64_t incarnation, LinkResult result)
{
    std::string body;
    if (result.outcome.response.body.size() >= BULK_BYTES_MIN) {
        body = std::move(result.outcome.response.body);
        result.outcome.response.body.clear();
        result.bodyBytesToFollow = body.size();
    }
    const OfferId offer = result.offer;
    if (!sendAnswer(peer, incarnation, result))
        return false;
    if (!body.empty()) {
        const auto found = m_inboundLinks.find(peer);
        if (found == m_inboundLinks.end())
            return false;
        found->second->sendBody(offer, std::move(body));
    }
    return true;
}

void PeerLinks::stopResult(const ServerId &peer, OfferId offer)
{
    const auto found = m_inboundLinks.find(peer);
    if (found != m_inboundLinks.end())
        found->second->stopBody(offer);
}

void PeerLinks::sendToAll(const LinkMessage &message)
{
    const std::string bytes = encodeLinkMessage(message);
    const auto all = m_outboundLinks;
    for (const auto &[name, link] : all) {
        if (link->up)
            link->send(bytes);
    }
}

std::size_t PeerLinks::linksUp() const
{
    return static_cast<std::size_t>(
        std::count_if(m_outboundLinks.begin(), m_outboundLinks.end(),
                      [](const auto &item) { return item.second->up; }));
}

void PeerLinks::outboundLinkClosed(const ServerId &peer, bool wasUp)
{
    const auto found = m_outboundLinks.find(peer);
    if (found == m_outboundLinks.end())
        return;
    // This may run inside a callback of the connection, so the link is destroyed later.
    m_loop.after({0}, [link = found->second] {});
    m_outboundLinks.erase(found);
    Retry &retry = m_retries[peer];
    const TimePoint now = m_loop.now();
    if (retry.delay.ms == 0)
        retry.firstFailure = now;
    retry.delay
        = {std::clamp(retry.delay.ms * 2, m_options.retryDelayMin.ms, m_options.retryDelayMax.ms)};
    retry.nextAttempt
        = now
          + (now - retry.firstFailure > m_options.unreachableAfter ? m_options.unreachableRetryDelay
                                                                   : retry.delay);
    if (wasUp)
        m_listener.linkDown(peer);
}

/** A daemon has one inbound link: the earlier one is closed first, so that none of its messages is
 * handled later. */
void PeerLinks::replaceInboundLink(InboundLink &link)
{
    const auto self = link.shared_from_this();
    m_pendingInboundLinks.erase(self);
    const auto old = m_inboundLinks.find(link.peer.name);
    if (old != m_inboundLinks.end()) {
        const auto oldLink = old->second;
        oldLink->close();
    }
    m_inboundLinks[link.peer.name] = self;
}

void PeerLinks::inboundLinkClosed(InboundLink &link)
{
    const auto self = link.shared_from_this();
    m_loop.after({0}, [self] {});
    m_pendingInboundLinks.erase(self);
    const auto found = m_inboundLinks.find(link.peer.name);
    if (found == m_inboundLinks.end() || found->second != self)
        return;
    m_inboundLinks.erase(found);
    m_listener.senderLost(link.peer.name, link.peer.incarnation);
}

} // namespace cornelwell
