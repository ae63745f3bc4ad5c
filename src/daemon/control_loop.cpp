/** @file control_loop.cpp Executes the actions of the control. */
#include "daemon/control_loop.h"

#include "base/hash_func.h"
#include "base/result_code_func.h"
#include "catalogue/head_type.h"
#include "control/control_codec.h"
#include "daemon/platform_worker.h"
#include "log/log.h"
#include "peer/peer_transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <csignal>
#include <future>

namespace cornelwell {

namespace {

constexpr std::chrono::milliseconds TICK(100);    ///< Pause between ticks of the control.
constexpr std::chrono::seconds STATUS_TIMEOUT(5); ///< Longest wait for a copy of the state.

MemberRecord selfRecord(const Settings &settings, std::uint64_t incarnation)
{
    MemberRecord record;
    record.id = settings.id;
    record.incarnation = incarnation;
    record.sequence = 1;
    record.dataCentre = settings.dataCentre;
    record.address = settings.address;
    record.callPort = settings.ports.call;
    record.relayPort = settings.ports.relay;
    record.peerPort = settings.ports.peer;
    record.adminPort = settings.ports.admin;
    record.service = settings.backend.service;
    record.slots = settings.backend.slots;
    record.state = settings.backend.present ? MemberState::Warming : MemberState::Ready;
    return record;
}

ControlOptions controlOptions(const Settings &settings)
{
    ControlOptions options;
    options.links = settings.peer.links;
    options.heartbeat = settings.peer.heartbeatInterval;
    options.silence = settings.peer.silenceTimeout;
    options.seeds = settings.seeds;
    options.watchAlways = settings.platform.watchDirectly;
    options.membership.suspicion = settings.peer.suspicionTimeout;
    options.distribution.retryMin = settings.platform.retryMin;
    options.distribution.retryMax = settings.platform.retryMax;
    return options;
}

/** Severity and category of an event's log line. */
std::pair<LogLevel, LogCategory> logPlace(EventKind kind)
{
    switch (kind) {
    case EventKind::PlatformLost:
        return {LogLevel::Warn, LogCategory::Platform};
    case EventKind::PlatformBack:
    case EventKind::RelayRoleTaken:
    case EventKind::RelayRoleLeft:
        return {LogLevel::Info, LogCategory::Platform};
    case EventKind::VersionApplied:
    case EventKind::SnapshotTaken:
        return {LogLevel::Info, LogCategory::Distribution};
    case EventKind::VersionRejected:
        return {LogLevel::Error, LogCategory::Distribution};
    case EventKind::LinkOpened:
    case EventKind::LinkClosed:
        return {LogLevel::Debug, LogCategory::Peer};
    case EventKind::MemberFailed:
        return {LogLevel::Warn, LogCategory::Membership};
    default:
        return {LogLevel::Info, LogCategory::Membership};
    }
}

} // namespace

/** The loop and all that runs on it. */
class ControlLoop::Impl final : public PeerEvents
{
public:
    Impl(ControlLoopParts parts, std::uint64_t incarnation)
        : m_parts(parts)
        , m_node(selfRecord(parts.settings, incarnation), controlOptions(parts.settings),
                 hash64(parts.settings.id.text(), incarnation))
        , m_transport(m_context,
                      PeerTransportOptions{parts.settings.peer.messageBytesMax,
                                           parts.settings.peer.messagesPerSecondMax,
                                           parts.settings.peer.linksMax, &parts.cuts},
                      parts.clock, *this)
        , m_timer(m_context)
        , m_signals(m_context, SIGTERM, SIGINT)
    {}

    Result<void> listen()
    {
        return m_transport.listen({m_parts.settings.address, m_parts.settings.ports.peer});
    }

    void run(std::function<void()> onSignal)
    {
        m_onSignal = std::move(onSignal);
        waitForSignal();
        execute(m_node.start(m_parts.clock.now()));
        scheduleTick();
        m_context.run();
    }

    void stop()
    {
        boost::asio::post(m_context, [this] {
            m_transport.shutdown();
            // Lets the close frames leave before the loop ends.
            m_timer.expires_after(TICK);
            m_timer.async_wait([this](const boost::system::error_code &) { m_context.stop(); });
        });
    }

    void stopWorkers()
    {
        m_watcher.stop();
        m_worker.stop();
    }

    void announce(MemberState state)
    {
        boost::asio::post(m_context,
                          [this, state] { execute(m_node.announce(state, m_parts.clock.now())); });
    }

    void serverRefused(const ServerId &id)
    {
        boost::asio::post(m_context,
                          [this, id] { execute(m_node.serverRefused(id, m_parts.clock.now())); });
    }

    void serverCrashed(std::uint64_t fingerprint, const EntryName &entry)
    {
        boost::asio::post(m_context, [this, fingerprint, entry] {
            execute(m_node.serverCrashed(fingerprint, entry, m_parts.clock.now()));
        });
    }

