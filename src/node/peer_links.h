/** @file peer_links.h Links to other daemons: outbound for the calls of this daemon, inbound for
 * those of peers. */
#pragma once

#include "fleet/peer_table.h"
#include "link/link_codec.h"
#include "loop/tcp_connection.h"
#include "node/bulk_writer.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace cornelwell {

/** Receives the events of PeerLinks. */
class PeerLinksListener
{
public:
    virtual ~PeerLinksListener() = default;
    /** @return the state of this daemon to send to peers. */
    virtual LinkDaemonState linkState() const = 0;
    /** @return the version of the routes in force. */
    virtual Revision routesVersion() const = 0;
    /** The outbound link to a peer is up. @param restarted The peer restarted since its last link.
     */
    virtual void linkUp(const ServerId &peer, bool restarted) = 0;
    /** The outbound link to a peer is down. */
    virtual void linkDown(const ServerId &peer) = 0;
    /** The inbound link of a peer is down. */
    virtual void senderLost(const ServerId &peer, std::uint64_t incarnation) = 0;
    /** Another daemon has the address of the peer, so the peer does not exist any more. */
    virtual void peerReplaced(const ServerId &peer) = 0;
    /** A peer opened an inbound link and sent its record. */
    virtual void peerAnnounced(const DaemonRecord &record) = 0;
    /** A peer told what it knows of this daemon's server, before its first call on a link. */
    virtual void restrictionsTold(const ServerId &peer, const ServerRestrictions &restrictions) = 0;
    /** Handles a message of a peer on the outbound link. */
    virtual void handlePeerAnswer(const ServerId &peer, LinkMessage message) = 0;
    /** Handles a message of a peer on its inbound link. */
    virtual void handlePeerRequest(const DaemonRecord &peer, LinkMessage message) = 0;
    /** Bytes of any message arrived on a link. */
    virtual void linkInputReceived(std::size_t bytes) = 0;
};

/** Timeouts and limits of links. */
struct PeerLinkOptions
{
    Duration heartbeatInterval = {400}; ///< Time between states sent inside the data centre.
    /** The same to other data centres; longer, because that traffic is costly. */
    Duration remoteHeartbeatInterval = {1200};
    /** A link without a message for this long is closed; twice that to other data centres. */
    Duration silenceTimeout = {1700};
    Duration connectTimeout = {800}; ///< Longest wait for a connection to open.
    Duration retryDelayMin = {150};  ///< First delay before a link is opened again.
    Duration retryDelayMax = {1500}; ///< Longest such delay.
    /** A peer that cannot be reached for this long is tried rarely. */
    Duration unreachableAfter = {15000};
    Duration unreachableRetryDelay = {6000}; ///< Delay between these attempts.
    /** Outbound links to daemons of one service in this data centre. */
    std::size_t maxLinksPerService = 48;
    /** Outbound links to daemons of one service in all other data centres together. */
    std::size_t maxRemoteLinksPerService = 8;
};

/** Opens, monitors and closes the links to peers. */
class PeerLinks
{
public:
    PeerLinks(EventLoop &loop, PeerTable &table, PeerLinksListener &listener,
              PeerLinkOptions options, BulkWriter &bulk);
    ~PeerLinks();

    /** Starts accepting inbound links. @return nothing, or why it cannot listen. */
    Result<void> listen();
    /** Does the periodic work: opens missing links, closes silent ones, sends the state regularly.
     */
    void tick();
    /** Sends the state to all peers with an inbound link. */
    void announceState();
    /** Sends the state to those of @p peers with an inbound link. */
    void announceState(const std::vector<ServerId> &peers);
    /** Sends a message on the outbound link of a peer. @return false when the link is not up. */
    bool sendRequest(const ServerId &peer, const LinkMessage &message);
    /**
     * Sends the next bytes of a request's body on the outbound link of a peer.
     * @return Blocked when the link has too many unsent bytes, Ended when it is not up.
     */
    BulkProgress sendBodyPart(const ServerId &peer, OfferId offer, std::string_view bytes);
    /** Sends a message to several peers; those whose outbound link is not up are skipped. */
    void sendRequests(const std::vector<ServerId> &peers, const LinkMessage &message);
    /** Sends several messages at once on the outbound link of a peer, if it is up. */
    void sendRequests(const ServerId &peer, const std::vector<LinkMessage> &messages);
    /**
     * Sends a message on the inbound link of a peer.
     * @param peer The peer.
     * @param incarnation Incarnation that the message is for; a later one does not know the offers
     * of an earlier one.
     * @param message The message.
     * @return false when that incarnation has no inbound link.
     */
    bool sendAnswer(const ServerId &peer, std::uint64_t incarnation, const LinkMessage &message);
    /**
     * Sends a result on the inbound link of a peer; a large body follows in parts, so that it does
     * not delay other messages.
     * @param peer The peer.
     * @param incarnation Incarnation that the result is for, as in sendAnswer.
     * @param result The result.
     * @return false when that incarnation has no inbound link.
     */
    bool sendResult(const ServerId &peer, std::uint64_t incarnation, LinkResult result);
    /** Stops sending the body of a result that the peer does not want any more. */
    void stopResult(const ServerId &peer, OfferId offer);
    /** @return the peers with an inbound link that answer LinkDepartureRequest. */
    std::vector<ServerId> departureReaders() const;
    /** Asks a peer for the departures from this daemon's VM; its inbound link has to be open. */
    void askForDepartures(const ServerId &peer);
    /** @return true while a peer has not acknowledged all that was sent to it in answer. */
    bool hasUndeliveredAnswers() const;
    /** @return number of outbound links that are up. */
    std::size_t linksUp() const;

private:
    class OutboundLink;
    class InboundLink;

    bool sendBytes(const ServerId &peer, const std::string &bytes);
    void openMissingLinks(TimePoint now);
    void sendHeartbeats(TimePoint now);
    std::set<ServerId> selectPeersToLink() const;
    void outboundLinkClosed(const ServerId &peer, bool wasUp);
    void replaceInboundLink(InboundLink &link);
    void inboundLinkClosed(InboundLink &link);

    EventLoop &m_loop;
    PeerTable &m_table;
    PeerLinksListener &m_listener;
    const PeerLinkOptions m_options;
    BulkWriter &m_bulk;
    std::unique_ptr<TcpListener> m_listenerSocket;
    std::map<ServerId, std::shared_ptr<OutboundLink>> m_outboundLinks;
    std::map<ServerId, std::shared_ptr<InboundLink>> m_inboundLinks; ///< Links whose hello arrived.
    /** Links whose hello did not arrive yet. */
    std::set<std::shared_ptr<InboundLink>> m_pendingInboundLinks;
    std::map<ServerId, std::uint64_t> m_incarnations; ///< As last reported by the peers.
    /** When the link to a peer is opened again after it failed. */
    struct Retry
    {
        Duration delay{0};         ///< Current delay; it doubles with each failure.
        TimePoint nextAttempt{0};  ///< When the link is opened again.
        TimePoint firstFailure{0}; ///< First failure since the link was up.
    };
    std::map<ServerId, Retry> m_retries;
};

} // namespace cornelwell
