/// \file
/// Defines choose_home and choose_rebalance_target, which assign upstreams to entry hosts.
///
/// The home of an upstream is the entry host that it announces itself to and that sends it work.
#pragma once

#include "entry/fleet_view.hpp"

#include <cstdint>

namespace guavashed
{

/// Of the two serving entry hosts of the upstream's region that rendezvous hashing ranks first, the
/// one with fewer slots of the service; the first on a tie, null when the region has none in view.
/// Choosing between two keeps all upstreams from going to one host on a stale view. Thread safe.
host_row const* choose_home(fleet_view const& view, upstream_name const& upstream,
                            service_name const& service, region_name const& region);

/// The serving host of the region with the fewest slots of the service, to which this host should
/// move an upstream with `moved` slots. Null when that host would then have as many slots as this
/// one has now, or more: such a move would not even out the slots. Thread safe.
host_row const* choose_rebalance_target(fleet_view const& view, host_row const& self,
                                        service_name const& service, slot_count moved);

} // namespace guavashed
