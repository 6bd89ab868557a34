// Guards against processes that a signal ends while they start: the platform signals all processes
// whose settings have changed, also one that it has just started.
#include "child_processes.hpp"
#include "fleet_options.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace fleet_test;

namespace
{

constexpr char const* host = "e0";
/// Longer than a stop takes without requests.
constexpr double stop_limit_s = 5;

/// An entry host that waits for its settings: it reads them from a pipe.
class starting_host
{
public:
    starting_host() : options_(fleet_options("start", 25600)), processes_(options_.work_folder)
    {
        std::filesystem::remove_all(options_.work_folder);
        std::filesystem::create_directories(options_.work_folder);
        REQUIRE(::mkfifo(path().c_str(), 0600) == 0);
        processes_.spawn(host, options_.binary, {}, {"GUAVASHED_NODE_FILE=" + path()});
        // Returns once the process has opened the other end.
        pipe_ = ::open(path().c_str(), O_WRONLY);
        REQUIRE(pipe_ >= 0);
    }
    ~starting_host()
    {
        if (pipe_ >= 0)
            ::close(pipe_);
    }
    starting_host(starting_host const&) = delete;
    starting_host& operator=(starting_host const&) = delete;

    void signal(int number) { processes_.signal(host, number); }
    child_processes& processes() { return processes_; }

    /// Lets the process read its settings; later reads get them from a file in the pipe's place.
    void give_settings()
    {
        std::string const text = settings();
        std::ofstream(path() + ".new") << text;
        std::filesystem::rename(path() + ".new", path());
        // Writing to a process that has ended must not end this one.
        auto const before = std::signal(SIGPIPE, SIG_IGN);
        auto const written = ::write(pipe_, text.data(), text.size());
        std::signal(SIGPIPE, before);
        ::close(pipe_);
        pipe_ = -1;
        UNSCOPED_INFO("bytes of settings read: " << written);
    }

    bool await_log(std::string const& text) const
    {
        for (int step = 0; step < 100; ++step)
        {
            if (processes_.output(host).find(text) != std::string::npos)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

private:
    std::string path() const { return options_.work_folder + "/" + host + ".conf"; }
    std::string settings() const
    {
        return "node_name=e0\nip=127.0.2.1\nzone=north-a\nregion=north\nzones.north-a=north\n"
               "serves=edge\nlisten.frontend=127.0.2.1:25630\nlisten.readiness=127.0.2.1:25631\n"
               "internal_ports=25610,25620\nseeds=127.0.1.1:25605\nlimits.max_fds=4096\n"
               "heartbeat_ms=300\nbounds=retry_budget=0.2,budget_extra=64,ttl_max_s=5,grace_s=2\n";
    }

    platform_fleet_options options_;
    child_processes processes_;
    int pipe_ = -1;
};

} // namespace

SCENARIO("a signal during the start of a process acts as one that comes later")
{
    starting_host starting;
    GIVEN("a process that has not read its settings yet")
    {
        WHEN("it is told that they have changed")
        {
            starting.signal(SIGHUP);
            starting.give_settings();
            THEN("it starts, and reads them again")
            {
                CHECK(starting.await_log("event=reloaded cause=signal"));
                CHECK(starting.processes().running(host));
            }
        }
        WHEN("it is told to stop")
        {
            starting.signal(SIGTERM);
            starting.give_settings();
            THEN("it ends in order")
            {
                CHECK(starting.processes().await(host, stop_limit_s) == 0);
                CHECK(starting.await_log("event=stopped"));
            }
        }
    }
}
