// Validation of the routing configuration.
#include "routing/route_config.hpp"

#include <set>

namespace guavashed
{
namespace
{

error invalid(std::string const& item, std::string detail)
{
    return fail(error_code::invalid_document, "validate configuration", item, std::move(detail));
}

result<void> validate_route(routing_config const& config, route_config const& route)
{
    std::string const item = "route " + route.name;
    bool const has_slashes = !route.path_prefix.empty() && route.path_prefix.front() == '/' &&
                             route.path_prefix.back() == '/';
    if (route.host.empty())
        return invalid(item, "host: must not be empty");
    if (!has_slashes)
        return invalid(item, "path prefix: must begin and end with a slash, got \"" +
                                 route.path_prefix + "\"");
    if (route.max_attempts == 0)
        return invalid(item, "attempts: must be at least 1");
    if (route.timeout_ms == 0)
        return invalid(item, "timeout: must be above 0 ms");
    if (route.parts.empty())
        return invalid(item, "service: at least one is required");
    double total = 0;
    for (auto const& part : route.parts)
    {
        if (config.find_service(part.service) == nullptr)
            return invalid(item, "service: \"" + part.service.value() + "\" does not exist");
        if (!(part.weight >= 0))
            return invalid(item, "weight: must not be below 0, got " + std::to_string(part.weight));
        total += part.weight;
    }
    if (!(total > 0))
        return invalid(item, "weight: all weights are 0");
    return boost::outcome_v2::success();
}

} // namespace

routed_service const* routing_config::find_service(service_name const& name) const
{
    for (auto const& service : services)
        if (service.name == name)
            return &service;
    return nullptr;
}

result<void> validate(routing_config const& config)
{
    std::set<std::pair<std::string, std::string>> matches;
    for (auto const& route : config.routes)
    {
        BOOST_OUTCOME_TRY(validate_route(config, route));
        if (!matches.emplace(route.host, route.path_prefix).second)
            return invalid("route " + route.name,
                           "path prefix: another route has the same host and prefix");
    }
    return boost::outcome_v2::success();
}

} // namespace guavashed
