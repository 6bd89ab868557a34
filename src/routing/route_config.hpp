/// \file
/// Defines routing_config: the routes from requests to services, with their attempts and timeouts,
/// and the limits for callers.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

namespace guavashed
{

/// One service of a route and its weight in the route's traffic split.
struct weighted_service
{
    service_name service;
    double weight = 1;

    bool operator==(weighted_service const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, weight);
    }
};

/// Where and how requests of one host name and path prefix are sent.
struct route_config
{
    std::string name;
    /// Host name in the request, without a port.
    std::string host;
    std::string path_prefix;
    /// Idempotent requests may run more than once; all others run at most once for each attempt of
    /// the caller.
    bool idempotent = false;
    /// Longest time until the caller gets an answer.
    std::uint32_t timeout_ms = 0;
    /// Latency objective: an answer within it counts as good.
    std::uint32_t objective_ms = 0;
    /// Maximum number of upstreams that one attempt of the caller may be sent to.
    std::uint32_t max_attempts = 1;
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Requests for the same object run faster on the upstream that handled it last, so they are
    /// sent to the same one if possible.
    bool affinity = false;
    /// Traffic split over services.
    std::vector<weighted_service> parts;
    /// Regions whose upstreams may serve the route; empty for all.
    std::vector<region_name> regions;

    bool operator==(route_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, host, path_prefix, idempotent, timeout_ms, objective_ms, max_attempts,
                priority, affinity, parts, regions);
    }
};

/// Settings of a service that routes may name.
struct routed_service
{
    service_name name;
    std::string health_path;
    std::uint32_t max_connections = 0;
    /// How long an upstream is cold after its start, and the requests per second that it can serve
    /// meanwhile (slow start).
    double warmup_s = 0;
    double warmup_per_s = 0;

    bool operator==(routed_service const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, health_path, max_connections, warmup_s, warmup_per_s);
    }
};

/// Limits on the size of a caller's requests and on the time to send them.
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

/// The routing configuration that entry hosts apply.
struct routing_config
{
    static constexpr std::uint16_t wire_version = 1;

    config_version version;
    std::vector<route_config> routes;
    std::vector<routed_service> services;
    caller_limits limits;

    /// Null if there is no such service. Thread safe.
    routed_service const* find_service(service_name const& name) const;

    bool operator==(routing_config const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, routes, services, limits);
    }
};

/// Checks fields and references of a configuration; the error names the item and its field. Thread
/// safe.
result<void> validate(routing_config const& config);

} // namespace guavashed
