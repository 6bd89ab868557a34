/// \file
/// Defines configuration, what operators have had accepted, in the form that all hosts hold.
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
    /// Largest time that the service may take, for objectives and reports.
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

struct service_config
{
    service_name name;
    std::vector<work_kind_config> kinds;
    /// Share of dispatches that each rank keeps while a flood of another rank lasts.
    std::array<permille, rank_count> floors{};

    bool operator==(service_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, kinds, floors);
    }
};

struct region_config
{
    region_name name;
    std::vector<failure_domain_name> failure_domains;
    /// Client blocks that begin with one of these prefixes are near this region.
    std::vector<std::string> client_prefixes;
    /// Most concurrent work that all entry hosts together may run on the region's upstreams.
    slot_count slot_cap;
    /// Entry hosts among which the cap is divided; a host beyond that number gets no share.
    std::uint32_t entry_hosts = 1;

    bool operator==(region_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, failure_domains, client_prefixes, slot_cap, entry_hosts);
    }
};

/// Traffic that the system may put on the link from one region to another.
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

/// Callers near `from` of which a share is steered to `to`, moved in steps.
struct shift_config
{
    region_name from;
    region_name to;
    /// Share that the operator asked for.
    permille target;
    /// Share in force now; the leader raises it step by step.
    permille current;
    permille step{50};
    /// The shift holds while the receiver's service time is above this share of its normal one.
    permille hold_above{1300};

    bool operator==(shift_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from, to, target, current, step, hold_above);
    }
};

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
    /// False: a host that lost control keeps to its own region. True: it may also use others.
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

/// Reads an operator's intent (JSON). Unknown fields, places and absurd numbers are errors that
/// name the field. The result has version 0. Thread safe.
result<configuration> parse_intent(std::string const& text);

/// The configuration as an intent document, so that an operator can edit what is in force.
std::string print_intent(configuration const& config);

/// One line for each difference, in an operator's words. Thread safe.
std::vector<std::string> describe_changes(configuration const& before, configuration const& after);

} // namespace guavashed
