/// \file
/// Defines platform_fleet, which runs the platform daemon as real processes with simulated
/// upstreams.
#pragma once

#include "base/event_loop.hpp"
#include "child_processes.hpp"
#include "platform_caller.hpp"
#include "platform_upstream.hpp"
#include "relay.hpp"
#include "transport/http_client.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fleet_test
{

struct platform_fleet_options
{
    std::string work_folder;
    std::string binary;
    unsigned base_port = 21000;
    unsigned controls = 5;
    /// Control hosts after these that `start` leaves out.
    unsigned spare_controls = 0;
    /// Whether the names of these in the group come before those of all others, or after.
    bool spares_come_first = false;
    unsigned entries = 3;
    unsigned upstreams = 6;
    unsigned work_ms = 30;
    /// Requests that one upstream works on at the same time.
    unsigned slots = 4;
    /// Longest time that the configured routes keep a caller waiting.
    unsigned route_timeout_ms = 1000;
    /// From a stop signal to the end of the process at the latest.
    double grace_s = 6;
    /// Fraction of requests that upstreams execute but never answer.
    double unanswered_share = 0;
    /// Fraction of requests that upstreams reject without executing them.
    double shed_share = 0;
    /// Fraction of requests that upstreams reject with a pause.
    double pause_share = 0;
    /// Upstreams that do so; all others never ask for a pause.
    unsigned pausing_upstreams = 0;
    /// Whether entry hosts reach the upstreams through relays.
    bool relays = false;
    /// Table of workspaces in the configuration, as JSON; empty for a configuration without one.
    std::string tenants;
    /// Further items of the setting `bounds`, each with a comma before it.
    std::string extra_bounds;
    /// Longest body of a request that entry hosts accept.
    std::size_t max_body_bytes = 1024 * 1024;
    /// Length of the files that upstreams serve on a route for downloads; no such route with 0.
    std::size_t file_bytes = 0;
    /// Routes without requests, which make each configuration longer.
    unsigned unused_routes = 0;
    std::uint64_t seed = 1;
};

/// Each host has its own address in 127.0.0.0/8. Regions are "north" and "south", with two failure
/// domains each; hosts and upstreams are assigned to the domains in rotation. Thread safety: none.
class platform_fleet
{
public:
    explicit platform_fleet(platform_fleet_options options);

    /// Starts all processes and upstreams, submits the first configuration, and waits until the
    /// entry hosts are ready. Returns false when a step fails.
    bool start();
    void start_control(unsigned i, bool first_start = false);
    void start_entry(unsigned i);
    /// Starts a new incarnation of upstream `i` with a new id at the same address; a running one is
    /// stopped as if it had crashed. Throws std::runtime_error when it cannot listen.
    void start_upstream(unsigned i, unsigned warmup_ms = 0);
    /// Starts upstream `i` again under the id that it has; it then knows nothing of before.
    void restart_upstream(unsigned i);
    /// Deletes a control host's data directory. Precondition: its process has ended.
    void lose_disk(unsigned control);

    /// Sends a request to a control host and returns the HTTP status, or 0 without a response.
    unsigned request_control(unsigned control, std::string const& method, std::string const& target,
                             std::string const& body = {}, std::string* answer = nullptr);
    /// Sends a caller's request to an entry host; empty without a response. Thread safe.
    std::optional<guavashed::http_response> call_entry(unsigned entry,
                                                       guavashed::http_request request);
    /// Sends a caller's request to an entry host and returns the HTTP status, or 0 without a
    /// response.
    unsigned request_entry(unsigned entry, guavashed::http_request request);
    /// Submits a new configuration version to the control hosts in turn until one accepts it.
    /// Returns false when none does so within `limit_s`. Sends a PATCH if `upsert` is not empty.
    bool configure(std::uint64_t version, double limit_s = 10, std::string const& upsert = {});
    /// Replaces the table of workspaces in the configurations that are submitted from now on.
    void set_tenants(std::string tenants) { options_.tenants = std::move(tenants); }
    /// A metric of a control host, by its name without the prefix; empty without an answer.
    std::optional<std::uint64_t> control_metric(unsigned control, std::string const& name);
    /// Configuration version that a control host returns; 0 when the request fails.
    std::uint64_t read_version(unsigned control);
    std::uint64_t accepted_version() const { return accepted_; }
    guavashed::endpoint_text control_endpoint(unsigned i) const;
    guavashed::endpoint_text entry_endpoint(unsigned i) const;
    /// The control host that most of the others have reported as their leader last.
    unsigned leader() const;
    /// Bytes of the replicated log on a control host's disk.
    std::uintmax_t log_bytes_on_disk(unsigned control) const;
    bool entry_ready(unsigned i);
    bool wait_ready(double limit_s);

    child_processes& processes() { return processes_; }
    std::string control_name(unsigned i) const { return "c" + std::to_string(i); }
    std::string entry_name(unsigned i) const { return "e" + std::to_string(i); }
    standin::platform_upstream& upstream(unsigned i) { return *upstreams_[i]; }
    /// Precondition: `options().relays`.
    relay& relay_of(unsigned i) { return *relays_[i]; }
    /// Records of all incarnations of all upstreams.
    std::vector<standin::platform_upstream_record> records() const;
    std::vector<std::string> lookup_addresses() const;
    /// Settings of a caller in failure domain "north-a" for the routes that `configure` defines.
    standin::platform_caller_settings caller_settings(double per_s, std::uint64_t seed = 1) const;
    platform_fleet_options const& options() const { return options_; }
    std::string log_of(std::string const& name) const { return processes_.output(name); }

private:
    struct location
    {
        std::string region;
        std::string domain;
    };
    static location location_of(unsigned i);
    std::string control_ip(unsigned i) const;
    std::string entry_ip(unsigned i) const;
    std::string address(std::string const& ip, unsigned port) const;
    std::string upstream_address(unsigned i, unsigned port) const;
    std::string common_settings(std::string const& name, std::string const& ip,
                                location const& where) const;
    void spawn(std::string const& name, std::string const& settings);
    void run_upstream(unsigned i, unsigned warmup_ms);
    unsigned all_controls() const { return options_.controls + options_.spare_controls; }
    std::vector<std::string> control_addresses() const;
    guavashed::http_outcome call(guavashed::http_call call);
    std::string document(std::uint64_t version, std::string const& upsert) const;

    platform_fleet_options options_;
    child_processes processes_;
    std::vector<std::unique_ptr<relay>> relays_;
    std::vector<std::unique_ptr<standin::platform_upstream>> upstreams_;
    std::vector<standin::platform_upstream_record> ended_records_;
    std::map<unsigned, unsigned> incarnations_;
    std::uint64_t accepted_ = 0;
    guavashed::event_loop event_loop_;
    guavashed::http_client client_;
};

} // namespace fleet_test
