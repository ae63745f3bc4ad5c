/** @file settings_change.h Settings that change while the daemon runs. */
#pragma once

#include "node/node_settings.h"

#include <string>
#include <vector>

namespace cornelwell {

/** Names of the settings that differ, by effect. */
struct SettingsChange
{
    std::vector<std::string> applied;         ///< In effect now.
    std::vector<std::string> restartRequired; ///< In effect after a restart.
};

/**
 * Applies the settings that may change while the daemon runs.
 * @param current Settings in effect; updated.
 * @param updated Settings read from the file.
 * @return the settings that differ.
 */
SettingsChange applySettings(NodeSettings &current, const NodeSettings &updated);

/** Detects by polling that a file was written or replaced. */
class FileWatcher
{
public:
    explicit FileWatcher(std::string path);

    const std::string &path() const { return m_path; }
    /** @return true when the file changed since the last call, or since construction. */
    bool hasChanged();

private:
    /** Metadata that changes when the file is written or replaced. */
    struct FileState
    {
        std::int64_t seconds = 0;     ///< Modification time, whole seconds.
        std::int64_t nanoseconds = 0; ///< Modification time, fraction of the second.
        std::int64_t size = -1;       ///< Size in bytes; -1 when the file cannot be examined.
        std::uint64_t inode = 0;      ///< Inode number.
        bool operator==(const FileState &other) const;
    };
    FileState readState() const;

    std::string m_path;
    FileState m_lastState;
};

} // namespace cornelwell
