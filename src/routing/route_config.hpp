/// \file
/// Defines routing_config: which requests go to which service, how often, and for how long.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

namespace guavashed
{

/// One service of a route and its part of the route's requests.
struct traffic_part
{
    service_name service;
    double weight = 1;

    bool operator==(traffic_part const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, weight);
    }
};

/// Where requests of one host and path prefix go.
struct route_config
{
    std::string name;
    std::string host;
    std::string path_prefix;
    /// Idempotent requests may run more than once; all others at most once per caller's attempt.
    bool idempotent = false;
    /// Longest that a caller is kept waiting for an answer.
    std::uint32_t timeout_ms = 0;
    /// Latency objective: an answer within it earns full credit.
    std::uint32_t objective_ms = 0;
    /// Most upstreams that one caller's attempt may be sent to.
    std::uint32_t max_attempts = 1;
    /// 0 is the most important.
    std::uint32_t priority = 0;
    /// Requests for the same object run faster on the upstream that handled it last.
    bool affinity = false;
    std::vector<traffic_part> parts;
    /// Regions that may serve it; empty for all.
    std::vector<region_name> regions;

    bool operator==(route_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, host, path_prefix, idempotent, timeout_ms, objective_ms, max_attempts,
                priority, affinity, parts, regions);
    }
};

struct routed_service
{
    service_name name;
    std::string health_path;
    std::uint32_t max_connections = 0;
    /// How long an upstream stays cold, and the requests a second that it bears meanwhile.
    double warmup_s = 0;
    double warmup_per_s = 0;

    bool operator==(routed_service const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, health_path, max_connections, warmup_s, warmup_per_s);
    }
};

/// What a caller may send, and how long it may take.
struct caller_limits
{
    std::uint64_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 1024 * 1024;
    std::uint32_t header_timeout_ms = 3000;
    std::uint32_t idle_timeout_ms = 15000;

    bool operator==(caller_limits const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms);
    }
};

struct routing_config
{
    static constexpr std::uint16_t wire_version = 1;

    config_version version;
    std::vector<route_config> routes;
    std::vector<routed_service> services;
    caller_limits limits;

    /// Null when there is no such service. Thread safe.
    routed_service const* find_service(service_name const& name) const;

    bool operator==(routing_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, routes, services, limits);
    }
};

/// Checks what a configuration refers to; the error names the item and its field. Thread safe.
result<void> validate(routing_config const& config);

} // namespace guavashed
