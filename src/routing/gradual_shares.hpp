/// \file
/// Defines gradual_shares, the shares of regions in force for one service, which follow the shares
/// computed from the view at a limited rate.
#pragma once

#include "base/instant.hpp"
#include "routing/placement.hpp"

#include <set>
#include <vector>

namespace guavashed
{

/// Limits how fast requests change the region in which they run. The target is a pure function of
/// the view and is always reached, so hosts with the same view have the same shares at the latest
/// after the time that the longest move takes; a host that has just started begins at the target.
/// Thread safety: none.
class gradual_shares
{
public:
    /// Begins at `target`. `max_shift_per_s` is the greatest fraction of the requests that may
    /// change their region within one second. Precondition: it is positive.
    gradual_shares(std::vector<region_share> target, double max_shift_per_s, instant now);

    /// Sets the shares to approach. Regions in `failed`, which lost upstreams by failure or have
    /// none left, lose the excess of their shares at once. While upstreams are still being
    /// registered, shortly after the first request, all shares are set at once. Returns the
    /// fraction of the requests that still has to move to reach the target.
    double set_target(std::vector<region_share> target, std::set<region_name> const& failed,
                      instant now);

    /// Shares in force at `now`, in the order of region names. Precondition: `now` does not
    /// decrease between calls.
    std::vector<region_share> const& at(instant now);
    /// Whether the target was not yet reached at the last call of `at`.
    bool is_moving() const { return !reached_; }

private:
    /// Fraction of the requests that has to move to reach the target.
    double remaining() const;
    double excess(std::size_t i) const { return shares_[i].share - targets_[i]; }

    double max_shift_per_s_;
    instant started_;
    instant updated_;
    bool reached_ = true;
    /// Regions of the former and of the present target.
    std::vector<region_share> shares_;
    /// Target of each element of `shares_`.
    std::vector<double> targets_;
};

} // namespace guavashed
