/// \file
/// Defines fleet, a deployment of real processes on loopback for the demo, the benches and the
/// tests.
#pragma once

#include "child_processes.hpp"

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fleet_test
{

struct fleet_options
{
    std::string example_folder;
    std::string work_folder;
    std::string binary_folder;
    unsigned base_port = 0;
    std::string policy = "ranked";
    unsigned lookup_validity_ms = 2000;
    double fault_share = 0;
    /// Scales the upstreams' service times.
    double service_scale = 1;
    double cold_factor = 1;
    unsigned cold_work = 0;
    std::uint64_t seed = 1;
    /// Number of control hosts; 0 for one in each failure domain. Smaller numbers are spread over
    /// the regions before a second failure domain of a region is used.
    unsigned controls = 0;
};

/// Starts, signals and awaits its own processes by process id; the destructor kills those still
/// running. Thread safety: none.
class fleet
{
public:
    explicit fleet(fleet_options options);
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    /// Starts all processes, confirms the example's intent and waits until every entry host serves
    /// and the expected slots are available. Returns false on failure.
    bool start();
    void start_control(unsigned i);
    void start_entry(unsigned i);
    void start_upstreams(unsigned group);

    /// Runs the operators' command line tool to completion and returns its standard output. Stores
    /// the exit code in `code` when given; otherwise prints the tool's errors on failure.
    std::string tool(std::vector<std::string> const& arguments, int* code = nullptr);
    /// Starts a load generator; `await_load` waits for its end and returns its report.
    void start_load(std::string const& name, std::vector<std::string> const& loads,
                    double duration_s, std::uint64_t seed);
    boost::json::object await_load(std::string const& name);

    void signal(std::string const& process, int number);
    /// Returns the exit code, the negated signal number, or -1000 when the process is still running
    /// after `limit_s`.
    int await(std::string const& process, double limit_s = 60);
    bool running(std::string const& process);
    /// Standard output that the process has written so far.
    std::string output(std::string const& process) const;

    /// Stops upstreams, entry hosts and control hosts in that order. Returns the number of
    /// processes that ended with a code other than 0, including those killed earlier.
    unsigned stop_gracefully();
    /// Sums of the stand-in upstreams' reports. Precondition: all upstreams have ended.
    std::map<std::string, std::uint64_t> upstream_totals() const;
    /// Comparison of the upstreams' ledger with the outcomes that callers received.
    struct key_check
    {
        std::uint64_t confirmations = 0;
        /// Keys that ran more than once.
        std::uint64_t doubled = 0;
        /// Keys that were reported as not run but did run.
        std::uint64_t false_not_run = 0;
        /// Keys that were answered although no upstream ran them.
        std::uint64_t answered_not_run = 0;
    };
    key_check check_keys() const;

    unsigned controls() const { return static_cast<unsigned>(control_names_.size()); }
    unsigned entries() const { return static_cast<unsigned>(entry_names_.size()); }
    unsigned upstream_groups() const { return static_cast<unsigned>(group_names_.size()); }
    std::string const& control_name(unsigned i) const { return control_names_[i]; }
    std::string const& entry_name(unsigned i) const { return entry_names_[i]; }
    std::string const& group_name(unsigned i) const { return group_names_[i]; }
    /// Operator addresses of the control hosts, comma separated.
    std::string operators() const;
    std::string entry_operator_address(unsigned i) const;
    std::string entry_caller_address(unsigned i) const;
    pid_t process_id(std::string const& process) const;
    boost::json::object status();
    boost::json::object const& deployment() const { return deployment_; }
    std::string path(std::string const& file) const;
    std::string data_folder(unsigned control) const;
    bool wait_until(double limit_s, bool (*ready)(fleet&));

private:
    struct location
    {
        std::string region;
        std::string domain;
    };
    struct group
    {
        location where;
        std::string service;
        unsigned first = 0;
        unsigned count = 0;
        unsigned slots = 0;
        double service_ms = 0;
    };

    void place_controls(std::vector<location> const& domains);
    void spawn(std::string const& name, std::string const& binary,
               std::vector<std::string> const& arguments);
    std::string address(unsigned offset) const;
    std::string controls_setting() const;
    std::string seeds() const;
    std::vector<std::string> common_arguments(std::string const& name, location const& where) const;

    fleet_options options_;
    boost::json::object deployment_;
    std::vector<location> control_locations_;
    std::vector<location> entry_locations_;
    std::vector<group> groups_;
    std::vector<std::string> control_names_;
    std::vector<std::string> entry_names_;
    std::vector<std::string> group_names_;
    child_processes processes_;
};

} // namespace fleet_test
