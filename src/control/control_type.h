/** @file control_type.h What the control of a daemon asks its shell to do. */
#pragma once

#include "control/control_message_type.h"
#include "timeline/timeline_type.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace cornelwell {

/** Open a link to a peer; the answer comes as linkOpened or linkFailed. */
struct OpenLink
{
    Endpoint endpoint; ///< Where to.
};

/** Close a link. */
struct CloseLink
{
    LinkId link = 0;                          ///< The link.
    ResultCode code = ResultCode::PeerClosed; ///< Why.
};

/** Send a message on a link. */
struct SendMessage
{
    LinkId link = 0;        ///< The link.
    ControlMessage message; ///< The message.
};

/** Read the object that lists peers to begin with; the answer comes as contactsRead. */
struct ReadContacts
{};

/** Write that object; the answer comes as contactsWritten. */
struct WriteContacts
{
    std::string text;          ///< New content.
    std::uint64_t version = 0; ///< Version that it replaces; 0 to create it.
};

/** Record an event of the time line. */
struct RecordEvent
{
    EventKind kind = EventKind::LinkOpened; ///< What happened.
    std::string cause;                      ///< What it is linked to.
    std::string subject;                    ///< The thing concerned.
    std::string detail;                     ///< For a person.
    ResultCode code = ResultCode::Ok;       ///< Numbered cause.
};

/** The endpoints of some service may have changed. */
struct MembersChanged
{};

/** The requests that are refused because they crashed backend servers. */
struct QuarantineChanged
{
    std::vector<std::uint64_t> fingerprints; ///< All of them.
};

/** An action of the control. */
using ControlAction
    = std::variant<OpenLink, CloseLink, SendMessage, ReadContacts, WriteContacts, RecordEvent,
                   MembersChanged, QuarantineChanged, WatchHead, ReadChunks, ApplyVersion>;

using ControlActions = std::vector<ControlAction>;

/** Name of the object that lists peers to begin with. */
constexpr const char *CONTACTS_OBJECT = "membership/contacts";

/** Peers to begin with, by data centre. */
using ContactMap = std::map<DataCentreId, std::vector<Endpoint>>;

/** Timeouts and sizes of the control. */
struct ControlOptions
{
    unsigned links = 3;               ///< Links opened inside the data centre.
    Duration heartbeat = {1000};      ///< Pause between heartbeats.
    Duration silence = {3500};        ///< A link silent for this long is closed.
    Duration linkRetry = {500};       ///< Pause before a peer is tried again.
    Duration healRetry = {4000};      ///< Pause between tries to reach servers given up.
    Duration contactsPause = {30000}; ///< Pause between reads of the contacts by a relay.
    Duration isolationGrace = {1500}; ///< A daemon without links watches the platform after this.
    bool watchAlways = false;         ///< Every daemon watches the platform: for comparison only.
    std::vector<Endpoint> seeds;      ///< Peers to try while the platform is down.
    MembershipOptions membership;     ///< Timeouts of the membership.
    DistributionOptions distribution; ///< Timeouts of the distribution.
};

} // namespace cornelwell
