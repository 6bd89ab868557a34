/// \file
/// Defines the placement of objects over the regions and upstreams of a service.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace guavashed
{

/// Capacity of one service in one region.
struct region_capacity
{
    region_name region;
    double slots = 0;
};

/// Fraction of a region's requests that is served in `region`.
struct region_share
{
    region_name region;
    double share = 0;
};

/// Computes how the requests of region `own` are spread over regions: as many stay as the region's
/// upstreams can carry, the rest goes to other regions in proportion to their spare slots. All
/// hosts of a region get the same result. `regions` is the number of regions that callers come
/// from. Thread safe.
std::vector<region_share> spread_over_regions(region_name const& own,
                                              std::vector<region_capacity> const& capacities,
                                              std::size_t regions);

/// Whether upstreams of the region may serve a request; an empty list allows all. Thread safe.
bool is_allowed(region_name const& region, std::vector<region_name> const& allowed);

/// Hash of the object `key` of a service. Thread safe.
std::uint64_t object_hash(service_name const& service, std::string_view key);

/// Region that serves an object if the region is chosen first, by weighted rendezvous hashing: when
/// shares change, few more objects change their region than the shares require. Precondition:
/// `shares` is not empty. Thread safe.
region_name const& region_of(std::uint64_t object, std::vector<region_share> const& shares);

/// Score of an upstream for an object by weighted rendezvous hashing; the upstream with the highest
/// score is the object's home. Thread safe.
double home_score(std::uint64_t object, upstream_name const& upstream, double weight);

/// Hash of an entry host's name; ranks entry hosts, for example those that may send to a cold
/// upstream. Thread safe.
std::uint64_t entry_hash(host_name const& host);

} // namespace guavashed
