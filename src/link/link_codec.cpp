/** @file link_codec.cpp Encodes each message as a CBOR array whose first element is its kind. */
#include "link/link_codec.h"

#include "base/foreign_json_func.h"
#include "link/link_codec_internal.h"
#include "link/link_quota_codec_func.h"
#include "link/link_rollout_internal.h"

namespace cornelwell {

namespace {

using namespace link_json;

constexpr std::size_t LENGTH_PREFIX_BYTES = 4; ///< Big-endian length in front of each message.
constexpr std::size_t DEPTH_MAX = 16; ///< Deepest accepted nesting; messages have at most 6 levels.
constexpr std::size_t COMPACT_THRESHOLD_BYTES
    = 65536; ///< More consumed bytes are erased from the buffer.

/** Kinds of message on the wire, in the order of LinkMessage. */
enum class Kind : std::uint8_t
{
    Hello,
    DaemonState,
    Call,
    Cancel,
    OutcomeRequest,
    Result,
    RouteUpdate,
    CrashReport,
    RoutesRequest,
    BodyPart,
    BodyGrant,
    Ping,
    Pong,
    QuotaRequest,
    QuotaGrant,
    QuotaDemand,
    DepartureRequest,
    Departures,
    Count, ///< Number of kinds; not a kind.
};
static_assert(std::variant_size_v<LinkMessage> == static_cast<std::size_t>(Kind::Count),
              "each message needs a kind");

/** Encodes the fields as one byte string. Each name and value ends with a line feed, which neither
 * may contain. */
Json toJson(const HttpHeaders &headers)
{
    std::vector<std::uint8_t> bytes;
    for (const HttpHeader &field : headers.fields()) {
        bytes.insert(bytes.end(), field.name.begin(), field.name.end());
        bytes.push_back('\n');
        bytes.insert(bytes.end(), field.value.begin(), field.value.end());
        bytes.push_back('\n');
    }
    return Json::binary(std::move(bytes));
}

HttpHeaders headersFromJson(const Json &value)
{
    HttpHeaders headers;
    const auto &bytes = value.get_binary();
    const std::string_view text(reinterpret_cast<const char *>(bytes.data()), bytes.size());
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t nameEnd = text.find('\n', at);
        const std::size_t valueEnd
            = nameEnd == text.npos ? text.npos : text.find('\n', nameEnd + 1);
        if (valueEnd == text.npos)
            throw std::out_of_range("truncated header fields");
        headers.add(std::string(text.substr(at, nameEnd - at)),
                    std::string(text.substr(nameEnd + 1, valueEnd - nameEnd - 1)));
        at = valueEnd + 1;
    }
    return headers;
}

/** Encodes workMs in tenths of a millisecond, and failureRate and requestsPerSecond in thousandths,
 * as integers. */
Json toJson(const HostLoad &load)
{
    Json list = {load.instance,
                 load.service.text(),
                 static_cast<unsigned>(load.state),
                 load.slots,
                 load.running,
                 load.queued,
                 static_cast<int>(load.workMs * 10),
                 static_cast<int>(load.failureRate * 1000),
                 load.cold,
                 load.linkBytesPerSecond,
                 load.linkBytesCommitted,
                 static_cast<std::int64_t>(load.requestsPerSecond * 1000),
                 static_cast<std::int64_t>(load.limitWaitMs),
                 load.startTimeMs,
                 load.linkInBytesCommitted};
    if (!load.version.empty())
        list.push_back(load.version);
    return list;
}

HostLoad loadFromJson(const Json &list)
{
    HostLoad load;
    load.instance = list.at(0).get<std::string>();
    load.service = ServiceName(list.at(1).get<std::string>());
    load.state = static_cast<HostState>(list.at(2).get<unsigned>()
                                        % static_cast<unsigned>(HostState::Count));
    load.slots = list.at(3).get<unsigned>();
    load.running = list.at(4).get<unsigned>();
    load.queued = list.at(5).get<unsigned>();
    load.workMs = list.at(6).get<int>() / 10.0;
    load.failureRate = list.at(7).get<int>() / 1000.0;
    load.cold = list.at(8).get<bool>();
    load.linkBytesPerSecond = optionalAt(list, 9, std::uint64_t{0});
    load.linkBytesCommitted = optionalAt(list, 10, std::uint64_t{0});
    load.requestsPerSecond = optionalAt(list, 11, 0.0) / 1000;
    load.limitWaitMs = optionalAt(list, 12, 0.0);
    load.startTimeMs = optionalAt(list, 13, std::int64_t{0});
    load.linkInBytesCommitted = optionalAt(list, 14, std::uint64_t{0});
    load.version = optionalAt(list, 15, std::string());
    return load;
}

Json toJson(const ServerRestrictions &restrictions)
{
    return {restrictions.instance, restrictions.startTimeMs, restrictions.leaving,
            static_cast<std::int64_t>(restrictions.requestsPerSecond * 1000)};
}

ServerRestrictions restrictionsFromJson(const Json &list)
{
    return {list.at(0).get<std::string>(), list.at(1).get<std::int64_t>(), list.at(2).get<bool>(),
            list.at(3).get<double>() / 1000};
}

Json toJson(const DaemonRecord &record)
{
    return {record.name.text(),       record.dataCentre.text(), record.linkEndpoint.ip,
            record.linkEndpoint.port, record.service.text(),    record.incarnation};
}

DaemonRecord recordFromJson(const Json &list)
{
    DaemonRecord record;
    record.name = ServerId(list.at(0).get<std::string>());
    record.dataCentre = DataCentreId(list.at(1).get<std::string>());
    record.linkEndpoint = {list.at(2).get<std::string>(), list.at(3).get<std::uint16_t>()};
    record.service = ServiceName(list.at(4).get<std::string>());
    record.incarnation = list.at(5).get<std::uint64_t>();
    return record;
}

/** Sets the kind of a message whose first element is left free. */
Json withKind(Kind kind, Json list)
{
    list[0] = kind;
    return list;
}

/** Encodes a message of each type as an array. */
struct Encoder
{
    Json operator()(const LinkHello &m) const
    {
        return {Kind::Hello,        m.format,           toJson(m.sender),       m.version,
                m.recipient.text(), m.acceptsBodyParts, toJson(m.restrictions), m.readsDepartures};
    }
    Json operator()(const LinkDaemonState &m) const
    {
        // Daemons of an earlier build read only the instance of a server that leaves.
        const std::string leaving = m.restrictions.leaving ? m.restrictions.instance : "";
        Json list
            = {Kind::DaemonState, m.name.text(),   m.incarnation,          toJson(m.load),
               m.version,         m.storeAge.ms,   m.shuttingDown,         leaving,
               m.watchingStore,   m.storeEra,      toJson(m.restrictions), m.acceptsBodyTransfers,
               m.readsPings,      m.quotaFleetSize};
        appendRollouts(list, m.rollouts, m.evidence);
        return list;
    }
    Json operator()(const LinkCall &m) const
    {
        Json list = {Kind::Call,
                     m.offer,
                     toBinaryJson(m.request.method),
                     toBinaryJson(m.request.path),
                     toJson(m.request.headers),
                     toBinaryJson(m.request.body),
                     toBinaryJson(m.requestId),
                     m.route,
                     m.instance,
                     m.rank,
                     m.deadlineLeft.ms,
                     m.softDeadlineLeft.ms,
                     m.idempotent,
                     m.isRetry,
                     m.fingerprint,
                     m.queueWaitMax.ms,
                     m.bodyBytesToFollow};
        if (!m.tenant.empty())
            list.push_back(toBinaryJson(m.tenant));
        return list;
    }
    Json operator()(const LinkCancel &m) const { return {Kind::Cancel, m.offer, m.onlyIfQueued}; }
    Json operator()(const LinkOutcomeRequest &m) const { return {Kind::OutcomeRequest, m.offer}; }
    Json operator()(const LinkResult &m) const
    {
        return {Kind::Result,
                m.offer,
                static_cast<unsigned>(m.outcome.state),
                static_cast<unsigned>(m.outcome.reason),
                m.outcome.sentToServer,
                m.outcome.retryAfter.ms,
                m.outcome.processingTime.ms,
                m.outcome.response.status,
                toJson(m.outcome.response.headers),
                toBinaryJson(m.outcome.response.body),
                toJson(m.load),
                m.outcome.nestedFailure,
                m.bodyBytesToFollow};
    }
    Json operator()(const LinkBodyPart &m) const
    {
        return {Kind::BodyPart, m.offer, toBinaryJson(m.bytes)};
    }
    Json operator()(const LinkBodyGrant &m) const { return {Kind::BodyGrant, m.offer, m.bytes}; }
    Json operator()(const LinkPing &m) const { return {Kind::Ping, m.sentAt.ms, m.version}; }
    Json operator()(const LinkPong &m) const
    {
        return {Kind::Pong, m.sentAt.ms, m.report.version, m.report.age.ms, m.report.storeEra};
    }
    Json operator()(const LinkRouteUpdate &m) const
    {
        Json list = {Kind::RouteUpdate};
        appendUpdate(list, m.update);
        return list;
    }
    Json operator()(const LinkRoutesRequest &m) const
    {
        return {Kind::RoutesRequest, m.currentVersion};
    }
    Json operator()(const LinkCrashReport &m) const
    {
        return {Kind::CrashReport, m.report.fingerprint,  m.report.server.text(),
                m.report.sequence, m.report.entry.text(), m.report.age.ms};
    }
    Json operator()(const LinkQuotaRequest &m) const
    {
        return withKind(Kind::QuotaRequest, quotaToJson(m.request));
    }
    Json operator()(const LinkQuotaGrant &m) const
    {
        return withKind(Kind::QuotaGrant, quotaToJson(m.grant));
    }
    Json operator()(const LinkQuotaDemand &m) const
    {
        return withKind(Kind::QuotaDemand, quotaToJson(m.exchange));
    }
    Json operator()(const LinkDepartureRequest &) const
    {
        return Json::array({Kind::DepartureRequest});
    }
    Json operator()(const LinkDepartures &m) const
    {
        Json list = {Kind::Departures};
        for (const Departure &departure : m.departures)
            list.push_back({departure.instance, departure.startTimeMs});
        return list;
    }
};

LinkCall callFromJson(const Json &list)
{
    LinkCall m;
    m.offer = list.at(1).get<OfferId>();
    m.request.method = bytesFromJson(list.at(2));
    m.request.path = bytesFromJson(list.at(3));
    m.request.headers = headersFromJson(list.at(4));
    m.request.body = bytesFromJson(list.at(5));
    m.requestId = bytesFromJson(list.at(6));
    m.route = list.at(7).get<std::string>();
    m.instance = list.at(8).get<std::string>();
    m.rank = list.at(9).get<unsigned>();
    m.deadlineLeft = {list.at(10).get<std::int64_t>()};
    m.softDeadlineLeft = {list.at(11).get<std::int64_t>()};
    m.idempotent = list.at(12).get<bool>();
    m.isRetry = list.at(13).get<bool>();
    m.fingerprint = list.at(14).get<std::uint64_t>();
    m.queueWaitMax = {list.at(15).get<std::int64_t>()};
    m.bodyBytesToFollow = optionalAt(list, 16, std::uint64_t{0});
    if (list.size() > 17)
        m.tenant = bytesFromJson(list.at(17));
    return m;
}

LinkResult resultFromJson(const Json &list)
{
    LinkResult m;
    m.offer = list.at(1).get<OfferId>();
    m.outcome.state = static_cast<RunState>(list.at(2).get<unsigned>()
                                            % static_cast<unsigned>(RunState::Count));
    m.outcome.reason = static_cast<HostReason>(list.at(3).get<unsigned>()
                                               % static_cast<unsigned>(HostReason::Count));
    m.outcome.sentToServer = list.at(4).get<bool>();
    m.outcome.retryAfter = {list.at(5).get<std::int64_t>()};
    m.outcome.processingTime = {list.at(6).get<std::int64_t>()};
    m.outcome.response.status = list.at(7).get<int>();
    m.outcome.response.headers = headersFromJson(list.at(8));
    m.outcome.response.body = bytesFromJson(list.at(9));
    m.load = loadFromJson(list.at(10));
    m.outcome.nestedFailure = list.at(11).get<bool>();
    m.bodyBytesToFollow = optionalAt(list, 12, std::uint64_t{0});
    // A peer of an earlier build passes on what its server sent.
    if (m.outcome.state == RunState::Answered && !isFinalStatus(m.outcome.response.status)) {
        m.outcome.state = RunState::Unknown;
        m.outcome.reason = HostReason::Garbled;
        m.outcome.response = {};
        m.bodyBytesToFollow = 0;
    }
    return m;
}

LinkDepartures departuresFromJson(const Json &list)
{
    LinkDepartures m;
    for (std::size_t i = 1; i < list.size(); i++)
        m.departures.push_back(
            {list.at(i).at(0).get<std::string>(), list.at(i).at(1).get<std::int64_t>()});
    return m;
}

LinkDaemonState stateFromJson(const Json &list)
{
    LinkDaemonState m;
    m.name = ServerId(list.at(1).get<std::string>());
    m.incarnation = list.at(2).get<std::uint64_t>();
    m.load = loadFromJson(list.at(3));
    m.version = list.at(4).get<Revision>();
    m.storeAge = {list.at(5).get<std::int64_t>()};
    m.shuttingDown = list.at(6).get<bool>();
    m.watchingStore = list.at(8).get<bool>();
    m.storeEra = optionalAt(list, 9, std::uint64_t{0});
    m.readsPings = optionalAt(list, 12, false);
    if (list.size() > 10) {
        m.restrictions = restrictionsFromJson(list.at(10));
    } else {
        m.restrictions.instance = list.at(7).get<std::string>();
        m.restrictions.leaving = !m.restrictions.instance.empty();
    }
    m.acceptsBodyTransfers = optionalAt(list, 11, false);
    m.quotaFleetSize = optionalAt(list, 13, std::uint32_t{0});
    readRollouts(list, m.rollouts, m.evidence);
    return m;
}

LinkMessage messageFromJson(const Json &list)
{
    switch (static_cast<Kind>(list.at(0).get<unsigned>())) {
    case Kind::Hello:
        return LinkHello{list.at(1).get<unsigned>(),
                         recordFromJson(list.at(2)),
                         list.at(3).get<Revision>(),
                         ServerId(list.at(4).get<std::string>()),
                         optionalAt(list, 5, false),
                         list.size() > 6 ? restrictionsFromJson(list.at(6)) : ServerRestrictions(),
                         optionalAt(list, 7, false)};
    case Kind::DaemonState:
        return stateFromJson(list);
    case Kind::Call:
        return callFromJson(list);
    case Kind::Cancel:
        return LinkCancel{list.at(1).get<OfferId>(), list.at(2).get<bool>()};
    case Kind::OutcomeRequest:
        return LinkOutcomeRequest{list.at(1).get<OfferId>()};
    case Kind::Result:
        return resultFromJson(list);
    case Kind::RouteUpdate:
        return LinkRouteUpdate{updateFromJson(list)};
    case Kind::CrashReport:
        return LinkCrashReport{
            {list.at(1).get<std::uint64_t>(), ServerId(list.at(2).get<std::string>()),
             list.at(3).get<std::uint64_t>(), EntryName(list.at(4).get<std::string>()),
             Duration{list.at(5).get<std::int64_t>()}}};
    case Kind::RoutesRequest:
        return LinkRoutesRequest{list.at(1).get<Revision>()};
    case Kind::BodyPart:
        return LinkBodyPart{list.at(1).get<OfferId>(), bytesFromJson(list.at(2))};
    case Kind::BodyGrant:
        return LinkBodyGrant{list.at(1).get<OfferId>(), list.at(2).get<std::uint64_t>()};
    case Kind::Ping:
        return LinkPing{{list.at(1).get<std::int64_t>()}, list.at(2).get<Revision>()};
    case Kind::Pong:
        return LinkPong{{list.at(1).get<std::int64_t>()},
                        {list.at(2).get<Revision>(), Duration{list.at(3).get<std::int64_t>()},
                         list.at(4).get<std::uint64_t>()}};
    case Kind::QuotaRequest:
        return LinkQuotaRequest{quotaRequestFromJson(list)};
    case Kind::QuotaGrant:
        return LinkQuotaGrant{quotaGrantFromJson(list)};
    case Kind::QuotaDemand:
        return LinkQuotaDemand{quotaExchangeFromJson(list)};
    case Kind::DepartureRequest:
        return LinkDepartureRequest{};
    case Kind::Departures:
        return departuresFromJson(list);
    case Kind::Count:
        break;
    }
    throw std::out_of_range("unknown kind of message");
}

} // namespace

