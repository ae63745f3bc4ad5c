/** @file body_transfers.h Both ends of the transfer of a large request body, on grants of the
 * hosting daemon. */
#pragma once

#include "bandwidth/input_scheduler.h"
#include "hosting/hosting_type.h"
#include "loop/event_loop.h"
#include "node/peer_links.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelwell {

/** Keeps the bodies of this daemon's offers until their hosting daemons have granted them. */
class BodySender
{
public:
    /** @param links Links to the hosting daemons. @param bulk Sends when the VM's link has room. */
    BodySender(PeerLinks &links, BulkWriter &bulk) : m_links(links), m_bulk(bulk) {}

    /** Keeps the body of an offer, to be sent on grants of @p peer. */
    void add(OfferId offer, const ServerId &peer, std::shared_ptr<const std::string> body);
    /** Sends what a peer has granted; ignores a grant for an unknown offer. */
    void handleGrant(const ServerId &peer, const LinkBodyGrant &grant);
    /** Drops the rest of a body; does nothing when it has been sent. */
    void drop(OfferId offer) { m_bodies.erase(offer); }
    /**
     * Drops the bodies for a peer whose link is down.
     * @return their offers; their bodies are incomplete at the peer, so they have not run.
     */
    std::vector<OfferId> dropPeer(const ServerId &peer);
    /** @return number of bodies that are kept. */
    std::size_t count() const { return m_bodies.size(); }

private:
    struct Body
    {
        ServerId peer;
        std::shared_ptr<const std::string> bytes;
        std::size_t granted = 0; ///< Bytes that the peer has granted.
        std::size_t sent = 0;    ///< Bytes that have left.
    };

    BulkProgress sendPart(OfferId offer, std::size_t bytes);

    PeerLinks &m_links;
    BulkWriter &m_bulk;
    std::unordered_map<OfferId, Body> m_bodies;
};

/** Counts of BodyReceiver since the start. */
struct BodyTransferCounts
{
    std::uint64_t grantedBytes = 0; ///< Bytes granted.
    std::uint64_t refused = 0;      ///< Transfers that were not accepted.
    std::uint64_t brokenOff = 0;    ///< Accepted transfers that ended before their body was whole.
};

/** Receives the events of BodyReceiver. */
class BodyReceiverListener
{
public:
    virtual ~BodyReceiverListener() = default;
    /** The sender of a call may send the next bytes of its body. */
    virtual void bodyGranted(HostCallId id, std::uint64_t bytes) = 0;
    /** A body is whole. */
    virtual void bodyWhole(HostCall call, std::string body) = 0;
    /** A body of which @p arrived bytes are here will not become whole; its call has not run. */
    virtual void bodyBrokenOff(const HostCall &call, HostReason reason, std::uint64_t arrived) = 0;
};

/** Collects the bodies of calls for the local server, as InputScheduler grants them. */
class BodyReceiver
{
public:
    BodyReceiver(EventLoop &loop, InputSchedulerOptions options, BodyReceiverListener &listener);
    ~BodyReceiver();

    /**
     * Begins the transfer of a call's body when its request is accepted.
     * @param call The call.
     * @param request Its id is that of the call.
     * @param heldBytes Bytes of whole bodies that wait for the server.
     */
    InputAdmission begin(const HostCall &call, const InputTransfer &request,
                         std::uint64_t heldBytes);
    /** Adds bytes to the body of a call; ignores those of an unknown call. */
    void addPart(HostCallId id, const std::string &bytes);
    /** Drops a body whose call has ended. @return bytes that had arrived; nothing without a body.
     */
    std::optional<std::uint64_t> drop(HostCallId id);
    /** Breaks off all transfers, or only those without a grant. */
    void breakOff(HostReason reason, bool onlyNotStarted);
    /** Records bytes that arrived over the VM's link. */
    void recordInput(std::size_t bytes) { m_scheduler.recordInput(bytes); }

    /** @return the decisions and the backlog. */
    const InputScheduler &scheduler() const { return m_scheduler; }
    /** @return counts since the start. */
    const BodyTransferCounts &counts() const { return m_counts; }

private:
    struct Body
    {
        HostCall call;
        std::uint64_t size = 0; ///< Size of the whole body.
        std::string bytes;      ///< Bytes that have arrived.
    };

    void proceed();
    void startTimer();
    void fail(HostCallId id, HostReason reason);

    EventLoop &m_loop;
    InputScheduler m_scheduler;
    BodyReceiverListener &m_listener;
    std::unordered_map<HostCallId, Body> m_bodies;
    BodyTransferCounts m_counts;
    TimerId m_timer = 0;
};

} // namespace cornelwell
