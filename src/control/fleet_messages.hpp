/// \file
/// Defines the messages between entry hosts and control hosts (presence, configuration, view,
/// loads) and between entry hosts (forwarded requests).
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

/// The load of one service on one entry host.
struct service_load
{
    service_name service;
    std::uint16_t slots = 0;
    std::uint16_t in_flight = 0;
    /// Queued requests of each rank.
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

/// The state of one entry host as it reports it to the fleet.
struct host_row
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    /// Incarnation of the host's process.
    incarnation life;
    region_name region;
    failure_domain_name domain;
    endpoint_text caller_endpoint;
    endpoint_text peer_endpoint;
    endpoint_text operator_endpoint;
    host_phase phase = host_phase::starting;
    /// Version of the configuration that the host has in force.
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

/// An entry host's position among the hosts that divide a region's slot cap; it survives restarts.
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

/// The state in force: the accepted configuration and the seats.
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

/// Control host to entry host: the newest configuration and the lease during which the entry host
/// may treat it as the newest.
struct configuration_push
{
    static constexpr std::uint16_t wire_version = 1;

    config_version version;
    std::uint32_t lease_left_ms = 0;
    /// Absent when the host already has `version`.
    std::optional<configuration> config;
    /// The receiving host's seats, which change independently of the configuration.
    std::uint64_t seats_version = 0;
    std::vector<seat> seats;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, lease_left_ms, config, seats_version, seats);
    }
};

/// Control host to entry host: rows that are new or changed, and hosts that are no longer present.
struct view_push
{
    static constexpr std::uint16_t wire_version = 1;

    /// True when `changed` holds the rows of all present hosts and replaces the receiver's view.
    bool whole = false;
    std::vector<host_row> changed;
    /// The sender's number for each row of `changed`; load digests refer to rows by it.
    std::vector<std::uint16_t> numbers;
    std::vector<host_name> gone;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(whole, changed, numbers, gone);
    }
};

/// The load of one service without its name; digests list services in the order of the row.
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

/// The loads of one host's services.
struct load_digest
{
    std::uint16_t number = 0;
    std::vector<load_numbers> services;

    /// Writes the number of services as one byte: cereal's own size field takes eight, in a digest
    /// of about thirty bytes.
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

/// Control host to entry host: changed loads of hosts in its own region, a few bytes each.
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

/// The outcome of a request, as reported to the caller.
enum class outcome_kind : std::uint8_t
{
    answer = 0,
    /// No byte of the request reached an upstream that may have started it.
    not_run = 1,
    unknown = 2
};

/// The part of the system to which a request's time or failure is attributed in the burn report
/// (consumption of the error budget).
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

/// Entry host to entry host: a request that the receiver runs on the sender's behalf.
struct forward_request
{
    static constexpr std::uint16_t wire_version = 1;

    request_id id;
    service_name service;
    work_kind_name kind;
    caller_name caller;
    idempotency_key key;
    /// 1 when the caller marked the request as its first try (header `X-Try: 1`), else 0.
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

/// The outcome of a forwarded request.
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

/// Cancels a forwarded request.
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
