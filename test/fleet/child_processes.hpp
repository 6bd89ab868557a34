/// \file
/// Defines child_processes, which manages the processes started by a test, by name.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fleet_test
{

/// Starts, signals and awaits its own processes by process id; the destructor kills those still
/// running.
/// Thread safety: none.
class child_processes
{
public:
    /// Standard output of `name` is appended to FOLDER/name.out, standard error to FOLDER/name.log.
    explicit child_processes(std::string folder) : folder_(std::move(folder)) {}
    child_processes(child_processes const&) = delete;
    child_processes& operator=(child_processes const&) = delete;
    ~child_processes();

    /// Adds `variables`, each "NAME=value", to the environment inherited from this process. Throws
    /// std::runtime_error when the process cannot be started.
    void spawn(std::string const& name, std::string const& binary,
               std::vector<std::string> const& arguments,
               std::vector<std::string> const& variables = {});
    void signal(std::string const& name, int number);
    /// Returns the exit code, the negated signal number, or -1000 when the process is still running
    /// after `limit_s`.
    int await(std::string const& name, double limit_s);
    /// Whether the process was started and has not ended; reaps it if it has.
    bool running(std::string const& name);
    bool started(std::string const& name) const { return processes_.contains(name); }
    std::chrono::steady_clock::time_point started_at(std::string const& name) const
    {
        return processes_.at(name).started_at;
    }
    pid_t id_of(std::string const& name) const { return processes_.at(name).id; }
    /// Standard output written so far.
    std::string output(std::string const& name) const;

private:
    struct process
    {
        pid_t id = -1;
        std::chrono::steady_clock::time_point started_at;
        bool ended = false;
        int code = 0;
    };
    bool reap(process& item);

    std::string folder_;
    std::map<std::string, process> processes_;
};

std::string read_file(std::string const& path);

} // namespace fleet_test
