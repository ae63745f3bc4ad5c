/** @file fake_fleet.cpp Fake network, platform and clock for controls. */
#include "fake_fleet.h"

#include "control/control_codec.h"
#include "sample_entries.h"

#include <catch2/catch.hpp>

namespace cornelwell {

namespace {

constexpr Duration TICK = {100};             ///< Pause between ticks of a control.
constexpr Duration PLATFORM_DELAY = {3};     ///< Time of a call to the platform.
constexpr Duration WATCH = {10000};          ///< Longest wait of a watch.
constexpr Duration WATCH_POLL = {2};         ///< Steps in which a waiting watch looks.
constexpr Duration CONNECT_TIMEOUT = {1000}; ///< A connection over a cut fails after this.
constexpr std::uint16_t PEER_PORT = 7103;    ///< Peer port of all daemons.

std::string addressOf(std::size_t daemon)
{
    return "127.1." + std::to_string(daemon / 200) + "." + std::to_string(daemon % 200 + 1);
}

ControlOptions fleetOptions()
{
    ControlOptions options;
    options.membership.suspicion = seconds(2);
    return options;
}

} // namespace

FakeFleet::FakeFleet(std::uint64_t seed) : m_random(seed) {}

std::size_t FakeFleet::addDaemon(const std::string &dataCentre)
{
    Daemon daemon;
    daemon.dataCentre = dataCentre;
    m_daemons.push_back(std::move(daemon));
    return m_daemons.size() - 1;
}

void FakeFleet::later(Duration delay, std::function<void()> act)
{
    m_queue.push({m_now + delay, m_order++, std::move(act)});
}

Duration FakeFleet::delay()
{
    return {1
            + static_cast<std::int64_t>(
                m_random.below(static_cast<std::uint64_t>(faults.delayMax.ms)))};
}

bool FakeFleet::isCut(const std::string &from, const std::string &to) const
{
    return m_cuts.count({from, to}) != 0;
}

void FakeFleet::setCut(const std::string &from, const std::string &to, bool cut)
{
    if (cut)
        m_cuts.insert({from, to});
    else
        m_cuts.erase({from, to});
}

void FakeFleet::setCutBoth(const std::string &a, const std::string &b, bool cut)
{
    setCut(a, b, cut);
    setCut(b, a, cut);
}

bool FakeFleet::isRunning(std::size_t daemon, std::uint64_t incarnation) const
{
    return m_daemons[daemon].node && m_daemons[daemon].incarnation == incarnation;
}

void FakeFleet::onDaemon(std::size_t daemon, std::uint64_t incarnation, Duration delay,
                         std::function<ControlActions(ControlNode &)> input)
{
    later(delay, [this, daemon, incarnation, input = std::move(input)] {
        if (!isRunning(daemon, incarnation))
            return;
        if (m_daemons[daemon].paused) {
            onDaemon(daemon, incarnation, TICK, input);
            return;
        }
        execute(daemon, input(*m_daemons[daemon].node));
    });
}

void FakeFleet::start(std::size_t number)
{
    Daemon &daemon = m_daemons[number];
    MemberRecord self;
    self.id = ServerId(daemon.dataCentre + "-s" + std::to_string(number));
    self.incarnation = static_cast<std::uint64_t>(m_now.ms);
    self.sequence = 1;
    self.dataCentre = DataCentreId(daemon.dataCentre);
    self.address = addressOf(number);
    self.peerPort = PEER_PORT;
    self.service = ServiceName("order-desk");
    self.state = MemberState::Ready;
    daemon.incarnation = ++m_order;
    daemon.applied = 0;
    daemon.paused = false;
    daemon.node = std::make_unique<ControlNode>(self, fleetOptions(), m_random.bits());
    execute(number, daemon.node->start(m_now));
    tick(number, daemon.incarnation);
}

void FakeFleet::startAll()
{
    for (std::size_t i = 0; i < m_daemons.size(); i++)
        start(i);
}

void FakeFleet::kill(std::size_t daemon)
{
    breakLinks(daemon);
    m_daemons[daemon].node.reset();
}

void FakeFleet::setPaused(std::size_t daemon, bool paused)
{
    m_daemons[daemon].paused = paused;
}

void FakeFleet::announce(std::size_t daemon, MemberState state)
{
    execute(daemon, node(daemon).announce(state, m_now));
}

void FakeFleet::crash(std::size_t daemon, std::uint64_t fingerprint)
{
    execute(daemon, node(daemon).serverCrashed(fingerprint, EntryName("look"), m_now));
}

void FakeFleet::breakLinks(std::size_t daemon)
{
    std::vector<LinkId> own;
    for (const auto &item : m_ends) {
        if (item.second.daemon == daemon)
            own.push_back(item.first);
    }
    for (const LinkId link : own)
        closeLink(link, ResultCode::PeerClosed);
}

void FakeFleet::tick(std::size_t daemon, std::uint64_t incarnation)
{
    onDaemon(daemon, incarnation, TICK, [this, daemon, incarnation](ControlNode &node) {
        tick(daemon, incarnation);
        return node.tick(m_now);
    });
}

void FakeFleet::run(Duration span)
{
    const TimePoint end = m_now + span;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const Later next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.act();
    }
    m_now = end;
}

