/** @file peer_links.h Links to other daemons: opened for own calls, accepted for theirs. */
#pragma once

#include "fleet/peer_table.h"
#include "link/link_codec.h"
#include "loop/tcp_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace cornelwell {

/** What links tell. */
class PeerLinksListener
{
public:
    virtual ~PeerLinksListener() = default;
    /** @return the state that peers are told. */
    virtual LinkDaemonState linkState() const = 0;
    /** @return the version in force. */
    virtual Revision routesVersion() const = 0;
    /** The link that this daemon opened is up. @param restarted The peer has started anew. */
    virtual void linkUp(const ServerId &peer, bool restarted) = 0;
    /** That link is down. */
    virtual void linkDown(const ServerId &peer) = 0;
    /** A link that a peer opened is down. */
    virtual void senderLost(const ServerId &peer, std::uint64_t incarnation) = 0;
    /** Another daemon has the peer's address: it is gone. */
    virtual void peerGone(const ServerId &peer) = 0;
    /** A peer announced itself. */
    virtual void peerAnnounced(const DaemonRecord &record) = 0;
    /** A message of a peer, on the link that this daemon opened. */
    virtual void answerReceived(const ServerId &peer, LinkMessage message) = 0;
    /** A message of a peer, on a link that the peer opened. */
    virtual void requestReceived(const DaemonRecord &peer, LinkMessage message) = 0;
};

/** Timeouts of links. */
struct PeerLinkOptions
{
    Duration heartbeat = {400};     ///< Pause between states told inside the data centre.
    Duration farHeartbeat = {1200}; ///< The same to other data centres, where bytes cost.
    Duration silence
        = {1700}; ///< A link silent for this long is closed; twice that to other data centres.
    Duration connect = {800};     ///< Longest wait for a link to open.
    Duration retryMin = {150};    ///< First pause before a peer is tried again.
    Duration retryMax = {1500};   ///< Longest pause.
    Duration goneAfter = {15000}; ///< A peer out of reach for this long is tried rarely.
    Duration goneRetry = {6000};  ///< Pause between these tries.
    std::size_t nearMax = 48; ///< Links opened to daemons of one service in the own data centre,
    std::size_t farMax = 8;   ///< and in all others.
};

/** Opens, keeps and closes links. */
class PeerLinks
{
public:
    PeerLinks(EventLoop &loop, PeerTable &table, PeerLinksListener &listener,
              PeerLinkOptions options);
    ~PeerLinks();

    /** Accepts links. */
    Result<void> listen();
    /** Opens links that are wanted, closes silent ones and tells the state; called often. */
    void tick();
    /** Tells the state to all peers at once. */
    void tellState();
    /** Tells it to some. */
    void tellState(const std::vector<ServerId> &peers);
    /** Sends on the link that this daemon opened. @return false when it is not up. */
    bool sendRequest(const ServerId &peer, const LinkMessage &message);
    /** The same to several peers; those whose link is not up are left out. */
    void sendRequests(const std::vector<ServerId> &peers, const LinkMessage &message);
    /**
     * Sends on the link that the peer opened.
     * @param peer The peer.
     * @param incarnation Start of the peer that is meant: offers of an earlier start are not known
     * to it.
     * @param message The message.
     * @return false when there is no such link.
     */
    bool sendAnswer(const ServerId &peer, std::uint64_t incarnation, const LinkMessage &message);
    /** Sends on all links that this daemon opened. */
    void sendToAll(const LinkMessage &message);
    /** @return links that this daemon opened and that are up. */
    std::size_t linksUp() const;

private:
    class Opened;
    class Accepted;

    bool sendBytes(const ServerId &peer, const std::string &bytes);
    void openWanted(TimePoint now);
    void heartbeats(TimePoint now);
    std::set<ServerId> wanted() const;
    void closed(const ServerId &peer, bool wasUp);
    void replaceSender(Accepted &accepted);
    void acceptedEnded(Accepted &accepted);

    EventLoop &m_loop;
    PeerTable &m_table;
    PeerLinksListener &m_listener;
    const PeerLinkOptions m_options;
    std::unique_ptr<TcpListener> m_listenerSocket;
    std::map<ServerId, std::shared_ptr<Opened>> m_opened;
    std::map<ServerId, std::shared_ptr<Accepted>> m_accepted; ///< Those that said hello.
    std::set<std::shared_ptr<Accepted>> m_nameless;           ///< Those that did not yet.
    std::map<ServerId, std::uint64_t> m_incarnations;         ///< As last told by peers.
    /** When a peer that failed is tried again. */
    struct Retry
    {
        Duration pause{0};
        TimePoint at{0};
        TimePoint since{0};
    };
    std::map<ServerId, Retry> m_retries;
};

} // namespace cornelwell
