/** @file control_codec.cpp CBOR by nlohmann-json; hostile input ends as PeerMalformed. */
#include "control/control_codec.h"

#include "catalogue/entry_func.h"
#include "control/table/message_kinds.h"

#include <nlohmann/json.hpp>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr std::size_t HEADER_PARTS = 3; ///< Kind, stamp ms and stamp counter.
constexpr std::size_t DEPTH_MAX = 16;   ///< Deepest nesting of a message.

Json recordToJson(const MemberRecord &r)
{
    return Json::array({r.id.text(), r.incarnation, r.sequence, r.dataCentre.text(), r.address,
                        r.callPort, r.relayPort, r.peerPort, r.adminPort, r.service.text(), r.slots,
                        static_cast<unsigned>(r.state)});
}

/** Reads an enumerator below Count. */
template<typename Enum>
Enum enumFrom(const Json &value)
{
    const auto number = value.get<unsigned>();
    if (number >= static_cast<unsigned>(Enum::Count))
        throw std::out_of_range("an enumerator that does not exist");
    return static_cast<Enum>(number);
}

MemberRecord recordFromJson(const Json &j)
{
    MemberRecord record;
    record.id = ServerId(j.at(0).get<std::string>());
    record.incarnation = j.at(1).get<std::uint64_t>();
    record.sequence = j.at(2).get<std::uint64_t>();
    record.dataCentre = DataCentreId(j.at(3).get<std::string>());
    record.address = j.at(4).get<std::string>();
    record.callPort = j.at(5).get<std::uint16_t>();
    record.relayPort = j.at(6).get<std::uint16_t>();
    record.peerPort = j.at(7).get<std::uint16_t>();
    record.adminPort = j.at(8).get<std::uint16_t>();
    record.service = ServiceName(j.at(9).get<std::string>());
    record.slots = j.at(10).get<std::uint32_t>();
    record.state = enumFrom<MemberState>(j.at(11));
    return record;
}

Json changesToJson(const std::vector<Change> &changes)
{
    Json list = Json::array();
    for (const Change &change : changes)
        list.push_back(changeToJson(change));
    return list;
}

/** Throws on a malformed element; decodeMessage turns that into PeerMalformed. */
template<typename T>
T valueOrThrow(Result<T> result)
{
    if (!result)
        throw std::invalid_argument(result.error().detail);
    return std::move(result.value());
}

std::vector<Change> changesFromJson(const Json &list)
{
    std::vector<Change> changes;
    for (const Json &item : list)
        changes.push_back(valueOrThrow(changeFromJson(item)));
    return changes;
}

/** Appends the body of each kind of message. */
struct BodyWriter
{
    Json &out;

    void operator()(const HelloMessage &m) const
    {
        out.push_back(m.formatMin);
        out.push_back(m.formatMax);
        out.push_back(recordToJson(m.sender));
        out.push_back(m.revision);
    }
    void operator()(const HeartbeatMessage &m) const
    {
        out.push_back(m.revision);
        out.push_back(m.memberDigest);
    }
    void operator()(const MembersMessage &m) const
    {
        Json list = Json::array();
        for (const MemberClaim &claim : m.claims)
            list.push_back(
                Json::array({recordToJson(claim.record), static_cast<unsigned>(claim.opinion)}));
        out.push_back(std::move(list));
    }
    void operator()(const DigestMessage &m) const
    {
        Json list = Json::array();
        for (const DataCentreDigest &digest : m.digests)
            list.push_back(Json::array({digest.dataCentre.text(), digest.digest}));
        out.push_back(std::move(list));
    }
    void operator()(const ChangesMessage &m) const
    {
        out.push_back(m.revision);
        out.push_back(changesToJson(m.changes));
    }
    void operator()(const ChangesRequest &m) const { out.push_back(m.have); }
    void operator()(const SnapshotMessage &m) const
    {
        Json entries = Json::array();
        for (const EntryInForce &entry : m.entries)
            entries.push_back(entryInForceToJson(entry));
        out.push_back(m.revision);
        out.push_back(std::move(entries));
        out.push_back(changesToJson(m.recent));
    }
    void operator()(const CrashesMessage &m) const
    {
        Json list = Json::array();
        for (const CrashReport &r : m.reports)
            list.push_back(Json::array(
                {r.fingerprint, r.server.text(), r.sequence, r.entry.text(), r.age.ms}));
        out.push_back(std::move(list));
    }
    void operator()(const RetryLater &m) const { out.push_back(m.after.ms); }
};

