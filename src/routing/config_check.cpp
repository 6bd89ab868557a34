// Finds entries of a configuration that have no effect, and limits that contradict each other.
#include "routing/config_check.hpp"

#include "routing/placement.hpp"

#include <algorithm>
#include <utility>

namespace guavashed
{
namespace
{

/// Collects the findings of one item.
class item_findings
{
public:
    item_findings(std::vector<config_finding>& out, std::string item)
        : out_(out), item_(std::move(item))
    {
    }

    void without_effect(std::string detail)
    {
        out_.push_back({config_finding_kind::without_effect, item_, std::move(detail)});
    }
    void contradiction(std::string detail)
    {
        out_.push_back({config_finding_kind::contradiction, item_, std::move(detail)});
    }

private:
    std::vector<config_finding>& out_;
    std::string item_;
};

/// Returns whether upstreams of at least one of the regions may exist.
bool check_regions(item_findings& findings, std::vector<region_name> const& regions,
                   std::set<region_name> const& known)
{
    if (regions.empty() || known.empty())
        return true;
    bool has_known = false;
    for (auto const& region : regions)
    {
        if (known.contains(region))
            has_known = true;
        else
            findings.without_effect("allowed regions: \"" + region.value() +
                                    "\" is not a region of the deployment");
    }
    if (!has_known)
        findings.without_effect("allowed regions: none of them has upstreams");
    return has_known;
}

void check_route(item_findings& findings, route_config const& route,
                 std::set<region_name> const& known)
{
    // The port is removed from a request's host before it is compared.
    if (route.host.find(':') != std::string::npos)
        findings.without_effect("host: \"" + route.host + "\" contains a port and never matches");
    for (auto const& part : route.parts)
        if (part.weight <= 0)
            findings.without_effect("traffic split: the part of service \"" + part.service.value() +
                                    "\" has weight 0");
    check_regions(findings, route.regions, known);
    if (route.objective_ms > route.timeout_ms)
        findings.contradiction("timeout: " + std::to_string(route.timeout_ms) +
                               " ms is below the latency objective of " +
                               std::to_string(route.objective_ms) + " ms");
}

void check_service(item_findings& findings, routed_service const& service,
                   std::vector<route_config> const& routes)
{
    bool const is_named = std::any_of(
        routes.begin(), routes.end(),
        [&](route_config const& route)
        {
            return std::any_of(route.parts.begin(), route.parts.end(),
                               [&](auto const& part) { return part.service == service.name; });
        });
    if (!is_named)
        findings.without_effect("no route names it");
    if (service.warmup_s > 0 && service.warmup_per_s <= 0)
        findings.contradiction("warm-up: a time is given, but a rate of 0 requests per second");
    if (service.warmup_s <= 0 && service.warmup_per_s > 0)
        findings.contradiction("warm-up: a rate is given, but a time of 0 s");
}

void check_limits(item_findings& findings, caller_limits const& limits)
{
    if (limits.max_header_bytes > limits.max_body_bytes)
        findings.contradiction("header limit: " + std::to_string(limits.max_header_bytes) +
                               " bytes is above the body limit of " +
                               std::to_string(limits.max_body_bytes));
    if (limits.header_timeout_ms > limits.idle_timeout_ms)
        findings.contradiction("header timeout: " + std::to_string(limits.header_timeout_ms) +
                               " ms is above the idle timeout of " +
                               std::to_string(limits.idle_timeout_ms) + " ms");
}

void check_workspace(item_findings& findings, workspace_config const& workspace,
                     std::vector<route_config> const& routes, std::set<region_name> const& known)
{
    if (workspace.burst > 0 && !workspace.is_limited())
        findings.contradiction("burst: a burst is given without a rate, which is no limit");
    if (!check_regions(findings, workspace.regions, known) || workspace.regions.empty())
        return;
    for (auto const& route : routes)
    {
        bool const has_common =
            route.regions.empty() || std::any_of(route.regions.begin(), route.regions.end(),
                                                 [&](region_name const& region)
                                                 { return is_allowed(region, workspace.regions); });
        if (!has_common)
            findings.without_effect("allowed regions: none is among those of route " + route.name +
                                    ", so that route refuses all requests of the workspace");
    }
}

} // namespace

std::vector<config_finding> check_config(checked_config const& config,
                                         std::set<region_name> const& known_regions)
{
    std::vector<config_finding> out;
    auto const& routing = config.routing;
    for (auto const& route : routing.routes)
    {
        item_findings findings(out, "route " + route.name);
        check_route(findings, route, known_regions);
    }
    for (auto const& service : routing.services)
    {
        item_findings findings(out, "service " + service.name.value());
        check_service(findings, service, routing.routes);
    }
    item_findings findings(out, "limits");
    check_limits(findings, routing.limits);
    for (auto const& workspace : config.access.workspaces)
    {
        item_findings of_workspace(out, "workspace " + workspace.name.value());
        check_workspace(of_workspace, workspace, routing.routes, known_regions);
    }
    return out;
}

} // namespace guavashed
