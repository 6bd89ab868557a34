/// \file
/// Defines choose_forward, which decides whether another entry host would run a request sooner.
#pragma once

#include "base/instant.hpp"
#include "entry/fleet_view.hpp"

#include <functional>

namespace guavashed
{

/// What the deciding host knows besides the view.
struct forward_inputs
{
    host_row const* self = nullptr;
    service_name service;
    rank importance = rank::normal;
    /// Time that the request would wait here; very long when nothing here can run it.
    microseconds local_wait{0};
    /// Latest time from now at which the work must start.
    microseconds latest_start{0};
    bool may_cross_regions = true;
    /// One-way cost that a hop adds, within the region and between regions.
    microseconds same_region_hop{5'000};
    microseconds cross_region_hop{60'000};
    std::uint64_t draw = 0;
};

/// Requests that this host has sent to another and that are not answered yet.
using outstanding_forwards = std::function<std::uint32_t(host_name const&)>;

/// True when this host's share of the link to the region can carry the request.
using link_has_capacity = std::function<bool(region_name const&)>;

/// The better of two candidates drawn at random if it beats waiting here, else null. Two draws and
/// the count of own outstanding forwards keep a stale view from sending all to one host.
/// Thread safe.
host_row const* choose_forward(fleet_view const& view, forward_inputs const& inputs,
                               outstanding_forwards const& outstanding,
                               link_has_capacity const& has_capacity);

} // namespace guavashed
