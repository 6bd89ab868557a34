/// \file
/// Defines child_processes, the processes that a test started, by name.
#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fleet_test
{

/// Starts, signals and awaits its own processes by id; all are ended when it goes out of scope.
/// Thread safety: none.
class child_processes
{
public:
    /// Output of `name` goes to FOLDER/name.out, its errors to FOLDER/name.log.
    explicit child_processes(std::string folder) : folder_(std::move(folder)) {}
    child_processes(child_processes const&) = delete;
    child_processes& operator=(child_processes const&) = delete;
    ~child_processes();

    /// `variables` are added to this process's environment, "NAME=value" each.
    void spawn(std::string const& name, std::string const& binary,
               std::vector<std::string> const& arguments,
               std::vector<std::string> const& variables = {});
    void signal(std::string const& name, int number);
    /// Exit code, or minus the signal; -1000 when it does not end in time.
    int await(std::string const& name, double limit_s);
    /// Looks whether it has ended by itself.
    bool running(std::string const& name);
    bool started(std::string const& name) const { return processes_.contains(name); }
    pid_t id_of(std::string const& name) const { return processes_.at(name).id; }
    /// Standard output so far.
    std::string output(std::string const& name) const;

private:
    struct process
    {
        pid_t id = -1;
        bool ended = false;
        int code = 0;
    };
    bool reap(process& item);

    std::string folder_;
    std::map<std::string, process> processes_;
};

std::string read_file(std::string const& path);

} // namespace fleet_test