/** Executes the actions of one control. */
struct FakeFleet::Perform
{
    FakeFleet &fleet;
    std::size_t daemon;
    std::uint64_t incarnation;

    void operator()(const OpenLink &open) const { fleet.openLink(daemon, open.endpoint); }
    void operator()(const CloseLink &close) const { fleet.closeLink(close.link, close.code); }
    void operator()(const SendMessage &send) const { fleet.send(daemon, send); }
    void operator()(const ReadContacts &) const
    {
        FakeFleet &f = fleet;
        const std::size_t who = daemon;
        fleet.onDaemon(daemon, incarnation, PLATFORM_DELAY, [&f, who](ControlNode &node) {
            return node.contactsRead(
                f.platformCall(who, [&] { return f.store.read(CONTACTS_OBJECT); }), f.m_now);
        });
    }
    void operator()(const WriteContacts &write) const
    {
        FakeFleet &f = fleet;
        const std::size_t who = daemon;
        fleet.onDaemon(daemon, incarnation, PLATFORM_DELAY, [&f, who, write](ControlNode &node) {
            return node.contactsWritten(
                f.platformCall(who,
                               [&] {
                                   return write.version == 0
                                              ? f.store.create(CONTACTS_OBJECT, write.text)
                                              : f.store.update(CONTACTS_OBJECT, write.text,
                                                               write.version);
                               }),
                f.m_now);
        });
    }
    void operator()(const WatchHead &watch) const
    {
        fleet.platformCalls++;
        fleet.answerWatch(daemon, incarnation, watch.version, fleet.m_now + WATCH);
    }
    void operator()(const ReadChunks &read) const
    {
        FakeFleet &f = fleet;
        const std::size_t who = daemon;
        fleet.onDaemon(daemon, incarnation, PLATFORM_DELAY, [&f, who, read](ControlNode &node) {
            const auto texts = f.platformCall(who, [&]() -> Result<std::vector<std::string>> {
                std::vector<std::string> all;
                for (const std::string &name : read.names) {
                    BOOST_OUTCOME_TRY(object, f.store.read(name));
                    all.push_back(object.text);
                }
                return all;
            });
            return node.chunksRead(read.revision, texts, f.m_now);
        });
    }
    void operator()(const ApplyVersion &apply) const { fleet.apply(daemon, apply); }
    void operator()(const RecordEvent &event) const { fleet.m_events[event.kind]++; }
    void operator()(const MembersChanged &) const {}
    void operator()(const QuarantineChanged &changed) const
    {
        fleet.quarantined[daemon] = changed.fingerprints;
    }
};

void FakeFleet::execute(std::size_t daemon, ControlActions actions)
{
    const Perform perform{*this, daemon, m_daemons[daemon].incarnation};
    for (const ControlAction &action : actions)
        std::visit(perform, action);
}

template<typename Call>
auto FakeFleet::platformCall(std::size_t daemon, Call call) -> decltype(call())
{
    platformCalls++;
    if (platformDown || isCut(m_daemons[daemon].dataCentre, "platform"))
        return fail(ResultCode::PlatformNotExecuted, "cut off");
    return call();
}

void FakeFleet::answerWatch(std::size_t daemon, std::uint64_t incarnation, std::uint64_t version,
                            TimePoint until)
{
    onDaemon(daemon, incarnation, WATCH_POLL,
             [this, daemon, incarnation, version, until](ControlNode &node) {
                 using Answer = Result<std::optional<StoredObject>>;
                 if (platformDown || isCut(m_daemons[daemon].dataCentre, "platform"))
                     return node.watchAnswered(Answer(fail(ResultCode::PlatformUnknown, "cut off")),
                                               m_now);
                 const bool stale = !m_oldHeads.empty() && m_random.chance(platformStalePerMille);
                 const StoredObject head = stale ? m_oldHeads[m_random.below(m_oldHeads.size())]
                                                 : store.peek(CATALOGUE_HEAD_OBJECT);
                 if (head.version != version && head.version != 0)
                     return node.watchAnswered(Answer(std::optional<StoredObject>(head)), m_now);
                 if (m_now >= until)
                     return node.watchAnswered(Answer(std::optional<StoredObject>()), m_now);
                 answerWatch(daemon, incarnation, version, until);
                 return ControlActions();
             });
}