    void releaseQuarantine(std::uint64_t fingerprint)
    {
        boost::asio::post(m_context, [this, fingerprint] {
            execute(m_node.releaseQuarantine(fingerprint, m_parts.clock.now()));
        });
    }

    ControlStatus status()
    {
        auto promise = std::make_shared<std::promise<ControlStatus>>();
        std::future<ControlStatus> future = promise->get_future();
        boost::asio::post(m_context, [this, promise] { promise->set_value(currentStatus()); });
        if (future.wait_for(STATUS_TIMEOUT) != std::future_status::ready)
            return {};
        return future.get();
    }

    void onLinkOpened(std::uint64_t link, const std::optional<Endpoint> &target) override
    {
        execute(m_node.linkOpened(link, target, m_parts.clock.now()));
    }

    void onLinkFailed(const Endpoint &target, bool refused) override
    {
        execute(m_node.linkFailed(target, refused, m_parts.clock.now()));
    }

    void onLinkClosed(std::uint64_t link, ResultCode code) override
    {
        execute(m_node.linkClosed(link, code, m_parts.clock.now()));
    }

    void onLinkMessage(std::uint64_t link, const std::string &bytes) override
    {
        auto decoded = decodeMessage(bytes);
        if (!decoded) {
            logError(LogLevel::Warn, LogCategory::Peer, decoded.error());
            m_transport.close(link, decoded.error().code);
            execute(m_node.linkClosed(link, decoded.error().code, m_parts.clock.now()));
            return;
        }
        countBytes("received", decoded.value().message.index(), bytes.size());
        m_parts.timeline.observe(decoded.value().stamp);
        execute(m_node.receive(link, decoded.value().message, m_parts.clock.now()));
    }

private:
    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int) {
            if (error)
                return;
            m_onSignal();
            waitForSignal();
        });
    }

    void scheduleTick()
    {
        m_timer.expires_after(TICK);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            execute(m_node.tick(m_parts.clock.now()));
            scheduleTick();
        });
    }

    void countBytes(const char *direction, std::size_t kind, std::size_t bytes)
    {
        const std::string labels
            = std::string("direction=\"") + direction + "\",kind=\"" + messageKindName(kind) + "\"";
        m_parts.metrics.count("control_message_bytes_total", labels, static_cast<double>(bytes));
        m_parts.metrics.set("control_wire_bytes", "direction=\"sent\"",
                            static_cast<double>(m_transport.traffic().bytesSent));
        m_parts.metrics.set("control_wire_bytes", "direction=\"received\"",
                            static_cast<double>(m_transport.traffic().bytesReceived));
    }

    void execute(ControlActions actions)
    {
        for (ControlAction &action : actions)
            std::visit([this](auto &one) { perform(one); }, action);
    }

    void perform(const OpenLink &open) { m_transport.open(open.endpoint); }
    void perform(const CloseLink &close) { m_transport.close(close.link, close.code); }

    void perform(SendMessage &send)
    {
        const std::size_t kind = send.message.index();
        const std::string bytes
            = encodeMessage({m_parts.timeline.stamp(), std::move(send.message)});
        m_transport.send(send.link, bytes);
        countBytes("sent", kind, bytes.size());
    }

    void perform(const ReadContacts &)
    {
        m_worker.add([this] {
            auto answer = m_parts.store.read(CONTACTS_OBJECT);
            countPlatformCall("read");
            boost::asio::post(m_context, [this, answer = std::move(answer)] {
                execute(m_node.contactsRead(answer, m_parts.clock.now()));
            });
        });
    }

    void perform(const WriteContacts &write)
    {
        m_worker.add([this, write] {
            auto answer = write.version == 0
                              ? m_parts.store.create(CONTACTS_OBJECT, write.text)
                              : m_parts.store.update(CONTACTS_OBJECT, write.text, write.version);
            countPlatformCall("write");
            boost::asio::post(m_context, [this, answer = std::move(answer)] {
                execute(m_node.contactsWritten(answer, m_parts.clock.now()));
            });
        });
    }

    void perform(const WatchHead &watch)
    {
        m_watcher.add([this, watch] {
            auto answer = m_parts.watchStore.watch(CATALOGUE_HEAD_OBJECT, watch.version,
                                                   m_parts.settings.platform.watchTimeout);
            countPlatformCall("watch");
            boost::asio::post(m_context, [this, answer = std::move(answer)] {
                execute(m_node.watchAnswered(answer, m_parts.clock.now()));
            });
        });
    }

    void perform(const ReadChunks &read)
    {
        m_worker.add([this, read] {
            auto texts = readChunks(read.names);
            boost::asio::post(m_context, [this, read, texts = std::move(texts)] {
                execute(m_node.chunksRead(read.revision, texts, m_parts.clock.now()));
            });
        });
    }

    void perform(const ApplyVersion &apply)
    {
        m_parts.view.setConfiguration(apply.configuration);
        m_parts.metrics.set("configuration_revision", {},
                            static_cast<double>(apply.configuration->revision()));
    }

    void perform(const RecordEvent &event)
    {
        m_parts.timeline.record(event.kind, event.cause, event.subject, event.detail, event.code);
        m_parts.metrics.count("events_total",
                              std::string("kind=\"") + eventKindName(event.kind) + "\"");
        const auto place = logPlace(event.kind);
        const std::string detail = event.detail.empty() ? "" : ": " + event.detail;
        logLine(place.first, place.second,
                std::string(eventKindName(event.kind)) + " " + event.subject + detail, event.code);
    }

    void perform(QuarantineChanged &changed)
    {
        m_parts.view.setQuarantined(std::move(changed.fingerprints));
    }

    void perform(const MembersChanged &)
    {
        const MemberRecord &self = m_node.membership().self();
        m_parts.identity.incarnation = self.incarnation;
        m_parts.timeline.setIncarnation(self.incarnation);
        std::map<ServiceName, std::vector<Target>> services;
        for (const auto &item : m_node.membership().members()) {
            const Member &member = item.second;
            const bool takesCalls = isLiving(member) && member.record.state == MemberState::Ready;
            if (!takesCalls || member.record.service.empty())
                continue;
            services[member.record.service].push_back(targetOf(member));
        }
        std::vector<ServiceTargets> targets;
        for (auto &service : services)
            targets.push_back({service.first, std::move(service.second)});
        m_parts.view.setTargets(std::move(targets));
        m_parts.metrics.set("members", {},
                            static_cast<double>(m_node.membership().members().size()));
    }

    Target targetOf(const Member &member) const
    {
        Target target;
        target.id = member.record.id;
        target.incarnation = member.record.incarnation;
        target.relay = {member.record.address, member.record.relayPort};
        target.local = member.record.dataCentre == m_parts.settings.dataCentre;
        target.suspected = member.opinion == MemberOpinion::Suspected;
        target.slots = member.record.slots;
        target.readySince = member.readySince == NEVER ? TimePoint{0} : member.readySince;
        return target;
    }

    Result<std::vector<std::string>> readChunks(const std::vector<std::string> &names)
    {
        std::vector<std::string> texts;
        for (const std::string &name : names) {
            countPlatformCall("read");
            BOOST_OUTCOME_TRY(object, m_parts.store.read(name));
            texts.push_back(object.text);
        }
        return texts;
    }

    void countPlatformCall(const char *kind)
    {
        m_parts.metrics.count("platform_calls_total", std::string("kind=\"") + kind + "\"");
        const HttpTraffic calls = m_parts.store.traffic();
        const HttpTraffic watches = m_parts.watchStore.traffic();
        m_parts.metrics.set("platform_wire_bytes", "direction=\"sent\"",
                            static_cast<double>(calls.bytesSent + watches.bytesSent));
        m_parts.metrics.set("platform_wire_bytes", "direction=\"received\"",
                            static_cast<double>(calls.bytesReceived + watches.bytesReceived));
    }

    ControlStatus currentStatus()
    {
        ControlStatus status;
        status.self = m_node.membership().self();
        status.revision = m_node.distribution().current()->revision();
        status.digest = m_node.distribution().current()->digest();
        status.relay = m_node.distribution().watching();
        status.platformAnswers = m_node.distribution().platformAnswers();
        status.links = m_node.establishedLinks();
        status.crashes = m_node.crashReports(m_parts.clock.now());
        for (const auto &item : m_node.membership().members())
            status.members.push_back({item.second.record, item.second.opinion});
        return status;
    }

    const ControlLoopParts m_parts;
    boost::asio::io_context m_context{1};
    ControlNode m_node;
    PeerTransport m_transport;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    std::function<void()> m_onSignal;
    PlatformWorker m_watcher;
    PlatformWorker m_worker;
};

ControlLoop::ControlLoop(ControlLoopParts parts, std::uint64_t incarnation)
    : m_impl(std::make_unique<Impl>(parts, incarnation))
{}

ControlLoop::~ControlLoop()
{
    m_impl->stopWorkers();
}

Result<void> ControlLoop::listen()
{
    return m_impl->listen();
}

void ControlLoop::run(std::function<void()> onSignal)
{
    m_impl->run(std::move(onSignal));
}

void ControlLoop::stop()
{
    m_impl->stop();
}

void ControlLoop::announce(MemberState state)
{
    m_impl->announce(state);
}

void ControlLoop::serverRefused(const ServerId &id)
{
    m_impl->serverRefused(id);
}

void ControlLoop::serverCrashed(std::uint64_t fingerprint, const EntryName &entry)
{
    m_impl->serverCrashed(fingerprint, entry);
}

void ControlLoop::releaseQuarantine(std::uint64_t fingerprint)
{
    m_impl->releaseQuarantine(fingerprint);
}

ControlStatus ControlLoop::status()
{
    return m_impl->status();
}

} // namespace cornelwell
