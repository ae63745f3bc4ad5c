/** @file entry_func.h Entries, changes and their JSON form; checks of entry documents. */
#pragma once

#include "base/result.h"
#include "catalogue/entry_type.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace cornelwell {

/**
 * Reads an entry document as operators write it.
 * @param text JSON text.
 * @return the entry, or the first error with its JSON pointer.
 */
Result<Entry> parseEntry(const std::string &text);

/** @return the entry of a JSON object, checked like a document. */
Result<Entry> entryFromJson(const nlohmann::json &object);

/** @return the entry as a JSON object. */
nlohmann::json entryToJson(const Entry &entry);

/** @return the change of a JSON object. */
Result<Change> changeFromJson(const nlohmann::json &object);

/** @return the change as a JSON object. */
nlohmann::json changeToJson(const Change &change);

/** @return an entry in force of a JSON object. */
Result<EntryInForce> entryInForceFromJson(const nlohmann::json &object);

/** @return the entry in force as a JSON object. */
nlohmann::json entryInForceToJson(const EntryInForce &entry);

} // namespace cornelwell
