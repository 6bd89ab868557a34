/// \file
/// Defines choose_home, which decides which entry host an upstream should announce itself to.
#pragma once

#include "entry/fleet_view.hpp"

#include <cstdint>

namespace guavashed
{

/// The serving entry host of the upstream's own region with the fewest slots of the service per
/// share, of the two that rendezvous hashing ranks first; null when the region has none in view.
/// Two candidates keep a stale view from sending every upstream to one host. Thread safe.
host_row const* choose_home(fleet_view const& view, upstream_name const& upstream,
                            service_name const& service, region_name const& region);

/// The host that should take one of this host's upstreams, null when the slots are even enough:
/// a move must leave the two hosts nearer to each other than before. Thread safe.
host_row const* choose_relief(fleet_view const& view, host_row const& self,
                              service_name const& service, slot_count moved);

} // namespace guavashed
