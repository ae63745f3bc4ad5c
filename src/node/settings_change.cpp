/** @file settings_change.cpp Compares settings; looks at the state of their file. */
#include "node/settings_change.h"

#include <sys/stat.h>

namespace cornelwell {

namespace {

bool operator==(const ServiceRetryBudgetOptions &one, const ServiceRetryBudgetOptions &other)
{
    return one.ratio == other.ratio && one.slack == other.slack && one.window == other.window;
}

bool sameSelf(const DaemonRecord &one, const DaemonRecord &other)
{
    return one.name == other.name && one.dataCentre == other.dataCentre
           && one.linkEndpoint == other.linkEndpoint && one.service == other.service;
}

bool sameListeners(const NodeListeners &one, const NodeListeners &other)
{
    return one.calls == other.calls && one.ready == other.ready && one.reports == other.reports
           && one.metrics == other.metrics;
}

} // namespace

SettingsChange applySettings(NodeSettings &inForce, const NodeSettings &next)
{
    SettingsChange change;
    if (!(inForce.store == next.store))
        change.applied.emplace_back("store");
    if (!(inForce.repeats == next.repeats))
        change.applied.emplace_back("repeats");
    if (inForce.grace != next.grace)
        change.applied.emplace_back("grace");
    inForce.store = next.store;
    inForce.repeats = next.repeats;
    inForce.grace = next.grace;
    if (!sameSelf(inForce.self, next.self))
        change.restartRequired.emplace_back("self");
    if (!sameListeners(inForce.listen, next.listen))
        change.restartRequired.emplace_back("listen");
    if (!(inForce.server == next.server))
        change.restartRequired.emplace_back("server");
    return change;
}

FileWatcher::FileWatcher(std::string path) : m_path(std::move(path)), m_last(stamp()) {}

bool FileWatcher::Stamp::operator==(const Stamp &other) const
{
    return seconds == other.seconds && nanoseconds == other.nanoseconds && size == other.size
           && node == other.node;
}

FileWatcher::Stamp FileWatcher::stamp() const
{
    struct stat state = {};
    if (::stat(m_path.c_str(), &state) != 0)
        return {};
    return {state.st_mtim.tv_sec, state.st_mtim.tv_nsec, state.st_size, state.st_ino};
}

bool FileWatcher::hasChanged()
{
    const Stamp now = stamp();
    // A file that is just being replaced may be absent for a moment.
    if (now.size < 0 || now == m_last)
        return false;
    m_last = now;
    return true;
}

} // namespace cornelwell