HelloMessage helloFromJson(const Json &j)
{
    HelloMessage message;
    message.formatMin = j.at(3).get<unsigned>();
    message.formatMax = j.at(4).get<unsigned>();
    message.sender = recordFromJson(j.at(5));
    message.revision = j.at(6).get<Revision>();
    return message;
}

MembersMessage membersFromJson(const Json &j)
{
    MembersMessage message;
    for (const Json &item : j.at(3))
        message.claims.push_back({recordFromJson(item.at(0)), enumFrom<MemberOpinion>(item.at(1))});
    return message;
}

DigestMessage digestFromJson(const Json &j)
{
    DigestMessage message;
    for (const Json &item : j.at(3))
        message.digests.push_back(
            {DataCentreId(item.at(0).get<std::string>()), item.at(1).get<std::uint64_t>()});
    return message;
}

SnapshotMessage snapshotFromJson(const Json &j)
{
    SnapshotMessage message;
    message.revision = j.at(3).get<Revision>();
    for (const Json &item : j.at(4))
        message.entries.push_back(valueOrThrow(entryInForceFromJson(item)));
    message.recent = changesFromJson(j.at(5));
    return message;
}

CrashesMessage crashesFromJson(const Json &j)
{
    CrashesMessage message;
    for (const Json &item : j.at(3))
        message.reports.push_back({item.at(0).get<std::uint64_t>(),
                                   ServerId(item.at(1).get<std::string>()),
                                   item.at(2).get<std::uint64_t>(),
                                   EntryName(item.at(3).get<std::string>()),
                                   {item.at(4).get<std::int64_t>()}});
    return message;
}

/** The kinds are the positions in ControlMessage. */
ControlMessage bodyFromJson(std::size_t kind, const Json &j)
{
    switch (kind) {
    case 0:
        return helloFromJson(j);
    case 1:
        return HeartbeatMessage{j.at(3).get<Revision>(), j.at(4).get<std::uint64_t>()};
    case 2:
        return membersFromJson(j);
    case 3:
        return digestFromJson(j);
    case 4:
        return ChangesMessage{j.at(3).get<Revision>(), changesFromJson(j.at(4))};
    case 5:
        return ChangesRequest{j.at(3).get<Revision>()};
    case 6:
        return snapshotFromJson(j);
    case 7:
        return RetryLater{{j.at(3).get<std::int64_t>()}};
    case 8:
        return crashesFromJson(j);
    default:
        throw std::out_of_range("unknown kind of message " + std::to_string(kind));
    }
}

/** Walks a message without building it, to refuse nesting that would use up the stack. */
class DepthGuard final : public nlohmann::json_sax<Json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override { return ++m_depth <= DEPTH_MAX; }
    bool key(string_t &) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++m_depth <= DEPTH_MAX; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    bool leave()
    {
        m_depth--;
        return true;
    }

    std::size_t m_depth = 0;
};

Json parseCbor(const std::string &bytes)
{
    DepthGuard guard;
    if (!Json::sax_parse(bytes, &guard, Json::input_format_t::cbor))
        throw std::invalid_argument("no CBOR, or nested too deep");
    return Json::from_cbor(bytes);
}

} // namespace

const char *messageKindName(std::size_t kind)
{
    return kind < CONTROL_MESSAGE_KINDS ? MESSAGE_KINDS[kind].name : "unknown";
}

std::string encodeMessage(const StampedMessage &stamped)
{
    Json out = Json::array({stamped.message.index(), stamped.stamp.ms, stamped.stamp.counter});
    std::visit(BodyWriter{out}, stamped.message);
    std::string bytes;
    Json::to_cbor(out, bytes);
    return bytes;
}

Result<StampedMessage> decodeMessage(const std::string &bytes)
{
    try {
        const Json j = parseCbor(bytes);
        if (!j.is_array() || j.size() < HEADER_PARTS)
            return fail(ResultCode::PeerMalformed, "no message");
        StampedMessage stamped;
        stamped.stamp = {j[1].get<std::int64_t>(), j[2].get<std::uint32_t>()};
        stamped.message = bodyFromJson(j[0].get<std::size_t>(), j);
        return stamped;
    } catch (const std::exception &error) {
        return fail(ResultCode::PeerMalformed, error.what());
    }
}

} // namespace cornelwell
