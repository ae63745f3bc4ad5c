/** @file settings_func.h Reading and validation of settings. */
#pragma once

#include "base/result.h"
#include "settings/settings_type.h"

#include <string>

namespace cornelwell {

/**
 * Reads and validates settings from JSON with comments.
 * @param text The JSON text.
 * @return the settings with defaults filled in, or the first error; its place is a JSON pointer, or
 * the line of a syntax error.
 */
Result<Settings> parseSettings(const std::string &text);

/**
 * Reads and validates a settings file.
 * @param path Path of the file.
 * @return the settings, or an error whose place starts with @p path.
 */
Result<Settings> loadSettings(const std::string &path);

/** @return the schema as a Markdown table, for docs/OPERATIONS.md. */
std::string settingsMarkdown();

} // namespace cornelwell
