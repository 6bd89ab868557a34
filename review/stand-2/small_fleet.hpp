/// \file
/// Defines small_fleet, which runs processes of the deploy file on loopback with settings like
/// those of a small deployment, and writes what happens to a record.
#pragma once

#include "base/event_loop.hpp"
#include "child_processes.hpp"
#include "platform_caller.hpp"
#include "platform_upstream.hpp"
#include "transport/http_client.hpp"

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace review
{

struct fleet_options
{
    std::string binary;
    std::string work_folder;
    std::string record_path;
    unsigned entries = 4;
    unsigned upstreams = 6;
    /// Control hosts that back ends know, from the operator's list.
    std::vector<unsigned> announced_to{0, 1, 2, 3, 4};
};

/// Each host has its own address in 127.0.40.0/24; the ports are free ones. Thread safety: none.
class small_fleet
{
public:
    explicit small_fleet(fleet_options options);

    /// Control hosts that the settings written from now on name as seeds; at first 0, 1 and 2.
    void set_seeds(std::vector<unsigned> seeds) { seeds_ = std::move(seeds); }
    void start_control(unsigned i, bool first_start);
    void start_entry(unsigned i);
    void start_upstream(unsigned i);
    /// Ends the process by SIGKILL.
    void kill(std::string const& name);
    static std::string control(unsigned i) { return "c" + std::to_string(i); }
    static std::string entry(unsigned i) { return "e" + std::to_string(i); }

    /// Submits the next configuration to these control hosts in turn until one acknowledges it;
    /// false if none does so in time.
    bool configure(std::vector<unsigned> const& controls, double limit_s);
    /// Drops the route "confirm" from the configurations that are submitted from now on, and adds
    /// the route "added".
    void change_routes() { routes_changed_ = true; }
    /// Status of a read of the configuration at that control host, 0 without an answer.
    unsigned read_config(unsigned control);
    /// Whether the control host says in its metrics that it leads.
    bool leads(unsigned control);
    /// Status of a caller's request to an entry host, 0 without an answer.
    unsigned request(unsigned entry, std::string const& target);
    /// The upstream announces from now on that it drains.
    void drain_upstream(unsigned i) { upstreams_[i]->drain(); }
    standin::platform_upstream_record upstream_record(unsigned i) const
    {
        return upstreams_[i]->record();
    }
    /// Status of the readiness check, 0 without an answer.
    unsigned readiness(unsigned entry);
    bool wait_ready(double limit_s);
    standin::platform_caller_settings caller_settings(unsigned controls, unsigned per_s) const;

    /// Writes a line with the time since the start.
    void record(std::string const& line);
    double seconds() const;

private:
    std::string ip(unsigned host) const;
    std::string control_ip(unsigned i) const { return ip(10 + i); }
    std::string entry_ip(unsigned i) const { return ip(50 + i); }
    std::string address(std::string const& host, unsigned port) const;
    std::string common_settings(std::string const& name, std::string const& host, unsigned i) const;
    void spawn(std::string const& name, std::string const& settings);
    /// Status 0 without an answer.
    guavashed::http_response call(std::string const& endpoint, guavashed::http_request request);

    fleet_options options_;
    fleet_test::child_processes processes_;
    std::ofstream record_;
    std::chrono::steady_clock::time_point started_;
    unsigned base_port_;
    std::vector<unsigned> seeds_{0, 1, 2};
    std::uint64_t version_ = 0;
    bool routes_changed_ = false;
    std::uint64_t last_probe_ = 0;
    std::vector<std::unique_ptr<standin::platform_upstream>> upstreams_;
    guavashed::event_loop event_loop_;
    guavashed::http_client client_;
};

/// Makes `pause_s` throw after SIGTERM or SIGINT, so that the fleet ends with its driver.
void end_on_signals();
void pause_s(double seconds);

} // namespace review