std::string encodeLinkMessage(const LinkMessage &message)
{
    std::string bytes(LENGTH_PREFIX_BYTES, '\0');
    Json::to_cbor(std::visit(Encoder{}, message), bytes);
    const std::size_t size = bytes.size() - LENGTH_PREFIX_BYTES;
    for (std::size_t i = 0; i < LENGTH_PREFIX_BYTES; i++)
        bytes[i] = static_cast<char>(size >> (8 * (LENGTH_PREFIX_BYTES - 1 - i)) & 0xff);
    return bytes;
}

Result<LinkMessage> decodeLinkMessage(std::string_view bytes)
{
    try {
        BOOST_OUTCOME_TRY(value, parseCbor(bytes, DEPTH_MAX, ResultCode::PeerMalformed));
        return messageFromJson(value);
    } catch (const std::exception &error) {
        return fail(ResultCode::PeerMalformed, error.what());
    }
}

std::size_t LinkReader::messageLength() const
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < LENGTH_PREFIX_BYTES; i++)
        size = size << 8 | static_cast<unsigned char>(m_buffer[m_consumed + i]);
    return size;
}

bool LinkReader::ready() const
{
    if (m_buffer.size() - m_consumed < LENGTH_PREFIX_BYTES)
        return false;
    const std::size_t size = messageLength();
    return size > LINK_MESSAGE_BYTES_MAX
           || m_buffer.size() - m_consumed >= LENGTH_PREFIX_BYTES + size;
}

Result<LinkMessage> LinkReader::next()
{
    const std::size_t size = messageLength();
    if (size > LINK_MESSAGE_BYTES_MAX)
        return fail(ResultCode::PeerTooLarge, "the message is larger than the size limit");
    const std::string_view all(m_buffer);
    Result<LinkMessage> message
        = decodeLinkMessage(all.substr(m_consumed + LENGTH_PREFIX_BYTES, size));
    m_consumed += LENGTH_PREFIX_BYTES + size;
    if (m_consumed == m_buffer.size() || m_consumed > COMPACT_THRESHOLD_BYTES) {
        m_buffer.erase(0, m_consumed);
        m_consumed = 0;
    }
    return message;
}

} // namespace cornelwell
