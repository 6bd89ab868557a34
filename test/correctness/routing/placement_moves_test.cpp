// Tests of how many objects change their upstream when upstreams are added or removed.
#include "routing/placement.hpp"
#include "routing_support.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <xxhash.h>

using namespace guavashed;

namespace
{

constexpr int objects_per_region = 20000;
constexpr std::uint32_t slots = 9;

/// Number of upstreams in each region.
using fleet_sizes = std::map<std::string, int>;

struct fleet_change
{
    std::string name;
    std::string callers;
    fleet_sizes after;
};

fleet_sizes const before{{"a", 52}, {"b", 12}, {"c", 64}};

std::vector<fleet_change> changes()
{
    return {{"one of 64 upstreams is removed", "b", {{"a", 52}, {"b", 12}, {"c", 63}}},
            {"half of the 52 are removed", "a", {{"a", 26}, {"b", 12}, {"c", 64}}},
            {"half of the 52 are removed", "b", {{"a", 26}, {"b", 12}, {"c", 64}}},
            {"half of the 64 are removed", "b", {{"a", 52}, {"b", 12}, {"c", 32}}},
            {"30% are added to the 52", "b", {{"a", 68}, {"b", 12}, {"c", 64}}},
            {"the 12 are doubled", "b", {{"a", 52}, {"b", 24}, {"c", 64}}}};
}

std::vector<region_share> shares_for(std::string const& callers, fleet_sizes const& sizes)
{
    std::vector<region_capacity> capacities;
    for (auto const& [region, count] : sizes)
        capacities.push_back({region_name(region), double(count) * slots});
    return spread_over_regions(region_name(callers), capacities, sizes.size());
}

/// How regions were chosen before: the unit interval is cut in the order of names.
std::string by_interval_cut(std::uint64_t object, std::vector<region_share> const& shares)
{
    double remaining = double(XXH3_64bits(&object, sizeof object) >> 11) * 0x1.0p-53;
    for (auto const& item : shares)
    {
        remaining -= item.share;
        if (remaining < 0)
            return item.region.value();
    }
    return shares.back().region.value();
}

enum class method
{
    /// The unit interval is cut in the order of the regions' names, as before.
    interval_cut,
    /// Rendezvous hashing over the regions, then over the upstreams of one.
    two_levels,
    /// What the selector does.
    selector
};

/// The upstream of each object of one region's callers, with the region chosen first.
std::vector<std::string> homes_by_region(std::string const& callers, fleet_sizes const& sizes,
                                         method how)
{
    auto const shares = shares_for(callers, sizes);
    std::vector<std::string> out;
    for (int i = 0; i < objects_per_region; ++i)
    {
        auto const object = object_hash(service_name("roster"), callers + std::to_string(i));
        std::string const region = how == method::interval_cut ? by_interval_cut(object, shares)
                                                               : region_of(object, shares).value();
        std::string best;
        double highest = 0;
        for (int u = 0; u < sizes.at(region); ++u)
        {
            std::string const id = region + std::to_string(u);
            if (double const score = home_score(object, upstream_name(id), slots); score > highest)
            {
                highest = score;
                best = id;
            }
        }
        out.push_back(best);
    }
    return out;
}

/// The same, as picked by an entry host that has just started.
std::vector<std::string> picked_homes(std::string const& callers, fleet_sizes const& sizes)
{
    std::map<failure_domain_name, region_name> regions;
    fleet_changes view;
    view.whole = true;
    for (auto const& [region, count] : sizes)
    {
        regions[failure_domain_name(region)] = region_name(region);
        for (int u = 0; u < count; ++u)
        {
            upstream_row row = roster_upstream(region + std::to_string(u), region);
            row.slots = slots;
            view.upstreams.push_back({row, 0, false});
        }
    }
    upstream_selector board(
        {host_name("e0"), region_name(callers), failure_domain_name(callers), regions}, 1);
    board.configure(roster_config());
    board.apply(view, at_ms(0));
    std::vector<std::string> out;
    attempt_report abandoned;
    abandoned.result = attempt_result::abandoned;
    route_config const route = roster_route();
    for (int i = 0; i < objects_per_region; ++i)
    {
        std::string const object = callers + std::to_string(i);
        pick_refusal refusal;
        auto const chosen = board.choose({route, route.parts[0].service, object, {}, at_ms(1000)},
                                         at_ms(0), refusal);
        if (!chosen || chosen->place != 0)
            throw std::runtime_error("an idle upstream was not picked");
        board.report(*chosen, route.name, abandoned, at_ms(0));
        out.push_back(chosen->id.value());
    }
    return out;
}

std::vector<std::string> homes(std::string const& callers, fleet_sizes const& sizes, method how)
{
    return how == method::selector ? picked_homes(callers, sizes)
                                   : homes_by_region(callers, sizes, how);
}

double moved(fleet_change const& change, method how)
{
    auto const from = homes(change.callers, before, how);
    auto const to = homes(change.callers, change.after, how);
    int count = 0;
    for (std::size_t i = 0; i < from.size(); ++i)
        count += from[i] != to[i];
    return double(count) / objects_per_region;
}

/// Fraction of the objects that have to move: the total variation of the upstreams' shares.
double least(fleet_change const& change)
{
    auto const share_in = [&](fleet_sizes const& sizes, std::string const& region)
    {
        for (auto const& item : shares_for(change.callers, sizes))
            if (item.region.value() == region)
                return item.share;
        return 0.0;
    };
    double out = 0;
    for (auto const& [region, count] : before)
    {
        double const from = share_in(before, region);
        double const to = share_in(change.after, region);
        int const left = change.after.at(region);
        out += std::max(0, count - left) * from / count +
               std::min(count, left) * std::max(0.0, from / count - to / left);
    }
    return out;
}

/// Requests per slot of each region with equal demand in all regions, relative to the mean.
std::map<std::string, double> utilisations(fleet_sizes const& sizes)
{
    std::map<std::string, double> out;
    double total = 0;
    for (auto const& [region, count] : sizes)
        total += count;
    for (auto const& [callers, own] : sizes)
        for (auto const& id : picked_homes(callers, sizes))
        {
            std::string const region = id.substr(0, 1);
            out[region] +=
                total / double(sizes.at(region)) / objects_per_region / double(sizes.size());
        }
    return out;
}

} // namespace

