/** @file head_func.h Reads, writes and extends the catalogue's objects on the platform. */
#pragma once

#include "base/result.h"
#include "catalogue/configuration.h"
#include "catalogue/head_type.h"

#include <string>
#include <vector>

namespace cornelwell {

/** @return the head object's text. */
std::string encodeHead(const CatalogueHead &head);

/** @return the head of an object's text; its changes are in order and without gaps. */
Result<CatalogueHead> decodeHead(const std::string &text);

/** One object that holds a part of a snapshot. */
struct SnapshotChunk
{
    std::string name; ///< Name on the platform.
    std::string text; ///< Content.
};

/**
 * Cuts a version into objects below the platform's size of a value.
 * @param configuration The version.
 * @param prefix Unique part of the objects' names.
 * @return the objects, at least one.
 */
std::vector<SnapshotChunk> encodeSnapshot(const Configuration &configuration,
                                          const std::string &prefix);

/**
 * Puts a version together from its chunks.
 * @param revision Version that they must be of.
 * @param texts Contents of the chunks, in order.
 * @return the checked version.
 */
Result<ConfigurationPtr> decodeSnapshot(Revision revision, const std::vector<std::string> &texts);

/** What a writer puts on the platform for one change: first the chunks, then the head. */
struct PreparedChange
{
    CatalogueHead head;                ///< The next head.
    std::vector<SnapshotChunk> chunks; ///< New snapshot; empty when the tail still fits.
    std::vector<std::string> obsolete; ///< Objects to remove once the head is written.
    ConfigurationPtr configuration;    ///< The next version.
};

/**
 * Tests a change without effect and prepares what it would write.
 * @param head The head it follows on.
 * @param current The version of that head.
 * @param change The change; its revision is filled in.
 * @return what to write, or why the change cannot be accepted.
 */
Result<PreparedChange> prepareChange(const CatalogueHead &head, const Configuration &current,
                                     Change change);

} // namespace cornelwell
