// Spawns, signals and reaps the processes of a test.
#include "child_processes.hpp"

#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char** environ;

namespace fleet_test
{

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream out;
    out << file.rdbuf();
    return out.str();
}

child_processes::~child_processes()
{
    for (auto& [name, item] : processes_)
    {
        if (item.ended || item.id <= 0)
            continue;
        ::kill(item.id, SIGCONT);
        ::kill(item.id, SIGKILL);
        ::waitpid(item.id, nullptr, 0);
    }
}

void child_processes::spawn(std::string const& name, std::string const& binary,
                            std::vector<std::string> const& arguments,
                            std::vector<std::string> const& variables)
{
    std::vector<std::string> words{binary};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    for (auto& word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    std::vector<std::string> added = variables;
    std::vector<char*> environment;
    for (char** item = environ; *item != nullptr; ++item)
        environment.push_back(*item);
    for (auto& variable : added)
        environment.push_back(variable.data());
    environment.push_back(nullptr);

    std::string const output = folder_ + "/" + name + ".out";
    std::string const errors = folder_ + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_addopen(&actions, 2, errors.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    // Children must not inherit the listening sockets of the stand-ins in this process, as the
    // sockets would then stay open after the stand-ins have stopped.
    constexpr int first_inherited = 3;
    posix_spawn_file_actions_addclosefrom_np(&actions, first_inherited);
    process item;
    item.started_at = std::chrono::steady_clock::now();
    int const failure =
        ::posix_spawn(&item.id, binary.c_str(), &actions, nullptr, argv.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw std::runtime_error("cannot start " + name + " (" + binary +
                                 "): " + std::strerror(failure));
    processes_[name] = item;
}

void child_processes::signal(std::string const& name, int number)
{
    process& item = processes_.at(name);
    if (!reap(item))
        ::kill(item.id, number);
}

bool child_processes::reap(process& item)
{
    int state = 0;
    if (!item.ended && ::waitpid(item.id, &state, WNOHANG) == item.id)
    {
        item.ended = true;
        item.code = WIFEXITED(state) ? WEXITSTATUS(state) : -WTERMSIG(state);
    }
    return item.ended;
}

int child_processes::await(std::string const& name, double limit_s)
{
    process& item = processes_.at(name);
    auto const until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(int(limit_s * 1000));
    while (!reap(item))
    {
        if (std::chrono::steady_clock::now() > until)
            return -1000;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return item.code;
}

bool child_processes::running(std::string const& name)
{
    auto const at = processes_.find(name);
    return at != processes_.end() && !reap(at->second);
}

std::string child_processes::output(std::string const& name) const
{
    return read_file(folder_ + "/" + name + ".out");
}

} // namespace fleet_test
