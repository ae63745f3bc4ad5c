/** @file catalogue_writer.cpp Reads the head, tests the change against it, and replaces the head.
 */
#include "distribution/catalogue_writer.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr unsigned TRIES_MAX = 20;          ///< Lost races and lost answers before giving up.
constexpr Duration PAUSE = {20};            ///< Mean pause between tries, doubled up to 16 times.
constexpr unsigned PAUSE_DOUBLINGS_MAX = 4; ///< Doublings of the pause.

const Change *findChange(const CatalogueHead &head, const std::string &id)
{
    for (const Change &change : head.changes) {
        if (change.id == id)
            return &change;
    }
    return nullptr;
}

bool isTransient(ResultCode code)
{
    return code == ResultCode::PlatformThrottled || code == ResultCode::PlatformUnknown
           || code == ResultCode::PlatformRefused;
}

} // namespace

Result<CatalogueState> readCatalogue(ObjectStore &store)
{
    CatalogueState state;
    state.configuration = Configuration::empty();
    auto object = store.read(CATALOGUE_HEAD_OBJECT);
    if (!object && object.error().code == ResultCode::PlatformNotFound)
        return state;
    if (!object)
        return boost::outcome_v2::failure(object.error());
    state.version = object.value().version;
    BOOST_OUTCOME_TRY(head, decodeHead(object.value().text));
    state.head = head;
    if (head.snapshotRevision > 0) {
        std::vector<std::string> texts;
        for (const std::string &name : head.snapshotChunks) {
            BOOST_OUTCOME_TRY(chunk, store.read(name));
            texts.push_back(chunk.text);
        }
        BOOST_OUTCOME_TRY(snapshot, decodeSnapshot(head.snapshotRevision, texts));
        state.configuration = snapshot;
    }
    BOOST_OUTCOME_TRY(newest, state.configuration->after(head.changes));
    state.configuration = newest;
    return state;
}

CatalogueWriter::CatalogueWriter(ObjectStore &store, std::function<void(Duration)> pause,
                                 std::uint64_t seed)
    : m_store(store), m_pause(std::move(pause)), m_random(seed)
{}

Result<ObjectVersion> CatalogueWriter::write(const CatalogueState &state,
                                             const PreparedChange &prepared)
{
    for (const SnapshotChunk &chunk : prepared.chunks) {
        const auto written = m_store.create(chunk.name, chunk.text);
        // The names carry the change's id: one that stands already is from an earlier try of this
        // change.
        if (!written && written.error().code != ResultCode::PlatformRefused)
            return boost::outcome_v2::failure(written.error());
    }
    const std::string text = encodeHead(prepared.head);
    if (state.version == 0)
        return m_store.create(CATALOGUE_HEAD_OBJECT, text);
    return m_store.update(CATALOGUE_HEAD_OBJECT, text, state.version);
}

void CatalogueWriter::removeObsolete(const PreparedChange &prepared)
{
    for (const std::string &name : prepared.obsolete) {
        const auto object = m_store.read(name);
        if (object)
            (void)m_store.remove(name, object.value().version);
    }
}

Result<AcceptedChange> CatalogueWriter::accept(const Change &change, bool testOnly)
{
    Error last{ResultCode::PlatformUnknown, "gave up", {}};
    bool mayHaveWritten = false;
    for (unsigned tries = 1; tries <= TRIES_MAX; tries++) {
        if (tries > 1)
            m_pause(m_random.jitter(PAUSE * (1 << std::min(tries, PAUSE_DOUBLINGS_MAX))));
        auto state = readCatalogue(m_store);
        if (!state
            && (isTransient(state.error().code)
                || state.error().code == ResultCode::PlatformNotFound)) {
            last = state.error();
            continue;
        }
        if (!state)
            return boost::outcome_v2::failure(mayHaveWritten ? last : state.error());
        const Change *found = findChange(state.value().head, change.id);
        if (found != nullptr)
            return AcceptedChange{found->revision, tries};
        BOOST_OUTCOME_TRY(prepared,
                          prepareChange(state.value().head, *state.value().configuration, change));
        if (testOnly)
            return AcceptedChange{prepared.head.revision, tries};
        const auto written = write(state.value(), prepared);
        if (written) {
            removeObsolete(prepared);
            return AcceptedChange{prepared.head.revision, tries};
        }
        last = written.error();
        mayHaveWritten = mayHaveWritten || last.code == ResultCode::PlatformUnknown;
        if (!isTransient(last.code))
            return boost::outcome_v2::failure(last);
    }
    return boost::outcome_v2::failure(last);
}

} // namespace cornelwell
