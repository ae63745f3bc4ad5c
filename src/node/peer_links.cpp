/** @file peer_links.cpp Links by TCP; the opener sends calls, the accepter tells its state. */
#include "node/peer_links.h"

#include "base/hash_func.h"

#include <algorithm>
#include <functional>

namespace cornelwell {

namespace {

constexpr std::size_t UNSENT_MAX = 16UL * 1024 * 1024; ///< A peer that reads too slowly is dropped.
constexpr std::size_t NAMELESS_MAX = 256;              ///< Links that did not say hello yet.

} // namespace

/** A link that this daemon opened. */
class PeerLinks::Opened : public ConnectionHandler,
                          public std::enable_shared_from_this<PeerLinks::Opened>
{
public:
    Opened(PeerLinks &links, DaemonRecord record) : m_links(links), m_record(std::move(record)) {}

    void open()
    {
        heard = m_links.m_loop.now();
        m_connection = TcpConnection::open(m_links.m_loop, m_record.linkEndpoint,
                                           m_links.m_options.connect, *this);
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
        heard = m_links.m_loop.now();
        m_reader.feed(bytes);
        while (m_connection->isOpen() && m_reader.ready()) {
            Result<LinkMessage> message = m_reader.next();
            if (!message) {
                close();
                return;
            }
            take(std::move(message.value()));
        }
    }

    void disconnected(DisconnectReason) override { m_links.closed(m_record.name, up); }

    void send(const std::string &bytes)
    {
        if (m_connection->unsentBytes() > UNSENT_MAX) {
            close();
            return;
        }
        m_connection->write(bytes);
    }

    void close()
    {
        if (!m_connection->isOpen())
            return;
        m_connection->close();
        m_links.closed(m_record.name, up);
    }

    bool near() const { return m_record.dataCentre == m_links.m_table.self().dataCentre; }

    bool up = false;
    TimePoint heard{0};

private:
    void take(LinkMessage message)
    {
        const auto *state = std::get_if<LinkDaemonState>(&message);
        if (state == nullptr && !up) {
            close();
            return;
        }
        if (state != nullptr && !up) {
            if (state->name != m_record.name) {
                const ServerId gone = m_record.name;
                close();
                m_links.m_listener.peerGone(gone);
                return;
            }
            up = true;
            std::uint64_t &known = m_links.m_incarnations[m_record.name];
            const bool restarted = known != 0 && known != state->incarnation;
            known = state->incarnation;
            m_links.m_retries.erase(m_record.name);
            m_links.m_listener.answerReceived(m_record.name, message);
            m_links.m_listener.linkUp(m_record.name, restarted);
            return;
        }
        m_links.m_listener.answerReceived(m_record.name, std::move(message));
    }

    PeerLinks &m_links;
    DaemonRecord m_record;
    TcpConnectionPtr m_connection;
    LinkReader m_reader;
};

/** A link that a peer opened. */
class PeerLinks::Accepted : public ConnectionHandler,
                            public std::enable_shared_from_this<PeerLinks::Accepted>
{
public:
    Accepted(PeerLinks &links, TcpConnectionPtr connection)
        : m_links(links), m_connection(std::move(connection))
    {}

    void start() { m_connection->start(*this); }

    void received(std::string_view bytes) override
    {
        const auto self = shared_from_this();
        m_reader.feed(bytes);
        while (m_connection->isOpen() && m_reader.ready()) {
            Result<LinkMessage> message = m_reader.next();
            if (!message || !take(std::move(message.value()))) {
                close();
                return;
            }
        }
    }

    void disconnected(DisconnectReason) override { m_links.acceptedEnded(*this); }

    void send(const std::string &bytes)
    {
        if (m_connection->unsentBytes() > UNSENT_MAX) {
            close();
            return;
        }
        sentAt = m_links.m_loop.now();
        m_connection->write(bytes);
    }

    /** Ends the link; what lies unread in it is never taken in. */
    void close()
    {
        if (!m_connection->isOpen())
            return;
        m_connection->close();
        m_links.acceptedEnded(*this);
    }

    DaemonRecord peer;   ///< Set by the hello.
    TimePoint sentAt{0}; ///< Last message sent; each carries the load.

private:
    bool take(LinkMessage message)
    {
        if (const auto *hello = std::get_if<LinkHello>(&message)) {
            if (!peer.name.empty() || hello->format != LINK_FORMAT)
                return false;
            if (hello->recipient != m_links.m_table.self().name) {
                // The state tells the opener whom it has reached; its own link here stays.
                send(encodeLinkMessage(m_links.m_listener.linkState()));
                return true;
            }
            peer = hello->sender;
            m_links.replaceSender(*this);
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
        m_links.m_listener.requestReceived(peer, std::move(message));
        return true;
    }

    PeerLinks &m_links;
    TcpConnectionPtr m_connection;
    LinkReader m_reader;
};

PeerLinks::PeerLinks(EventLoop &loop, PeerTable &table, PeerLinksListener &listener,
                     PeerLinkOptions options)
    : m_loop(loop), m_table(table), m_listener(listener), m_options(options)
{}

PeerLinks::~PeerLinks() = default;

Result<void> PeerLinks::listen()
{
    BOOST_OUTCOME_TRY(socket, TcpListener::listen(m_loop, m_table.self().linkEndpoint,
                                                  [this](TcpConnectionPtr connection) {
                                                      if (m_nameless.size() >= NAMELESS_MAX) {
                                                          connection->close();
                                                          return;
                                                      }
                                                      const auto accepted
                                                          = std::make_shared<Accepted>(
                                                              *this, std::move(connection));
                                                      m_nameless.insert(accepted);
                                                      accepted->start();
                                                  }));
    m_listenerSocket = std::move(socket);
    return success();
}

/** All daemons of a small fleet; of a large one, for each service some of each data centre by
 * rendezvous hashing, so that the daemons do not all link to the same ones. */
std::set<ServerId> PeerLinks::wanted() const
{
    using Ranked = std::vector<std::pair<std::uint64_t, ServerId>>;
    std::map<std::pair<bool, ServiceName>, Ranked> groups;
    for (const auto &[name, peer] : m_table.peers()) {
        const bool near = peer.record.dataCentre == m_table.self().dataCentre;
        groups[{near, peer.record.service}].emplace_back(
            rendezvousWeight(name.text(), m_table.self().name.text()), name);
    }
    std::set<ServerId> names;
    for (auto &[group, ranked] : groups) {
        const std::size_t most = group.first ? m_options.nearMax : m_options.farMax;
        std::sort(ranked.begin(), ranked.end(), std::greater<>());
        for (std::size_t i = 0; i < std::min(most, ranked.size()); i++)
            names.insert(ranked[i].second);
    }
    return names;
}

void PeerLinks::openWanted(TimePoint now)
{
    for (const ServerId &name : wanted()) {
        if (m_opened.count(name) != 0)
            continue;
        const auto retry = m_retries.find(name);
        if (retry != m_retries.end() && now < retry->second.at)
            continue;
        const auto link = std::make_shared<Opened>(*this, m_table.find(name)->record);
        m_opened.emplace(name, link);
        link->open();
    }
}

void PeerLinks::tick()
{
    const TimePoint now = m_loop.now();
    std::vector<std::shared_ptr<Opened>> silent;
    for (const auto &[name, link] : m_opened) {
        const Duration bound = link->near() ? m_options.silence : m_options.silence * 2;
        if (link->up && now - link->heard > bound)
            silent.push_back(link);
    }
    for (const auto &link : silent)
        link->close();
    openWanted(now);
    heartbeats(now);
}

/** Tells the state where nothing was sent for a while: results carry the load too. */
void PeerLinks::heartbeats(TimePoint now)
{
    std::vector<std::shared_ptr<Accepted>> due;
    for (const auto &[name, link] : m_accepted) {
        const bool near = link->peer.dataCentre == m_table.self().dataCentre;
        if (now - link->sentAt >= (near ? m_options.heartbeat : m_options.farHeartbeat))
            due.push_back(link);
    }
    if (due.empty())
        return;
    const std::string bytes = encodeLinkMessage(m_listener.linkState());
    for (const auto &link : due)
        link->send(bytes);
}

void PeerLinks::tellState()
{
    const std::string bytes = encodeLinkMessage(m_listener.linkState());
    const auto all = m_accepted;
    for (const auto &[name, link] : all)
        link->send(bytes);
}

void PeerLinks::tellState(const std::vector<ServerId> &peers)
{
    const std::string bytes = encodeLinkMessage(m_listener.linkState());
    for (const ServerId &peer : peers) {
        const auto found = m_accepted.find(peer);
        if (found == m_accepted.end())
            continue;
        const auto link = found->second;
        link->send(bytes);
    }
}

bool PeerLinks::sendBytes(const ServerId &peer, const std::string &bytes)
{
    const auto found = m_opened.find(peer);
    if (found == m_opened.end() || !found->second->up)
        return false;
    const auto link = found->second;
    link->send(bytes);
    return true;
}

bool PeerLinks::sendRequest(const ServerId &peer, const LinkMessage &message)
{
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
    const auto found = m_accepted.find(peer);
    if (found == m_accepted.end() || found->second->peer.incarnation != incarnation)
        return false;
    const auto link = found->second;
    link->send(encodeLinkMessage(message));
    return true;
}

void PeerLinks::sendToAll(const LinkMessage &message)
{
    const std::string bytes = encodeLinkMessage(message);
    const auto all = m_opened;
    for (const auto &[name, link] : all) {
        if (link->up)
            link->send(bytes);
    }
}

std::size_t PeerLinks::linksUp() const
{
    return static_cast<std::size_t>(std::count_if(
        m_opened.begin(), m_opened.end(), [](const auto &item) { return item.second->up; }));
}

void PeerLinks::closed(const ServerId &peer, bool wasUp)
{
    const auto found = m_opened.find(peer);
    if (found == m_opened.end())
        return;
    // The connection may be in the middle of a callback.
    m_loop.after({0}, [link = found->second] {});
    m_opened.erase(found);
    Retry &retry = m_retries[peer];
    const TimePoint now = m_loop.now();
    if (retry.pause.ms == 0)
        retry.since = now;
    retry.pause = {std::clamp(retry.pause.ms * 2, m_options.retryMin.ms, m_options.retryMax.ms)};
    retry.at = now + (now - retry.since > m_options.goneAfter ? m_options.goneRetry : retry.pause);
    if (wasUp)
        m_listener.linkDown(peer);
}

/** A daemon has one link here: the one before is closed first, so that nothing of it is still run.
 */
void PeerLinks::replaceSender(Accepted &accepted)
{
    const auto self = accepted.shared_from_this();
    m_nameless.erase(self);
    const auto old = m_accepted.find(accepted.peer.name);
    if (old != m_accepted.end()) {
        const auto before = old->second;
        before->close();
    }
    m_accepted[accepted.peer.name] = self;
}

void PeerLinks::acceptedEnded(Accepted &accepted)
{
    const auto self = accepted.shared_from_this();
    m_loop.after({0}, [self] {});
    m_nameless.erase(self);
    const auto found = m_accepted.find(accepted.peer.name);
    if (found == m_accepted.end() || found->second != self)
        return;
    m_accepted.erase(found);
    m_listener.senderLost(accepted.peer.name, accepted.peer.incarnation);
}

} // namespace cornelwell
