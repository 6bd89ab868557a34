/// \file
/// Defines fleet, a deployment of real processes on loopback, for the demo, the benches and tests.
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
    /// Control hosts; 0 for one in each failure domain. Fewer are spread over the regions first.
    unsigned controls = 0;
};

/// Starts, signals and awaits its own processes by id; all are ended when it goes out of scope.
class fleet
{
public:
    explicit fleet(fleet_options options);
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    /// Starts all processes and confirms the example's intent; false with a message on failure.
    bool start();
    void start_control(unsigned i);
    void start_entry(unsigned i);
    void start_upstreams(unsigned group);

    /// Runs the operators' tool; its output, and its exit code in `code`.
    std::string tool(std::vector<std::string> const& arguments, int* code = nullptr);
    /// Starts a load; `await_load` gives its report.
    void start_load(std::string const& name, std::vector<std::string> const& loads,
                    double duration_s, std::uint64_t seed);
    boost::json::object await_load(std::string const& name);

    void signal(std::string const& process, int number);
    /// Exit code, or minus the signal; -1000 when it does not end in time.
    int await(std::string const& process, double limit_s = 60);
    bool running(std::string const& process);
    /// Standard output of a process that has ended.
    std::string output(std::string const& process) const;

    /// Stops upstreams, entry hosts and control hosts in that order; the number of bad exits.
    unsigned stop_gracefully();
    /// Sums of the stand-in upstreams' reports; all upstreams must have ended.
    std::map<std::string, std::uint64_t> upstream_totals() const;
    /// Keys that ran more than once, and keys that were said not to have run but did.
    struct key_check
    {
        std::uint64_t confirmations = 0;
        std::uint64_t doubled = 0;
        std::uint64_t false_not_run = 0;
        std::uint64_t answered_not_run = 0;
    };
    key_check check_keys() const;

    unsigned controls() const { return static_cast<unsigned>(control_names_.size()); }
    unsigned entries() const { return static_cast<unsigned>(entry_names_.size()); }
    unsigned upstream_groups() const { return static_cast<unsigned>(group_names_.size()); }
    std::string const& control_name(unsigned i) const { return control_names_[i]; }
    std::string const& entry_name(unsigned i) const { return entry_names_[i]; }
    std::string const& group_name(unsigned i) const { return group_names_[i]; }
    /// Operators' ports of the control hosts, comma separated.
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
    struct place
    {
        std::string region;
        std::string domain;
    };
    struct group
    {
        place where;
        std::string service;
        unsigned first = 0;
        unsigned count = 0;
        unsigned slots = 0;
        double service_ms = 0;
    };

    void place_controls(std::vector<place> const& domains);
    void spawn(std::string const& name, std::string const& binary,
               std::vector<std::string> const& arguments);
    std::string address(unsigned offset) const;
    std::string controls_setting() const;
    std::string seeds() const;
    std::vector<std::string> common_arguments(std::string const& name, place const& where) const;

    fleet_options options_;
    boost::json::object deployment_;
    std::vector<place> control_places_;
    std::vector<place> entry_places_;
    std::vector<group> groups_;
    std::vector<std::string> control_names_;
    std::vector<std::string> entry_names_;
    std::vector<std::string> group_names_;
    child_processes processes_;
};

} // namespace fleet_test
