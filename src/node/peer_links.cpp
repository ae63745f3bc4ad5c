/** @file peer_links.cpp Links over TCP. The daemon that opens a link sends calls on it, the other
 * one its state and results. */
#include "node/peer_links.h"

#include "node/peer_links_internal.h"

#include "base/hash_func.h"

#include <algorithm>
#include <functional>

namespace cornelwell {

namespace {

constexpr std::size_t MAX_PENDING_INBOUND_LINKS = 256; ///< Further connections are closed.

} // namespace

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

BulkProgress PeerLinks::sendBodyPart(const ServerId &peer, OfferId offer, std::string_view bytes)
{
    const auto found = m_outboundLinks.find(peer);
    if (found == m_outboundLinks.end() || !found->second->up)
        return BulkProgress::Ended;
    const auto link = found->second;
    return link->sendBodyPart(offer, bytes);
}

void PeerLinks::sendRequests(const std::vector<ServerId> &peers, const LinkMessage &message)
{
    const std::string bytes = encodeLinkMessage(message);
    for (const ServerId &peer : peers)
        sendBytes(peer, bytes);
}

void PeerLinks::sendRequests(const ServerId &peer, const std::vector<LinkMessage> &messages)
{
    std::string bytes;
    for (const LinkMessage &message : messages)
        bytes += encodeLinkMessage(message);
    if (!bytes.empty())
        sendBytes(peer, bytes);
}

bool PeerLinks::sendAnswer(const ServerId &peer, std::uint64_t incarnation,
                           const LinkMessage &message)
{
    const auto found = m_inboundLinks.find(peer);
    if (found == m_inboundLinks.end() || found->second->peer.incarnation != incarnation)
        return false;
    const auto link = found->second;
    // An answer to a ping has no load; if it replaced the states, regular pings would stop them.
    link->send(encodeLinkMessage(message), !std::holds_alternative<LinkPong>(message));
    return true;
}

bool PeerLinks::sendResult(const ServerId &peer, std::uint64_t incarnation, LinkResult result)
{
    const auto found = m_inboundLinks.find(peer);
    if (found == m_inboundLinks.end())
        return false;
    const auto link = found->second;
    if (!link->acceptsBodyParts || result.outcome.response.body.size() < BULK_BYTES_MIN)
        return sendAnswer(peer, incarnation, result);
    std::string body = std::move(result.outcome.response.body);
    result.outcome.response.body.clear();
    result.bodyBytesToFollow = body.size();
    const OfferId offer = result.offer;
    if (!sendAnswer(peer, incarnation, result))
        return false;
    link->sendBody(offer, std::move(body));
    return true;
}

void PeerLinks::stopResult(const ServerId &peer, OfferId offer)
{
    const auto found = m_inboundLinks.find(peer);
    if (found != m_inboundLinks.end())
        found->second->stopBody(offer);
}

std::vector<ServerId> PeerLinks::departureReaders() const
{
    std::vector<ServerId> peers;
    for (const auto &[name, link] : m_inboundLinks) {
        if (link->readsDepartures)
            peers.push_back(name);
    }
    return peers;
}

void PeerLinks::askForDepartures(const ServerId &peer)
{
    const auto found = m_inboundLinks.find(peer);
    if (found == m_inboundLinks.end())
        return;
    const auto link = found->second;
    link->send(encodeLinkMessage(LinkDepartureRequest{}), false);
}

bool PeerLinks::hasUndeliveredAnswers() const
{
    return std::any_of(m_inboundLinks.begin(), m_inboundLinks.end(),
                       [](const auto &item) { return item.second->undeliveredBytes() > 0; });
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
