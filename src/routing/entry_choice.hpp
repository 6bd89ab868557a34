/// \file
/// Defines choose_entries, which entry hosts the callers of a failure domain are sent to.
#pragma once

#include "base/ids.hpp"

#include <cstddef>
#include <vector>

namespace guavashed
{

/// An entry host that takes callers.
struct entry_place
{
    endpoint_text callers;
    region_name region;
    failure_domain_name domain;
};

/// Endpoints for callers of `domain` in `region`, each as likely to be used as any other: the hosts
/// of the domain where each domain of the region has about its part of the region's hosts, and all
/// hosts of the region otherwise, so that no host carries much more than its neighbours. Hosts of
/// other regions are named only when the region has none. At most `limit`, the same ones each time.
/// Thread safe.
std::vector<endpoint_text> choose_entries(region_name const& region,
                                          failure_domain_name const& domain,
                                          std::vector<entry_place> const& entries,
                                          std::size_t limit);

} // namespace guavashed
