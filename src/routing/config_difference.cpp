// Lists what differs between two configurations.
#include "routing/config_check.hpp"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <iterator>
#include <map>
#include <sstream>

namespace guavashed
{
namespace
{

/// Fields of one item, in text.
using item_fields = std::map<std::string, std::string>;
using item_table = std::map<std::string, item_fields>;

std::string text_of(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

std::string text_of(std::vector<region_name> const& regions)
{
    std::string out;
    for (auto const& region : regions)
        out += (out.empty() ? "" : ",") + region.value();
    return out.empty() ? "all" : out;
}

item_fields fields_of(route_config const& route, access_config const& access)
{
    std::string parts;
    for (auto const& part : route.parts)
        parts += (parts.empty() ? "" : ",") + part.service.value() + ":" + text_of(part.weight);
    auto const& open = access.public_routes;
    bool const is_public = std::find(open.begin(), open.end(), route.name) != open.end();
    return {{"host", route.host},
            {"path prefix", route.path_prefix},
            {"idempotent", route.idempotent ? "yes" : "no"},
            {"timeout ms", std::to_string(route.timeout_ms)},
            {"latency objective ms", std::to_string(route.objective_ms)},
            {"attempts", std::to_string(route.max_attempts)},
            {"priority", std::to_string(route.priority)},
            {"affinity", route.affinity ? "yes" : "no"},
            {"traffic split", parts},
            {"allowed regions", text_of(route.regions)},
            {"public", is_public ? "yes" : "no"}};
}

item_fields fields_of(routed_service const& service)
{
    return {{"health path", service.health_path},
            {"connections", std::to_string(service.max_connections)},
            {"warm-up s", text_of(service.warmup_s)},
            {"warm-up requests per s", text_of(service.warmup_per_s)}};
}

item_fields fields_of(caller_limits const& limits)
{
    return {{"header bytes", std::to_string(limits.max_header_bytes)},
            {"body bytes", std::to_string(limits.max_body_bytes)},
            {"header timeout ms", std::to_string(limits.header_timeout_ms)},
            {"idle timeout ms", std::to_string(limits.idle_timeout_ms)}};
}

item_fields fields_of(workspace_config const& workspace)
{
    return {{"priority", workspace.priority ? std::to_string(*workspace.priority) : "of the route"},
            {"rate per s", text_of(workspace.rate_per_s)},
            {"burst", text_of(workspace.burst)},
            {"allowed regions", text_of(workspace.regions)}};
}

item_table items_of(checked_config const& config)
{
    item_table out;
    for (auto const& route : config.routing.routes)
        out["route " + route.name] = fields_of(route, config.access);
    for (auto const& service : config.routing.services)
        out["service " + service.name.value()] = fields_of(service);
    for (auto const& workspace : config.access.workspaces)
        out["workspace " + workspace.name.value()] = fields_of(workspace);
    out["limits"] = fields_of(config.routing.limits);
    out["access"] = {{"key required", config.access.requires_key ? "yes" : "no"}};
    return out;
}

std::vector<key_digest> sorted_keys(checked_config const& config, std::string const& item)
{
    std::vector<key_digest> out;
    for (auto const& workspace : config.access.workspaces)
        if ("workspace " + workspace.name.value() == item)
            out = workspace.keys;
    std::sort(out.begin(), out.end());
    return out;
}

/// Number of keys in `left` that are not in `right`; both are sorted.
std::size_t missing_keys(std::vector<key_digest> const& left, std::vector<key_digest> const& right)
{
    std::vector<key_digest> out;
    std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                        std::back_inserter(out));
    return out.size();
}

std::vector<std::string> changed_fields(item_fields const& before, item_fields const& after)
{
    std::vector<std::string> out;
    for (auto const& [field, value] : after)
        if (auto const& old = before.at(field); old != value)
            out.push_back(std::string(field).append(": ").append(old).append(" -> ").append(value));
    return out;
}

} // namespace

std::vector<std::string> config_difference(checked_config const& before,
                                           checked_config const& after)
{
    item_table const old_items = items_of(before);
    item_table const new_items = items_of(after);
    std::vector<std::string> out;
    for (auto const& [item, fields] : old_items)
        if (!new_items.contains(item))
            out.push_back("removed: " + item);
    for (auto const& [item, fields] : new_items)
    {
        auto const old = old_items.find(item);
        if (old == old_items.end())
        {
            out.push_back("added: " + item);
            continue;
        }
        auto changes = changed_fields(old->second, fields);
        auto const old_keys = sorted_keys(before, item);
        auto const new_keys = sorted_keys(after, item);
        if (old_keys != new_keys)
            changes.push_back("keys: " + std::to_string(missing_keys(new_keys, old_keys)) +
                              " added, " + std::to_string(missing_keys(old_keys, new_keys)) +
                              " removed");
        if (!changes.empty())
            out.push_back("changed: " + item + ": " + boost::algorithm::join(changes, "; "));
    }
    return out;
}

} // namespace guavashed
