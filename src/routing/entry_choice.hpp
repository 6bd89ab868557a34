/// \file
/// Defines choose_entries, which selects the entry hosts that callers of a failure domain use.
#pragma once

#include "base/ids.hpp"

#include <cstddef>
#include <vector>

namespace guavashed
{

/// An entry host that accepts callers, and its location.
struct entry_candidate
{
    endpoint_text callers;
    region_name region;
    failure_domain_name domain;
};

/// Returns the endpoints for callers of `domain` in `region`; callers choose among them uniformly.
/// These are the hosts of the domain if every domain of the region has about an even share of the
/// region's hosts, and all hosts of the region otherwise, so that load is balanced over its hosts.
/// Hosts of other regions are returned only if the region has none. Returns at most `limit`
/// endpoints; the result is deterministic. Thread safe.
std::vector<endpoint_text> choose_entries(region_name const& region,
                                          failure_domain_name const& domain,
                                          std::vector<entry_candidate> const& entries,
                                          std::size_t limit);

} // namespace guavashed
