// Route lookup by host name and longest path prefix, and the traffic split of a route.
#include "routing/route_table.hpp"

#include "base/invariant.hpp"

#include <algorithm>

namespace guavashed
{

route_table::route_table(routing_config config) : config_(std::move(config))
{
    for (std::size_t at = 0; at < config_.routes.size(); ++at)
    {
        by_host_[config_.routes[at].host].push_back(at);
        credit_.emplace_back(config_.routes[at].parts.size(), 0.0);
    }
    for (auto& [host, routes] : by_host_)
        std::sort(routes.begin(), routes.end(),
                  [this](std::size_t left, std::size_t right) {
                      return config_.routes[left].path_prefix.size() >
                             config_.routes[right].path_prefix.size();
                  });
}

route_config const* route_table::find(std::string_view host, std::string_view path) const
{
    auto const colon = host.rfind(':');
    std::string const name(host.substr(0, colon));
    auto const routes = by_host_.find(name);
    if (routes == by_host_.end())
        return nullptr;
    for (std::size_t const at : routes->second)
        if (path.starts_with(config_.routes[at].path_prefix))
            return &config_.routes[at];
    return nullptr;
}

service_name const& route_table::next_service(route_config const& route)
{
    if (route.parts.size() == 1)
        return route.parts.front().service;
    auto const at = static_cast<std::size_t>(&route - config_.routes.data());
    GUAVASHED_INVARIANT(at < credit_.size())
        << "route index " << at << " is out of range: the table has " << credit_.size()
        << " routes";
    // Smooth weighted round robin: the part with the highest credit is next.
    std::vector<double>& credit = credit_[at];
    double total = 0;
    for (std::size_t part = 0; part < credit.size(); ++part)
    {
        credit[part] += route.parts[part].weight;
        total += route.parts[part].weight;
    }
    auto const most = std::max_element(credit.begin(), credit.end());
    *most -= total;
    return route.parts[static_cast<std::size_t>(most - credit.begin())].service;
}

} // namespace guavashed
