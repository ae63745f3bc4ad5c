/** @file settings_change.cpp Comparison of settings; polling of the settings file. */
#include "node/settings_change.h"

#include <sys/stat.h>

namespace cornelwell {

namespace {

bool operator==(const ServiceRetryBudgetOptions &left, const ServiceRetryBudgetOptions &right)
{
    return left.ratio == right.ratio && left.slack == right.slack && left.window == right.window;
}

bool sameIdentity(const DaemonRecord &left, const DaemonRecord &right)
{
    return left.name == right.name && left.dataCentre == right.dataCentre
           && left.linkEndpoint == right.linkEndpoint && left.service == right.service;
}

bool sameListeners(const NodeListeners &left, const NodeListeners &right)
{
    return left.calls == right.calls && left.ready == right.ready && left.reports == right.reports
           && left.metrics == right.metrics;
}

} // namespace

SettingsChange applySettings(NodeSettings &current, const NodeSettings &updated)
{
    SettingsChange change;
    if (!(current.store == updated.store))
        change.applied.emplace_back("store");
    if (!(current.retryBudget == updated.retryBudget))
        change.applied.emplace_back("repeats");
    if (current.grace != updated.grace)
        change.applied.emplace_back("grace");
    if (!(current.revocation == updated.revocation))
        change.applied.emplace_back("revocation");
    current.revocation = updated.revocation;
    current.store = updated.store;
    current.retryBudget = updated.retryBudget;
    current.grace = updated.grace;
    if (!sameIdentity(current.self, updated.self))
        change.restartRequired.emplace_back("self");
    if (!sameListeners(current.listen, updated.listen))
        change.restartRequired.emplace_back("listen");
    if (current.rollouts != updated.rollouts)
        change.restartRequired.emplace_back("rollouts");
    if (!(current.server == updated.server))
        change.restartRequired.emplace_back("server");
    if (!(current.decisions == updated.decisions))
        change.restartRequired.emplace_back("decisions");
    if (current.changeBound != updated.changeBound)
        change.restartRequired.emplace_back("change bound");
    if (current.pace != updated.pace)
        change.restartRequired.emplace_back("pace");
    return change;
}

FileWatcher::FileWatcher(std::string path) : m_path(std::move(path)), m_lastState(readState()) {}

bool FileWatcher::FileState::operator==(const FileState &other) const
{
    return seconds == other.seconds && nanoseconds == other.nanoseconds && size == other.size
           && inode == other.inode;
}

FileWatcher::FileState FileWatcher::readState() const
{
    struct stat state = {};
    if (::stat(m_path.c_str(), &state) != 0)
        return {};
    return {state.st_mtim.tv_sec, state.st_mtim.tv_nsec, state.st_size, state.st_ino};
}

bool FileWatcher::hasChanged()
{
    const FileState now = readState();
    // A file may be absent for a moment while it is being replaced.
    if (now.size < 0 || now == m_lastState)
        return false;
    m_lastState = now;
    return true;
}

} // namespace cornelwell
