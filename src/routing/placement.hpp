/// \file
/// Defines placement, which spreads objects over the upstreams of a service.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace guavashed
{

/// Slots of one service in one region.
struct region_capacity
{
    region_name region;
    double slots = 0;
};

/// Part of a region's requests that is placed in `region`.
struct region_share
{
    region_name region;
    double share = 0;
};

/// How the requests of region `own` are spread: as many stay as the region's upstreams carry,
/// the rest goes to regions in proportion to their spare slots. The same for all hosts of a region.
/// `regions` is how many regions callers come from. Thread safe.
std::vector<region_share> spread_over_regions(region_name const& own,
                                              std::vector<region_capacity> const& capacities,
                                              std::size_t regions);

/// Hash of an object of a service. Thread safe.
std::uint64_t object_hash(service_name const& service, std::string_view key);

/// The region of that object: stable while the shares are. Precondition: `shares` is not empty.
region_name const& region_of(std::uint64_t object, std::vector<region_share> const& shares);

/// Score of an upstream for an object; the highest is the object's home (weighted rendezvous
/// hashing). Thread safe.
double home_score(std::uint64_t object, upstream_name const& upstream, double weight);

/// An entry host's position among those that warm a cold upstream. Thread safe.
std::uint64_t entry_hash(host_name const& host);

} // namespace guavashed