void FakeFleet::openLink(std::size_t from, const Endpoint &endpoint)
{
    const std::uint64_t incarnation = m_daemons[from].incarnation;
    for (std::size_t to = 0; to < m_daemons.size(); to++) {
        if (addressOf(to) != endpoint.ip)
            continue;
        const std::string &here = m_daemons[from].dataCentre;
        const std::string &there = m_daemons[to].dataCentre;
        if (isCut(here, there) || isCut(there, here)) {
            onDaemon(from, incarnation, CONNECT_TIMEOUT, [this, endpoint](ControlNode &node) {
                return node.linkFailed(endpoint, false, m_now);
            });
            return;
        }
        if (!m_daemons[to].node)
            break;
        const LinkId mine = m_nextLink++;
        const LinkId theirs = m_nextLink++;
        const std::uint64_t peerIncarnation = m_daemons[to].incarnation;
        m_ends[mine] = {from, incarnation, theirs, to, peerIncarnation};
        m_ends[theirs] = {to, peerIncarnation, mine, from, incarnation};
        onDaemon(from, incarnation, delay(), [this, mine, endpoint](ControlNode &node) {
            return m_ends.count(mine) != 0 ? node.linkOpened(mine, endpoint, m_now)
                                           : ControlActions();
        });
        onDaemon(to, peerIncarnation, delay(), [this, theirs](ControlNode &node) {
            return m_ends.count(theirs) != 0 ? node.linkOpened(theirs, std::nullopt, m_now)
                                             : ControlActions();
        });
        return;
    }
    onDaemon(from, incarnation, delay(), [this, endpoint](ControlNode &node) {
        return node.linkFailed(endpoint, true, m_now);
    });
}

void FakeFleet::send(std::size_t from, const SendMessage &send)
{
    const auto at = m_ends.find(send.link);
    if (at == m_ends.end())
        return;
    const LinkEnd end = at->second;
    messagesSent[messageKindName(send.message.index())]++;
    if (isCut(m_daemons[from].dataCentre, m_daemons[end.peer].dataCentre)
        || m_random.chance(faults.dropPerMille))
        return;
    // Through the codec, so that every message of every schedule is encoded and decoded.
    const std::string bytes = encodeMessage({{}, send.message});
    const unsigned copies = m_random.chance(faults.duplicatePerMille) ? 2 : 1;
    for (unsigned i = 0; i < copies; i++) {
        onDaemon(end.peer, end.peerIncarnation, delay(), [this, end, bytes](ControlNode &node) {
            return m_ends.count(end.peerLink) != 0
                       ? node.receive(end.peerLink, decodeMessage(bytes).value().message, m_now)
                       : ControlActions();
        });
    }
}

void FakeFleet::closeLink(LinkId link, ResultCode code)
{
    const auto at = m_ends.find(link);
    if (at == m_ends.end())
        return;
    const LinkEnd end = at->second;
    m_ends.erase(at);
    m_ends.erase(end.peerLink);
    if (isCut(m_daemons[end.daemon].dataCentre, m_daemons[end.peer].dataCentre))
        return;
    onDaemon(end.peer, end.peerIncarnation, delay(), [this, end, code](ControlNode &node) {
        return node.linkClosed(end.peerLink, code, m_now);
    });
}

void FakeFleet::apply(std::size_t number, const ApplyVersion &action)
{
    Daemon &daemon = m_daemons[number];
    const Revision revision = action.configuration->revision();
    INFO("daemon " << number << " applies version " << revision << " at " << m_now.ms);
    REQUIRE(revision > daemon.applied);
    REQUIRE(m_digests.count(revision) == 1);
    REQUIRE(action.configuration->digest() == m_digests[revision]);
    revertsOverRestart += revision < daemon.appliedEver ? 1 : 0;
    daemon.applied = revision;
    daemon.appliedEver = std::max(daemon.appliedEver, revision);
}

Result<AcceptedChange> FakeFleet::accept(const Change &change)
{
    const StoredObject before = store.peek(CATALOGUE_HEAD_OBJECT);
    auto accepted = CatalogueWriter(
                        store, [](Duration) {}, m_random.bits())
                        .accept(change, false);
    if (before.version != 0)
        m_oldHeads.push_back(before);
    const auto state = readCatalogue(store);
    if (state)
        m_digests[state.value().head.revision] = state.value().configuration->digest();
    return accepted;
}

Revision FakeFleet::propose(const std::string &name)
{
    return accept(sampleChange(ChangeKind::Propose, sampleEntry(name), 0, name)).value().revision;
}

Revision FakeFleet::leastRevision() const
{
    Revision least = UINT64_MAX;
    for (const Daemon &daemon : m_daemons) {
        if (daemon.node)
            least = std::min(least, daemon.node->distribution().current()->revision());
    }
    return least;
}

bool FakeFleet::tablesAgree() const
{
    std::set<std::uint64_t> digests;
    for (const Daemon &daemon : m_daemons) {
        if (daemon.node)
            digests.insert(daemon.node->membership().digest());
    }
    return digests.size() <= 1;
}

unsigned FakeFleet::events(EventKind kind) const
{
    const auto at = m_events.find(kind);
    return at == m_events.end() ? 0 : at->second;
}

} // namespace cornelwell
