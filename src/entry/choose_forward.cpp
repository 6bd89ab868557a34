// Defines choose_forward: two random candidates, compared by the estimated time until the request
// would start.
#include "entry/choose_forward.hpp"

#include <algorithm>
#include <array>

namespace guavashed
{
namespace
{

constexpr std::size_t max_candidates = 64;
/// Least expected saving for which a forward is worth the added risk of failure of the hop.
constexpr microseconds min_forward_gain{2'000};
/// Assumed service time for a host that has not reported one.
constexpr std::uint32_t default_service_us = 50'000;

struct candidate
{
    host_row const* row = nullptr;
    service_load const* load = nullptr;
    microseconds hop{0};
};

using candidates = std::array<candidate, max_candidates>;

/// Writes the serving hosts that have slots of the service, in this host's region or in the others,
/// to `out`; returns their number.
std::size_t collect_candidates(fleet_view const& view, forward_inputs const& inputs,
                               bool same_region, link_has_capacity const& has_capacity,
                               candidates& out)
{
    std::size_t count = 0;
    for (auto const& row : view.rows())
    {
        if (count == out.size())
            break;
        if (row.host == inputs.self->host || row.phase != host_phase::serving)
            continue;
        if ((row.region == inputs.self->region) != same_region)
            continue;
        service_load const* load = find_load(row, inputs.service);
        if (load == nullptr || load->slots == 0)
            continue;
        if (!same_region && !has_capacity(row.region))
            continue;
        out[count++] = {&row, load, same_region ? inputs.same_region_hop : inputs.cross_region_hop};
    }
    return count;
}

/// Estimated time until the candidate would start the request, the hop included. The requests ahead
/// are those in flight and waiting there in the same or a higher rank, and this host's own forwards
/// that the view may not show yet.
microseconds expected_start(candidate const& item, forward_inputs const& inputs,
                            outstanding_forwards const& outstanding)
{
    std::uint32_t ahead = outstanding(item.row->host) + item.load->in_flight;
    for (std::size_t r = 0; r <= index_of(inputs.importance); ++r)
        ahead += item.load->waiting[r];
    std::uint32_t const service_us =
        item.load->mean_service_us == 0 ? default_service_us : item.load->mean_service_us;
    std::uint32_t const excess = ahead + 1 > item.load->slots ? ahead + 1 - item.load->slots : 0;
    return item.hop + microseconds(std::uint64_t{excess} * service_us / item.load->slots);
}

} // namespace

host_row const* choose_forward(fleet_view const& view, forward_inputs const& inputs,
                               outstanding_forwards const& outstanding,
                               link_has_capacity const& has_capacity)
{
    candidates found;
    for (bool const same_region : {true, false})
    {
        if (!same_region && !inputs.may_cross_regions)
            break;
        std::size_t const count =
            collect_candidates(view, inputs, same_region, has_capacity, found);
        if (count == 0)
            continue;
        std::size_t const a = inputs.draw % count;
        std::size_t const b = (inputs.draw >> 32) % count;
        auto const start_a = expected_start(found[a], inputs, outstanding);
        auto const start_b = expected_start(found[b], inputs, outstanding);
        auto const best = std::min(start_a, start_b);
        if (best + min_forward_gain < inputs.local_wait && best < inputs.latest_start)
            return start_a <= start_b ? found[a].row : found[b].row;
    }
    return nullptr;
}

} // namespace guavashed
