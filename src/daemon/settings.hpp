/// \file
/// Defines daemon_settings and the functions that read them from flags and environment variables.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "entry/entry_core.hpp"

#include <string>
#include <vector>

namespace guavashed
{

/// A control host as listed in the setting `controls` of every process.
struct control_host
{
    host_name host;
    endpoint_text peer_endpoint;
    region_name region;
    failure_domain_name domain;
};

struct daemon_settings
{
    host_name name;
    region_name region;
    failure_domain_name domain;
    bool entry = false;
    bool control = false;
    endpoint_text caller_listen;
    endpoint_text peer_listen;
    endpoint_text operator_listen;
    std::vector<control_host> controls;
    std::string data_folder;
    std::string chart_folder;
    std::string cluster_key;
    std::string operator_key;
    dispatch_policy policy = dispatch_policy::ranked;
    /// How long callers may cache a look-up response.
    milliseconds lookup_validity{5000};
    /// How long an idempotency key is retained.
    std::chrono::seconds key_retention{600};
    /// Validate the settings and exit.
    bool check_only = false;
};

/// Text that the process prints instead of running, and the exit code that follows.
struct console_output
{
    std::string text;
    int exit_code = 0;
};

struct parsed_settings
{
    daemon_settings settings;
    /// True when the help text or the version is to be printed in place of running.
    bool print_only = false;
    console_output print;
};

/// Reads and validates the settings. A flag takes precedence over its environment variable
/// (GUAVASHED_ and the flag in upper case), which takes precedence over the default. Each error
/// names the setting, its source, its value and the allowed values. Thread safety: call before
/// other threads start, since it reads the environment.
result<parsed_settings> read_settings(std::vector<std::string> const& arguments);

/// Reads a key, which is the first line of the file and must have 16 to 256 characters; `setting`
/// is named in errors. Thread safe.
result<std::string> read_key_file(std::string const& path, std::string const& setting);

/// Selects the hosts that record idempotency-key claims for a region by rendezvous hashing: up to
/// three, each in another failure domain, hosts of the region first. Thread safe.
std::vector<host_name> choose_recorders(std::vector<control_host> const& controls,
                                        region_name const& region);

} // namespace guavashed
