/// \file
/// Defines choose_forward, which decides whether to forward a request to another entry host that is
/// expected to run it sooner.
#pragma once

#include "base/instant.hpp"
#include "entry/fleet_view.hpp"

#include <functional>

namespace guavashed
{

/// Inputs of the decision besides the fleet view.
struct forward_inputs
{
    host_row const* self = nullptr;
    service_name service;
    rank importance = rank::normal;
    /// Expected waiting time on this host; an hour when it has no usable slot.
    microseconds local_wait{0};
    /// Time from now within which the work must start.
    microseconds latest_start{0};
    /// False when requests must stay in the host's own region.
    bool may_cross_regions = true;
    /// One-way delay that a hop adds, within the region and between regions.
    microseconds same_region_hop{5'000};
    microseconds cross_region_hop{60'000};
    /// Random bits from which the two candidates are drawn.
    std::uint64_t draw = 0;
};

/// Number of requests that this host has forwarded to the given host and that are unanswered.
using outstanding_forwards = std::function<std::uint32_t(host_name const&)>;

/// True when this host's bandwidth share of the link to the region suffices for the request. A call
/// may take the bytes from the share.
using link_has_capacity = std::function<bool(region_name const&)>;

/// Returns the better of two randomly drawn candidates if forwarding to it beats waiting here, else
/// null. Hosts of the own region are considered first. The random draw and the count of this host's
/// unanswered forwards keep all requests from going to one host on a stale view. Thread safe.
host_row const* choose_forward(fleet_view const& view, forward_inputs const& inputs,
                               outstanding_forwards const& outstanding,
                               link_has_capacity const& has_capacity);

} // namespace guavashed
