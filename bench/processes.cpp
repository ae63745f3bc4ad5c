/** @file processes.cpp Spawning, signals, and what /proc tells. */
#include "processes.h"

#include "base/clock.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

extern char **environ;

namespace cornelwell {

namespace {

constexpr std::chrono::milliseconds POLL(50); ///< Pause between looks at processes.
constexpr double KILOBYTES_PER_MEGABYTE = 1024.0;

std::string ownFolder()
{
    char path[4096];
    const ssize_t size = ::readlink("/proc/self/exe", path, sizeof path);
    const std::string whole(path, size > 0 ? static_cast<std::size_t>(size) : 0);
    return whole.substr(0, whole.rfind('/'));
}

double secondsNow()
{
    const SystemClock clock;
    return static_cast<double>(clock.now().ms) / 1000.0;
}

std::vector<char *> pointers(const std::vector<std::string> &texts)
{
    std::vector<char *> list;
    list.reserve(texts.size() + 1);
    for (const std::string &text : texts)
        list.push_back(const_cast<char *>(text.c_str()));
    list.push_back(nullptr);
    return list;
}

} // namespace

Processes::Processes() : m_binaries(ownFolder())
{
    char folder[] = "/tmp/cornelwell-bench-XXXXXX";
    m_folder = ::mkdtemp(folder) != nullptr ? folder : "/tmp";
}

Processes::~Processes()
{
    const std::vector<pid_t> running = m_running;
    for (pid_t pid : running)
        signal(pid, SIGKILL);
}

pid_t Processes::start(const std::string &program, const std::vector<std::string> &words,
                       const std::string &log, const std::string &variable)
{
    std::vector<std::string> all = {m_binaries + "/" + program};
    all.insert(all.end(), words.begin(), words.end());
    std::vector<std::string> variables;
    for (char **one = environ; *one != nullptr; one++)
        variables.emplace_back(*one);
    if (!variable.empty())
        variables.push_back(variable);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string path = m_folder + "/" + log + ".log";
    posix_spawn_file_actions_addopen(&actions, 1, path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t pid = -1;
    if (posix_spawn(&pid, all.front().c_str(), &actions, nullptr, pointers(all).data(),
                    pointers(variables).data())
        != 0)
        pid = -1;
    posix_spawn_file_actions_destroy(&actions);
    if (pid > 0)
        m_running.push_back(pid);
    return pid;
}

void Processes::forget(pid_t pid)
{
    m_running.erase(std::remove(m_running.begin(), m_running.end(), pid), m_running.end());
}

void Processes::signal(pid_t &pid, int signal)
{
    if (pid <= 0)
        return;
    ::kill(pid, signal);
    if (signal != SIGKILL)
        return;
    ::waitpid(pid, nullptr, 0);
    forget(pid);
    pid = -1;
}

int Processes::wait(pid_t &pid, double seconds)
{
    const double until = secondsNow() + seconds;
    int status = 0;
    while (secondsNow() < until) {
        if (::waitpid(pid, &status, WNOHANG) > 0) {
            forget(pid);
            pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
        }
        std::this_thread::sleep_for(POLL);
    }
    return -1;
}

bool Processes::ended(pid_t pid)
{
    int status = 0;
    if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == 0)
        return false;
    forget(pid);
    return true;
}

ProcessUsage usageOf(pid_t pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    ProcessUsage usage;
    std::ifstream stat(folder + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(std::min(text.rfind(')') + 2, text.size())));
    std::string word;
    constexpr int USER_TIME_FIELD = 12; // After the name: state is field 1.
    for (int i = 1; i < USER_TIME_FIELD; i++)
        fields >> word;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.cpuSeconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream status(folder + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            usage.rssMegabytes = std::strtod(line.c_str() + 6, nullptr) / KILOBYTES_PER_MEGABYTE;
    }
    return usage;
}

} // namespace cornelwell
