// Spreads requests over regions by capacity, and objects over regions and upstreams by weighted
// rendezvous hashing.
#include "routing/placement.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace guavashed
{
namespace
{

/// Maps a hash to the open interval (0, 1), so that its logarithm is finite and not 0.
double unit_interval(std::uint64_t hash)
{
    return (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
}

/// Score in weighted rendezvous hashing: each name has the highest one with a probability in
/// proportion to its weight.
double rendezvous_score(std::uint64_t seed, std::string_view name, double weight)
{
    return -weight / std::log(unit_interval(XXH3_64bits_withSeed(name.data(), name.size(), seed)));
}

} // namespace

std::vector<region_share> spread_over_regions(region_name const& own,
                                              std::vector<region_capacity> const& capacities,
                                              std::size_t regions)
{
    double total = 0;
    double local_slots = 0;
    for (auto const& item : capacities)
    {
        total += item.slots;
        if (item.region == own)
            local_slots = item.slots;
    }
    if (total <= 0)
        return {};
    // Assumes equal demand in all regions; all upstreams are then equally utilised.
    double const demand = total / static_cast<double>(std::max<std::size_t>(regions, 1));
    double const kept_share = std::min(1.0, local_slots / demand);
    double spare_slots = 0;
    for (auto const& item : capacities)
        if (item.region != own)
            spare_slots += std::max(0.0, item.slots - demand);
    std::vector<region_share> out;
    for (auto const& item : capacities)
    {
        if (item.region == own)
        {
            out.push_back({item.region, spare_slots > 0 ? kept_share : 1.0});
            continue;
        }
        double const free_slots = std::max(0.0, item.slots - demand);
        if (free_slots > 0 && kept_share < 1)
            out.push_back({item.region, (1 - kept_share) * free_slots / spare_slots});
    }
    if (out.empty() || (local_slots <= 0 && spare_slots <= 0))
    {
        out.clear();
        for (auto const& item : capacities)
            out.push_back({item.region, item.slots / total});
    }
    std::sort(out.begin(), out.end(),
              [](region_share const& left, region_share const& right)
              { return left.region < right.region; });
    return out;
}

bool is_allowed(region_name const& region, std::vector<region_name> const& allowed)
{
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

std::uint64_t object_hash(service_name const& service, std::string_view key)
{
    std::uint64_t const seed = XXH3_64bits(service.value().data(), service.value().size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

region_name const& region_of(std::uint64_t object, std::vector<region_share> const& shares)
{
    // A hash of the object's hash, so that the choice of the region is independent of the scores
    // of upstreams.
    std::uint64_t const seed = XXH3_64bits(&object, sizeof object);
    region_share const* best = &shares.front();
    double highest = 0;
    for (auto const& item : shares)
    {
        if (item.share <= 0)
            continue;
        double const score = rendezvous_score(seed, item.region.value(), item.share);
        if (score > highest)
        {
            highest = score;
            best = &item;
        }
    }
    return best->region;
}

double home_score(std::uint64_t object, upstream_name const& upstream, double weight)
{
    return rendezvous_score(object, upstream.value(), weight);
}

std::uint64_t entry_hash(host_name const& host)
{
    return XXH3_64bits(host.value().data(), host.value().size());
}

} // namespace guavashed
