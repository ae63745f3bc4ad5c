/** @file head_type.h The catalogue's objects on the platform: the head and the snapshot chunks. */
#pragma once

#include "catalogue/entry_type.h"

#include <string>
#include <vector>

namespace cornelwell {

/** The head: the newest version's number, the last changes, and where the rest stands. */
struct CatalogueHead
{
    Revision revision = 0;                   ///< Newest version.
    Revision snapshotRevision = 0;           ///< Version of the snapshot; 0 for the empty one.
    std::vector<std::string> snapshotChunks; ///< Objects that hold the snapshot, in order.
    std::vector<Change> changes;             ///< Last changes, in order, up to the newest version.
};

/** Name of the head object on the platform. */
constexpr const char *CATALOGUE_HEAD_OBJECT = "catalogue/head";

} // namespace cornelwell
