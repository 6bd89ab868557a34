// Defines the choice of an upstream's home and of the target when upstreams are rebalanced.
#include "entry/choose_home.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

std::uint32_t slots_of(host_row const& row, service_name const& service)
{
    service_load const* load = find_load(row, service);
    return load == nullptr ? 0 : load->slots;
}

bool accepts_upstreams(host_row const& row, region_name const& region)
{
    return row.phase == host_phase::serving && row.region == region;
}

} // namespace

host_row const* choose_home(fleet_view const& view, upstream_name const& upstream,
                            service_name const& service, region_name const& region)
{
    std::uint64_t const hash = stable_hash(upstream.value());
    host_row const* first = nullptr;
    host_row const* second = nullptr;
    auto const score = [&](host_row const* row)
    { return row == nullptr ? ~std::uint64_t{0} : mix_hash(stable_hash(row->host.value()), hash); };
    for (auto const& row : view.rows())
    {
        if (!accepts_upstreams(row, region))
            continue;
        if (score(&row) < score(first))
        {
            second = first;
            first = &row;
        }
        else if (score(&row) < score(second))
            second = &row;
    }
    if (second != nullptr && slots_of(*second, service) < slots_of(*first, service))
        return second;
    return first;
}

host_row const* choose_rebalance_target(fleet_view const& view, host_row const& self,
                                        service_name const& service, slot_count moved)
{
    std::uint32_t const own = slots_of(self, service);
    host_row const* least = nullptr;
    for (auto const& row : view.rows())
    {
        if (!accepts_upstreams(row, self.region) || row.host == self.host)
            continue;
        if (least == nullptr || slots_of(row, service) < slots_of(*least, service))
            least = &row;
    }
    if (least == nullptr || slots_of(*least, service) + moved.value() >= own)
        return nullptr;
    return least;
}

} // namespace guavashed
