/// \file
/// Defines the messages by which entry hosts and control hosts know of each other.
#pragma once

#include "base/ids.hpp"
#include "control/configuration.hpp"

#include <array>
#include <cereal/types/array.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <vector>

namespace guavashed
{

/// How one entry host stands with one service.
struct service_load
{
    service_name service;
    std::uint16_t slots = 0;
    std::uint16_t in_flight = 0;
    std::array<std::uint16_t, rank_count> waiting{};
    std::uint32_t mean_service_us = 0;

    bool operator==(service_load const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, slots, in_flight, waiting, mean_service_us);
    }
};

enum class host_phase : std::uint8_t
{
    starting = 0,
    serving = 1,
    leaving = 2
};

/// One entry host as the fleet sees it.
struct host_row
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    incarnation life;
    region_name region;
    failure_domain_name domain;
    endpoint_text caller_endpoint;
    endpoint_text peer_endpoint;
    endpoint_text operator_endpoint;
    host_phase phase = host_phase::starting;
    config_version version;
    std::vector<service_load> services;

    bool operator==(host_row const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, life, region, domain, caller_endpoint, peer_endpoint, operator_endpoint,
                phase, version, services);
    }
};

/// An entry host's place among those that divide a region's cap; it outlives restarts.
struct seat
{
    host_name host;
    region_name region;
    std::uint32_t position = 0;

    bool operator==(seat const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, region, position);
    }
};

/// What is in force: what operators had accepted, and the seats.
struct fleet_state
{
    static constexpr std::uint16_t wire_version = 1;

    configuration config;
    std::vector<seat> seats;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(config, seats);
    }
};

/// Control to an entry host: the newest state, and for how long it may be held to be newest.
struct configuration_push
{
    static constexpr std::uint16_t wire_version = 1;

    config_version version;
    std::uint32_t lease_left_ms = 0;
    /// Absent when the host already has `version`.
    std::optional<configuration> config;
    /// The host's own seats, which change without a new configuration.
    std::uint64_t seats_version = 0;
    std::vector<seat> seats;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, lease_left_ms, config, seats_version, seats);
    }
};

/// Control to an entry host: rows that are new or changed, and hosts that are gone.
struct view_push
{
    static constexpr std::uint16_t wire_version = 1;

    bool whole = false;
    std::vector<host_row> changed;
    /// The sender's number for each row of `changed`, by which load digests name it.
    std::vector<std::uint16_t> numbers;
    std::vector<host_name> gone;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(whole, changed, numbers, gone);
    }
};

/// The numbers of one service's load, in the order of the row's services.
struct load_numbers
{
    std::uint16_t slots = 0;
    std::uint16_t in_flight = 0;
    std::array<std::uint16_t, rank_count> waiting{};
    std::uint32_t mean_service_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(slots, in_flight, waiting, mean_service_us);
    }
};

struct load_digest
{
    std::uint16_t number = 0;
    std::vector<load_numbers> services;

    /// A count of one byte: cereal's own takes eight, of some thirty in all.
    template <class Archive>
    void serialize(Archive& archive)
    {
        auto count = static_cast<std::uint8_t>(services.size());
        archive(number, count);
        services.resize(count);
        for (auto& item : services)
            archive(item);
    }
};

/// Control to an entry host: new loads of hosts in its own region, a few bytes each.
struct load_push
{
    static constexpr std::uint16_t wire_version = 1;

    std::vector<load_digest> loads;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(loads);
    }
};

/// What became of a caller's request; the three outcomes that a caller is told.
enum class outcome_kind : std::uint8_t
{
    answer = 0,
    /// Not one byte of the request reached an upstream that may have started it.
    not_run = 1,
    unknown = 2
};

/// Which part of the system a request's time or failure is charged to, for the burn report.
enum class burn_cause : std::uint8_t
{
    none = 0,
    queueing = 1,
    upstream = 2,
    link = 3,
    refused = 4,
    unknown = 5
};
inline constexpr std::size_t burn_cause_count = 6;

/// One entry host to another: run this for me.
struct forward_request
{
    static constexpr std::uint16_t wire_version = 1;

    request_id id;
    service_name service;
    work_kind_name kind;
    caller_name caller;
    idempotency_key key;
    std::uint32_t first_try = 0;
    std::uint32_t deadline_left_ms = 0;
    std::string target;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, service, kind, caller, key, first_try, deadline_left_ms, target, body);
    }
};

struct forward_reply
{
    static constexpr std::uint16_t wire_version = 1;

    request_id id;
    outcome_kind outcome = outcome_kind::unknown;
    std::uint32_t status = 0;
    burn_cause cause = burn_cause::none;
    std::string reason;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, outcome, status, cause, reason, body);
    }
};

struct forward_cancel
{
    static constexpr std::uint16_t wire_version = 1;

    request_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id);
    }
};

} // namespace guavashed
