/** @file head_func.cpp The catalogue's objects: versioned JSON, compacted when the tail grows. */
#include "catalogue/head_func.h"

#include "base/json_func.h"
#include "catalogue/entry_func.h"

#include <nlohmann/json.hpp>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr int HEAD_FORMAT = 1;                        ///< Format of the head.
constexpr int SNAPSHOT_FORMAT = 1;                    ///< Format of the chunks.
constexpr std::size_t OBJECT_BYTES_MAX = 1024 * 1024; ///< The platform's largest value.
constexpr std::size_t CHUNK_BYTES = 512 * 1024;       ///< Size at which a chunk is closed.
constexpr std::size_t TAIL_CHANGES_MAX = 64;          ///< Changes in the head before compaction.
constexpr std::size_t TAIL_CHANGES_KEPT = 32;         ///< Changes left by a compaction.
constexpr std::size_t TAIL_BYTES_MAX = 256 * 1024;    ///< Bytes of changes before compaction.

Result<Json> parseObject(const std::string &text, int format)
{
    JsonOptions options;
    options.bytesMax = OBJECT_BYTES_MAX;
    BOOST_OUTCOME_TRY(object, parseJson(text, options));
    if (!object.is_object() || !object.contains("format") || object["format"] != format)
        return fail(ResultCode::CatalogueFormat, "not of format " + std::to_string(format));
    return object;
}

Result<void> checkTail(const CatalogueHead &head)
{
    Revision expected = head.revision + 1 - head.changes.size();
    for (const Change &change : head.changes) {
        if (change.revision != expected++)
            return fail(ResultCode::CatalogueFormat, "the changes of the head are not in order");
    }
    if (head.snapshotRevision + head.changes.size() < head.revision)
        return fail(ResultCode::CatalogueFormat,
                    "versions between snapshot and changes are missing");
    return success();
}

bool tailTooLong(const CatalogueHead &head)
{
    if (head.changes.size() > TAIL_CHANGES_MAX)
        return true;
    std::size_t bytes = 0;
    for (const Change &change : head.changes)
        bytes += changeToJson(change).dump().size();
    return bytes > TAIL_BYTES_MAX;
}

/** Writes a snapshot of the newest version and shortens the tail. */
void compact(PreparedChange &prepared, const std::string &prefix)
{
    CatalogueHead &head = prepared.head;
    prepared.obsolete = head.snapshotChunks;
    prepared.chunks = encodeSnapshot(*prepared.configuration, prefix);
    head.snapshotRevision = head.revision;
    head.snapshotChunks.clear();
    for (const SnapshotChunk &chunk : prepared.chunks)
        head.snapshotChunks.push_back(chunk.name);
    while (head.changes.size() > TAIL_CHANGES_KEPT || tailTooLong(head))
        head.changes.erase(head.changes.begin());
}

std::string chunkText(Revision revision, const Json &entries)
{
    return Json{{"format", SNAPSHOT_FORMAT}, {"revision", revision}, {"entries", entries}}.dump();
}

} // namespace

std::string encodeHead(const CatalogueHead &head)
{
    Json changes = Json::array();
    for (const Change &change : head.changes)
        changes.push_back(changeToJson(change));
    return Json{
        {"format", HEAD_FORMAT},
        {"revision", head.revision},
        {"snapshot", {{"revision", head.snapshotRevision}, {"chunks", head.snapshotChunks}}},
        {"changes", changes}}
        .dump();
}

Result<CatalogueHead> decodeHead(const std::string &text)
{
    BOOST_OUTCOME_TRY(object, parseObject(text, HEAD_FORMAT));
    try {
        CatalogueHead head;
        head.revision = object.at("revision").get<Revision>();
        head.snapshotRevision = object.at("snapshot").at("revision").get<Revision>();
        head.snapshotChunks = object.at("snapshot").at("chunks").get<std::vector<std::string>>();
        for (const Json &item : object.at("changes")) {
            BOOST_OUTCOME_TRY(change, changeFromJson(item));
            head.changes.push_back(std::move(change));
        }
        BOOST_OUTCOME_TRY(checkTail(head));
        return head;
    } catch (const Json::exception &error) {
        return fail(ResultCode::CatalogueFormat, error.what());
    }
}

std::vector<SnapshotChunk> encodeSnapshot(const Configuration &configuration,
                                          const std::string &prefix)
{
    std::vector<SnapshotChunk> chunks;
    Json entries = Json::array();
    std::size_t bytes = 0;
    const auto close = [&] {
        const std::string name
            = "catalogue/snapshot/" + prefix + "/" + std::to_string(chunks.size());
        chunks.push_back({name, chunkText(configuration.revision(), entries)});
        entries = Json::array();
        bytes = 0;
    };
    for (const auto &item : configuration.entries()) {
        Json entry = entryInForceToJson(item.second);
        bytes += entry.dump().size();
        entries.push_back(std::move(entry));
        if (bytes > CHUNK_BYTES)
            close();
    }
    if (!entries.empty() || chunks.empty())
        close();
    return chunks;
}

Result<ConfigurationPtr> decodeSnapshot(Revision revision, const std::vector<std::string> &texts)
{
    EntryMap entries;
    for (const std::string &text : texts) {
        BOOST_OUTCOME_TRY(object, parseObject(text, SNAPSHOT_FORMAT));
        try {
            if (object.at("revision").get<Revision>() != revision)
                return fail(ResultCode::CatalogueFormat, "a chunk of another version");
            for (const Json &item : object.at("entries")) {
                BOOST_OUTCOME_TRY(entry, entryInForceFromJson(item));
                const EntryName name = entry.entry.name;
                entries[name] = std::move(entry);
            }
        } catch (const Json::exception &error) {
            return fail(ResultCode::CatalogueFormat, error.what());
        }
    }
    return Configuration::build(revision, std::move(entries));
}

Result<PreparedChange> prepareChange(const CatalogueHead &head, const Configuration &current,
                                     Change change)
{
    change.revision = head.revision + 1;
    PreparedChange prepared;
    BOOST_OUTCOME_TRY(configurationValue, current.after({change}));
    prepared.configuration = std::move(configurationValue);
    const std::string prefix = std::to_string(change.revision) + "-" + change.id;
    prepared.head = head;
    prepared.head.revision = change.revision;
    prepared.head.changes.push_back(std::move(change));
    if (tailTooLong(prepared.head))
        compact(prepared, prefix);
    if (encodeHead(prepared.head).size() > OBJECT_BYTES_MAX)
        return fail(ResultCode::CatalogueFull,
                    "the head would exceed the platform's size of a value");
    return prepared;
}

} // namespace cornelwell
