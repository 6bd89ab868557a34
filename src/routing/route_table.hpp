/// \file
/// Defines route_table, which finds the route of a request.
#pragma once

#include "routing/route_config.hpp"

#include <string_view>
#include <unordered_map>

namespace guavashed
{

/// Thread safety: none.
class route_table
{
public:
    route_table() = default;
    /// Precondition: `config` is valid.
    explicit route_table(routing_config config);

    /// The route of that host with the longest prefix that begins `path`; null when there is none.
    route_config const* find(std::string_view host, std::string_view path) const;

    /// Service that takes the route's next request, so that each part gets its weight's share.
    /// Precondition: `route` came from `find` of this table.
    service_name const& next_service(route_config const& route);

    routing_config const& config() const { return config_; }

private:
    routing_config config_;
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    /// What each part of each route has earned and not yet been given.
    std::vector<std::vector<double>> credit_;
};

} // namespace guavashed
