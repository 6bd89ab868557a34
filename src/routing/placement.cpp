#include "routing/placement.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace guavashed
{
namespace
{

/// Part of its slots that a region fills with its own requests before any go elsewhere.
constexpr double unhurried_load = 0.5;
/// Keeps the share of a region without callers finite, in slots.
constexpr double least_demand = 0.001;

double unit_interval(std::uint64_t hash)
{
    return (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
}

} // namespace

std::vector<region_share> spread_over_regions(region_name const& own,
                                              std::vector<region_capacity> const& capacities,
                                              std::vector<region_demand> const& demands,
                                              std::size_t regions)
{
    double slots = 0;
    for (auto const& item : capacities)
        slots += item.slots;
    if (slots <= 0)
        return {};
    double const even = slots / static_cast<double>(std::max<std::size_t>(regions, 1));
    auto const demand_of = [&](region_name const& region)
    {
        if (demands.empty())
            return even;
        for (auto const& item : demands)
            if (item.region == region)
                return item.slots;
        return 0.0;
    };
    double demand = demands.empty() ? slots : 0;
    for (auto const& item : demands)
        demand += item.slots;
    // While its upstreams have slots to spare, a region keeps all of its requests.
    double const busy = std::max(demand / slots, demands.empty() ? 0 : unhurried_load);
    std::vector<region_share> out;
    double spare = 0;
    double kept = 0;
    for (auto const& item : capacities)
    {
        if (item.region == own)
            kept = std::min(1.0, busy * item.slots / std::max(demand_of(own), least_demand));
        else
            spare += std::max(0.0, busy * item.slots - demand_of(item.region));
    }
    if (spare <= 0 && kept > 0)
        kept = 1;
    for (auto const& item : capacities)
    {
        double const free = std::max(0.0, busy * item.slots - demand_of(item.region));
        double const share = item.region == own ? kept : spare > 0 ? (1 - kept) * free / spare
                                                                   : (1 - kept) * item.slots / slots;
        if (share > 0)
            out.push_back({item.region, share});
    }
    std::sort(out.begin(), out.end(), [](region_share const& left, region_share const& right)
              { return left.region < right.region; });
    return out;
}

std::uint64_t object_hash(service_name const& service, std::string_view key)
{
    std::uint64_t const seed = XXH3_64bits(service.value().data(), service.value().size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

region_name const& region_of(std::uint64_t object, std::vector<region_share> const& shares)
{
    double total = 0;
    for (auto const& item : shares)
        total += item.share;
    double at = unit_interval(XXH3_64bits(&object, sizeof object)) * total;
    for (auto const& item : shares)
    {
        at -= item.share;
        if (at < 0)
            return item.region;
    }
    return shares.back().region;
}

double home_score(std::uint64_t object, upstream_name const& upstream, double weight)
{
    std::uint64_t const hash =
        XXH3_64bits_withSeed(upstream.value().data(), upstream.value().size(), object);
    return -weight / std::log(unit_interval(hash));
}

std::uint64_t entry_hash(host_name const& host)
{
    return XXH3_64bits(host.value().data(), host.value().size());
}

} // namespace guavashed
