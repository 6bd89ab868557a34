/// \file
/// Defines the daemon's settings, read from flags and environment variables and checked.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "entry/entry_core.hpp"

#include <string>
#include <vector>

namespace guavashed
{

/// A control host, as the settings of every process list it.
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
    /// How long callers may cache a look-up answer.
    milliseconds lookup_validity{5000};
    /// How long an idempotency key is kept.
    std::chrono::seconds key_retention{600};
    /// Only check the settings, then exit.
    bool check_only = false;
};

/// What the command line asked for instead of running.
struct console_output
{
    std::string text;
    int exit_code = 0;
};

struct parsed_settings
{
    daemon_settings settings;
    /// Set when help, version or a usage error is to be printed.
    bool print_only = false;
    console_output print;
};

/// Reads flags, then environment variables (GUAVASHED_ and the flag in capitals), then defaults.
/// Each error names the setting, its source, the value and what is allowed. Thread safety: call
/// before threads start, since it reads the environment.
result<parsed_settings> read_settings(std::vector<std::string> const& arguments);

/// Reads a key file: its first line, of 16 to 256 characters. Thread safe.
result<std::string> read_key_file(std::string const& path, std::string const& setting);

/// The hosts that record keys for a region: up to three, in different failure domains, those of the
/// region first. Thread safe.
std::vector<host_name> choose_recorders(std::vector<control_host> const& controls,
                                        region_name const& region);

} // namespace guavashed
