/// \file
/// Defines route_table, which matches requests to routes and splits a route's traffic over
/// services.
#pragma once

#include "routing/route_config.hpp"

#include <string_view>
#include <unordered_map>

namespace guavashed
{

/// Lookup table of one routing configuration. Thread safety: none.
class route_table
{
public:
    route_table() = default;
    /// Precondition: `config` is valid.
    explicit route_table(routing_config config);

    /// Finds the route of `host` (a port is ignored) with the longest path prefix of `path`; null
    /// if there is none.
    route_config const* find(std::string_view host, std::string_view path) const;

    /// Chooses the service for the route's next request by smooth weighted round robin.
    /// Precondition: `route` was returned by `find` of this table.
    service_name const& next_service(route_config const& route);

    routing_config const& config() const { return config_; }

private:
    routing_config config_;
    /// Indices of the routes of each host name, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    /// Round robin credit of each part of each route: the weight that it is owed.
    std::vector<std::vector<double>> credit_;
};

} // namespace guavashed
