// Checks of a caller's request before it uses the link or an upstream: the lease of the keys, the
// key, and the workspace's credit.
#include "base/log.hpp"
#include "fleet/gateway_node.hpp"

#include <algorithm>
#include <iterator>
#include <optional>

namespace guavashed
{
namespace
{

constexpr unsigned status_unauthorized = 401;

/// Regions that are on both lists, of which an empty one allows all; empty if there is none.
std::optional<std::vector<region_name>> regions_on_both(std::vector<region_name> const& left,
                                                        std::vector<region_name> const& right)
{
    if (left.empty())
        return right;
    if (right.empty())
        return left;
    std::vector<region_name> out;
    std::copy_if(left.begin(), left.end(), std::back_inserter(out),
                 [&right](region_name const& region) { return is_allowed(region, right); });
    if (out.empty())
        return std::nullopt;
    return out;
}

} // namespace

void gateway_node::adopt_access(access_config config)
{
    if (limits_in_force())
        credit_.configure(config);
    // Requests that have passed the checks keep the table that they were checked with.
    access_ = std::make_shared<access_table const>(std::move(config));
    log_change(log_level::info, "access",
               std::string("keys_required=") + (access_->requires_key() ? "1" : "0") +
                   " workspaces=" + std::to_string(access_->workspaces()) +
                   " keys=" + std::to_string(access_->keys()) +
                   " public_routes=" + std::to_string(access_->public_routes()));
}

caller_identity gateway_node::identity_of(call const& item)
{
    caller_identity out;
    out.is_checked = item.access != nullptr && item.access->requires_key();
    if (item.workspace != nullptr)
        out.workspace = &item.workspace->name;
    return out;
}

std::string gateway_node::workspace_text(call const& item)
{
    return item.workspace == nullptr ? std::string() : " workspace=" + item.workspace->name.value();
}

bool gateway_node::authorize(call_ptr const& item)
{
    instant const now = instant::clock::now();
    item->priority = item->route->priority;
    item->regions = item->route->regions;
    bool const requires_key = item->access != nullptr && item->access->requires_key();
    // A view that is older than the table of workspaces knows of no keys, so that strict revocation
    // holds whatever the view says.
    bool const is_checked = requires_key || settings_.key_lease.strict;
    if (!is_checked || (requires_key && item->access->is_public(item->route->name)))
        return true;

    // Lease: whether this host can tell which keys are valid.
    if (detect_pause(now))
    {
        refuse(item, "this host was paused and its list of keys may be stale",
               remaining_ms(view_unverified_until_, now));
        return false;
    }
    if (!lease_.keys_usable(now))
    {
        ++counters_.without_lease;
        refuse(item, "this host cannot check keys at the moment", lease_.expected_grant_ms(now));
        return false;
    }

    if (!requires_key)
        return true;
    // Key: identifies the workspace, whose priority and regions apply.
    if (!identify(item))
        return false;

    // Credit: the limit of the workspace.
    return take_credit(item, now);
}

bool gateway_node::identify(call_ptr const& item)
{
    workspace_config const* const workspace =
        item->facts.key ? item->access->find(*item->facts.key) : nullptr;
    if (workspace == nullptr)
    {
        ++counters_.unauthorized;
        std::string const reason = item->facts.key ? "unknown key" : "no key, or more than one";
        answer(item, protocol_.local_response(status_unauthorized, item->facts.id, reason, 0),
               "unauthorized", reason);
        return false;
    }
    item->workspace = workspace;
    item->priority = workspace->priority.value_or(item->route->priority);
    auto regions = regions_on_both(item->route->regions, workspace->regions);
    if (!regions)
    {
        refuse(item, "no region is allowed for both the route and the workspace", 0);
        return false;
    }
    item->regions = std::move(*regions);
    return true;
}

} // namespace guavashed
