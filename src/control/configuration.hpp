/// \file
/// Defines configuration, the operators' accepted intent in the form that every host holds, and the
/// functions that read, print and compare it.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <array>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

namespace guavashed
{

/// One kind of work of a service, such as a confirmation or an archive read.
struct work_kind_config
{
    work_kind_name name;
    rank importance = rank::normal;
    /// False for work that must run at most once; its requests carry an idempotency key.
    bool idempotent = true;
    /// Latency objective: the longest time that the service may take, used for objectives and
    /// reports.
    std::uint32_t objective_ms = 1000;
    /// Share of requests that must be answered within the objective.
    permille objective{990};

    bool operator==(work_kind_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, importance, idempotent, objective_ms, objective);
    }
};

/// A service with its kinds of work and its admission floors.
struct service_config
{
    service_name name;
    std::vector<work_kind_config> kinds;
    /// Share of dispatches that each rank is guaranteed while requests of other ranks flood the
    /// queue.
    std::array<permille, rank_count> floors{};

    bool operator==(service_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, kinds, floors);
    }
};

/// A region with its failure domains and the concurrency cap on its upstreams.
struct region_config
{
    region_name name;
    std::vector<failure_domain_name> failure_domains;
    /// Client address blocks that begin with one of these prefixes are near this region.
    std::vector<std::string> client_prefixes;
    /// Upper bound of the requests that all entry hosts together may run at once on the region's
    /// upstreams.
    slot_count slot_cap;
    /// Number of entry hosts among which the cap is divided; further hosts get no share.
    std::uint32_t entry_hosts = 1;

    bool operator==(region_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, failure_domains, client_prefixes, slot_cap, entry_hosts);
    }
};

/// Bound on the traffic that the system sends over the link from one region to another.
struct link_config
{
    region_name from;
    region_name to;
    bytes_per_second cap;

    bool operator==(link_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from, to, cap);
    }
};

/// Steers a share of the callers near `from` to `to`; the share changes in steps.
struct shift_config
{
    region_name from;
    region_name to;
    /// Share that the operator requested.
    permille target;
    /// Share in force; the leader moves it towards the target step by step.
    permille current;
    permille step{50};
    /// The shift does not advance while the receiving region's service time is above this ratio to
    /// its normal service time (1300: 1.3 times).
    permille hold_above{1300};

    bool operator==(shift_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from, to, target, current, step, hold_above);
    }
};

/// The fleet's whole configuration at one version.
struct configuration
{
    static constexpr std::uint16_t wire_version = 1;

    config_version version;
    std::vector<service_config> services;
    std::vector<region_config> regions;
    std::vector<link_config> links;
    std::vector<shift_config> shifts;
    std::vector<upstream_name> leaving_upstreams;
    std::vector<host_name> leaving_hosts;
    /// Whether an entry host without a connection to control may also use upstreams of other
    /// regions.
    bool isolated_crosses_regions = false;

    bool operator==(configuration const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, services, regions, links, shifts, leaving_upstreams, leaving_hosts,
                isolated_crosses_regions);
    }
};

/// The service of that name, or null. Thread safe; the pointer lives as long as `config`.
service_config const* find_service(configuration const& config, service_name const& name);
/// The kind of work of that name, or null. Thread safe.
work_kind_config const* find_kind(service_config const& service, work_kind_name const& name);
/// The region of that name, or null. Thread safe.
region_config const* find_region(configuration const& config, region_name const& name);

/// Parses an operator's intent (JSON). Unknown fields, unknown regions and numbers out of range are
/// errors that name the field. The result has version 0. Thread safe.
result<configuration> parse_intent(std::string const& text);

/// Prints the configuration as an intent document that an operator can edit and submit. Thread
/// safe.
std::string print_intent(configuration const& config);

/// One readable line for each difference between two configurations. Thread safe.
std::vector<std::string> describe_changes(configuration const& before, configuration const& after);

} // namespace guavashed
