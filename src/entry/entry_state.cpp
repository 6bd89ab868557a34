// Configuration, seats and views that entry_core receives from control hosts, and the state that it
// reports to them.
#include "base/invariant.hpp"
#include "entry/entry_core.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// How long a host without a lease from control uses its seat. Shorter than the time for which
/// control keeps the seat, by more than the difference between the hosts' clocks.
constexpr std::chrono::minutes seat_validity{110};

} // namespace
void entry_core::on_state(instant now, fleet_state const& state)
{
    GUAVASHED_INVARIANT(state.config.version > state_.config.version ||
                        state_.config.version.value() == 0)
        << "configuration version " << state.config.version
        << " is not newer than the current version " << state_.config.version;
    state_ = state;
    for (auto& item : services_)
        if (service_config const* service = find_service(state_.config, item->name))
            item->queue.replace_order(make_order(*service));
    for (auto const& name : state_.config.leaving_upstreams)
        for (auto& item : services_)
            item->pool.leave(name);
    update_shares();
    dispatch(now);
}

void entry_core::on_seats(instant now, std::vector<seat> const& seats)
{
    state_.seats = seats;
    update_shares();
    dispatch(now);
}

void entry_core::on_control_lease(instant now, bool connected)
{
    connected_ = connected;
    if (connected)
    {
        // The share was set to 0 when the seat's validity ended.
        bool const ended = seat_valid_until_ != instant() && seat_valid_until_ <= now;
        seat_valid_until_ = now + seat_validity;
        if (ended)
            update_shares();
    }
    else if (seat_valid_until_ != instant() && seat_valid_until_ <= now)
        region_share_.base(slot_count(0));
}

/// Recomputes this host's shares of its region's slot cap and of the caps of the links from the
/// region.
void entry_core::update_shares()
{
    region_config const* region = find_region(state_.config, settings_.region);
    slot_count share(0);
    std::uint32_t hosts = 1;
    if (region != nullptr)
    {
        hosts = region->entry_hosts;
        for (auto const& item : state_.seats)
            if (item.host == settings_.host && item.region == settings_.region)
                share = divide_cap(region->slot_cap, hosts, item.position);
    }
    region_share_.base(share);
    link_shares_.clear();
    for (auto const& link : state_.config.links)
        if (link.from == settings_.region)
            link_shares_[link.to].rate(bytes_per_second(link.cap.value() / hosts));
    note("configuration", "in force on this host",
         "share of the region's slot cap: " + std::to_string(share.value()) + " slots");
}

bool entry_core::on_view(view_push const& push)
{
    return view_.apply(push);
}

host_row entry_core::row(instant now) const
{
    host_row out;
    out.host = settings_.host;
    out.life = settings_.life;
    out.region = settings_.region;
    out.domain = settings_.domain;
    out.phase = phase_;
    out.version = state_.config.version;
    for (auto const& item : services_)
    {
        service_load load;
        load.service = item->name;
        load.slots = static_cast<std::uint16_t>(rate_of(*item, now).slots.value());
        load.in_flight = static_cast<std::uint16_t>(item->pool.in_flight().value());
        for (std::size_t r = 0; r < rank_count; ++r)
            load.waiting[r] = static_cast<std::uint16_t>(item->queue.waiting(static_cast<rank>(r)));
        load.mean_service_us = static_cast<std::uint32_t>(item->pool.mean_service().count());
        out.services.push_back(std::move(load));
    }
    return out;
}

std::vector<upstream_pool::row> entry_core::upstream_rows() const
{
    std::vector<upstream_pool::row> out;
    for (auto const& item : services_)
        for (auto& row : item->pool.rows())
            out.push_back(std::move(row));
    return out;
}

} // namespace guavashed