// Guards against cold caches after a change: an object that needlessly changes its upstream takes
// several times as long at the new one, on all upstreams at the same time.
TEST_CASE("a change of the upstreams moves little more than it must")
{
    for (auto const& change : changes())
    {
        INFO(change.name << ", callers in " << change.callers);
        CHECK(moved(change, method::selector) <= 1.3 * least(change) + 0.01);
    }
}

// Guards against moves beyond the operators' target. Listed in KNOWN-RED.txt: three of the six
// changes miss it.
TEST_CASE("a change of the upstreams moves at most 1.15 times what it must", "[!mayfail]")
{
    for (auto const& change : changes())
    {
        INFO(change.name << ", callers in " << change.callers);
        CHECK(moved(change, method::selector) <= 1.15 * least(change));
    }
}

// Guards against saving moves by leaving some regions overloaded and others idle.
TEST_CASE("after each change all regions are equally utilised")
{
    for (auto const& change : changes())
        for (auto const& [region, utilisation] : utilisations(change.after))
        {
            INFO(change.name << ", region " << region);
            CHECK(utilisation == Approx(1).margin(0.03));
        }
}

// Prints the figures of docs/design/placement.md.
TEST_CASE("figures of the moves of objects", "[.figures]")
{
    std::cout << "| change | callers in | least | interval cut | two levels | selector |\n";
    for (auto const& change : changes())
        std::cout << "| " << change.name << " | " << change.callers << " | " << least(change)
                  << " | " << moved(change, method::interval_cut) << " | "
                  << moved(change, method::two_levels) << " | " << moved(change, method::selector)
                  << " |\n";
}
