// Look-ups in a configuration, and the description of changes between two.
#include "control/configuration.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

template <class Items, class Matches>
auto find_item(Items const& items, Matches matches) -> decltype(items.data())
{
    auto const found = std::find_if(items.begin(), items.end(), matches);
    return found == items.end() ? nullptr : &*found;
}

using lines = std::vector<std::string>;

template <class Item, class Same, class Label>
void describe_list(std::vector<Item> const& before, std::vector<Item> const& after, Same same,
                   Label label, lines& out)
{
    for (auto const& item : after)
    {
        auto const* old = find_item(before, [&](Item const& other) { return same(item, other); });
        if (old == nullptr)
            out.push_back("adds " + label(item));
        else if (!(*old == item))
            out.push_back("changes " + label(*old) + " to " + label(item));
    }
    for (auto const& item : before)
        if (find_item(after, [&](Item const& other) { return same(item, other); }) == nullptr)
            out.push_back("removes " + label(item));
}

std::string label_of(service_config const& service)
{
    std::string text = "service " + service.name.value() + " (kinds";
    for (auto const& kind : service.kinds)
        text += " " + kind.name.value();
    text += ", floors";
    for (auto const& floor : service.floors)
        text += " " + std::to_string(floor.value());
    return text + ")";
}

std::string label_of(region_config const& region)
{
    return "region " + region.name.value() + " (cap " + std::to_string(region.slot_cap.value()) +
           " slots over " + std::to_string(region.entry_hosts) + " entry hosts)";
}

std::string label_of(link_config const& link)
{
    return "link " + link.from.value() + " to " + link.to.value() + " (" +
           std::to_string(link.cap.value()) + " bytes/s)";
}

std::string label_of(shift_config const& shift)
{
    return "shift of " + std::to_string(shift.target.value()) + " permille from " +
           shift.from.value() + " to " + shift.to.value() + " in steps of " +
           std::to_string(shift.step.value()) + " (now at " +
           std::to_string(shift.current.value()) + ")";
}

} // namespace

service_config const* find_service(configuration const& config, service_name const& name)
{
    return find_item(config.services, [&](service_config const& s) { return s.name == name; });
}

work_kind_config const* find_kind(service_config const& service, work_kind_name const& name)
{
    return find_item(service.kinds, [&](work_kind_config const& k) { return k.name == name; });
}

region_config const* find_region(configuration const& config, region_name const& name)
{
    return find_item(config.regions, [&](region_config const& r) { return r.name == name; });
}

std::vector<std::string> describe_changes(configuration const& before, configuration const& after)
{
    lines out;
    auto const same_name = [](auto const& a, auto const& b) { return a.name == b.name; };
    auto const same_ends = [](auto const& a, auto const& b)
    { return a.from == b.from && a.to == b.to; };
    auto const equal = [](auto const& a, auto const& b) { return a == b; };
    auto const label = [](auto const& item) { return label_of(item); };
    describe_list(before.services, after.services, same_name, label, out);
    describe_list(before.regions, after.regions, same_name, label, out);
    describe_list(before.links, after.links, same_ends, label, out);
    describe_list(before.shifts, after.shifts, same_ends, label, out);
    describe_list(
        before.leaving_upstreams, after.leaving_upstreams, equal,
        [](upstream_name const& n) { return "leaving upstream " + n.value(); }, out);
    describe_list(
        before.leaving_hosts, after.leaving_hosts, equal,
        [](host_name const& n) { return "leaving host " + n.value(); }, out);
    if (before.isolated_crosses_regions != after.isolated_crosses_regions)
        out.push_back(std::string("isolated hosts ") + (after.isolated_crosses_regions
                                                            ? "may cross regions"
                                                            : "keep to their own region"));
    return out;
}

} // namespace guavashed
