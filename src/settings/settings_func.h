/** @file settings_func.h Reads and checks settings. */
#pragma once

#include "base/result.h"
#include "settings/settings_type.h"

#include <string>

namespace cornelwell {

/**
 * Reads settings from JSON with comments.
 * @param text The JSON text.
 * @return the settings with defaults filled in, or the first error with its JSON pointer or line.
 */
Result<Settings> parseSettings(const std::string &text);

/**
 * Reads the settings file at @p path.
 * @param path Path of the file.
 * @return the settings, or an error whose place begins with the path.
 */
Result<Settings> loadSettings(const std::string &path);

/** @return the schema as a Markdown table, for docs/OPERATIONS.md. */
std::string settingsMarkdown();

} // namespace cornelwell
