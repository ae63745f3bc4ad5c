/** @file processes.h Processes of an experiment: started with a log each, ended by their ids. */
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace cornelwell {

/** Processor time and memory of a process. */
struct ProcessUsage
{
    double cpuSeconds = 0;   ///< User and system time so far.
    double rssMegabytes = 0; ///< Resident memory now.
};

/** Starts processes in a folder of their own; ends those that still run when destroyed. */
class Processes
{
public:
    Processes();
    ~Processes();
    Processes(const Processes &) = delete;
    Processes &operator=(const Processes &) = delete;

    /** @return folder of logs and settings files. */
    const std::string &folder() const { return m_folder; }
    /**
     * Starts a program that lies beside this one.
     * @param program Name of the program.
     * @param words Arguments.
     * @param log Name of its log.
     * @param variable `NAME=VALUE` for its environment; empty for none.
     * @return its id, or -1.
     */
    pid_t start(const std::string &program, const std::vector<std::string> &words,
                const std::string &log, const std::string &variable = {});
    /** Sends a signal to a process that was started here; after SIGKILL waits for its end. */
    void signal(pid_t &pid, int signal);
    /** Waits for a process to end by itself. @return its exit status, -1 after the limit. */
    int wait(pid_t &pid, double seconds);
    /** @return true when the process has ended; it is forgotten then. */
    bool ended(pid_t pid);

private:
    void forget(pid_t pid);

    std::string m_binaries;
    std::string m_folder;
    std::vector<pid_t> m_running;
};

/** @return usage of a process. */
ProcessUsage usageOf(pid_t pid);

} // namespace cornelwell
