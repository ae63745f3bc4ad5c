/** @file settings_change.h What a changed settings file means for a running daemon. */
#pragma once

#include "node/node_settings.h"

#include <string>
#include <vector>

namespace cornelwell {

/** What became of each setting that differs. */
struct SettingsChange
{
    std::vector<std::string> applied;         ///< In force from now on.
    std::vector<std::string> restartRequired; ///< In force after the next start.
};

/**
 * Takes over what may change while the daemon runs.
 * @param inForce Settings in force; changed.
 * @param next Settings of the file.
 * @return what differs.
 */
SettingsChange applySettings(NodeSettings &inForce, const NodeSettings &next);

/** Notices that a file was written or replaced, also when no signal tells it. */
class FileWatcher
{
public:
    explicit FileWatcher(std::string path);

    const std::string &path() const { return m_path; }
    /** @return true when the file is another one than when this was asked last. */
    bool hasChanged();

private:
    /** What tells one state of the file from another. */
    struct Stamp
    {
        std::int64_t seconds = 0;
        std::int64_t nanoseconds = 0;
        std::int64_t size = -1;
        std::uint64_t node = 0;
        bool operator==(const Stamp &other) const;
    };
    Stamp stamp() const;

    std::string m_path;
    Stamp m_last;
};

} // namespace cornelwell
