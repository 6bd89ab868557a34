// Defines how pushes from control are applied to the view, and the hashes used for placement.
#include "entry/fleet_view.hpp"

#include <algorithm>
#include <xxhash.h>

namespace guavashed
{

bool fleet_view::upsert_row(host_row const& row)
{
    auto const at = std::lower_bound(rows_.begin(), rows_.end(), row.host,
                                     [](host_row const& item, host_name const& host)
                                     { return item.host < host; });
    if (at == rows_.end() || at->host != row.host)
    {
        rows_.insert(at, row);
        return true;
    }
    if (row.life < at->life)
        return false;
    bool const structural = at->phase != row.phase || at->caller_endpoint != row.caller_endpoint ||
                            at->domain != row.domain;
    *at = row;
    return structural;
}

bool fleet_view::apply(view_push const& push)
{
    bool changed = false;
    if (push.whole)
    {
        changed = std::erase_if(rows_,
                                [&](host_row const& row)
                                {
                                    return std::none_of(push.changed.begin(), push.changed.end(),
                                                        [&](host_row const& item)
                                                        { return item.host == row.host; });
                                }) > 0;
    }
    for (auto const& host : push.gone)
        changed = std::erase_if(rows_, [&](host_row const& row) { return row.host == host; }) > 0 ||
                  changed;
    for (auto const& row : push.changed)
        changed = upsert_row(row) || changed;
    update_row_numbers(push);
    return changed;
}

void fleet_view::update_row_numbers(view_push const& push)
{
    if (push.whole)
        hosts_by_number_.clear();
    for (std::size_t i = 0; i < push.changed.size() && i < push.numbers.size(); ++i)
    {
        if (hosts_by_number_.size() <= push.numbers[i])
            hosts_by_number_.resize(push.numbers[i] + std::size_t{1});
        hosts_by_number_[push.numbers[i]] = push.changed[i].host;
    }
}

void fleet_view::apply(load_push const& push)
{
    for (auto const& digest : push.loads)
    {
        if (digest.number >= hosts_by_number_.size())
            continue;
        auto const at = std::lower_bound(
            rows_.begin(), rows_.end(), hosts_by_number_[digest.number],
            [](host_row const& item, host_name const& name) { return item.host < name; });
        if (at == rows_.end() || at->host != hosts_by_number_[digest.number])
            continue;
        for (std::size_t i = 0; i < digest.services.size() && i < at->services.size(); ++i)
        {
            load_numbers const& numbers = digest.services[i];
            service_load& load = at->services[i];
            load.slots = numbers.slots;
            load.in_flight = numbers.in_flight;
            load.waiting = numbers.waiting;
            load.mean_service_us = numbers.mean_service_us;
        }
    }
}

host_row const* fleet_view::find(host_name const& host) const
{
    auto const at = std::lower_bound(rows_.begin(), rows_.end(), host,
                                     [](host_row const& item, host_name const& name)
                                     { return item.host < name; });
    return at != rows_.end() && at->host == host ? &*at : nullptr;
}

service_load const* find_load(host_row const& row, service_name const& service)
{
    for (auto const& load : row.services)
        if (load.service == service)
            return &load;
    return nullptr;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t mix_hash(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t x = left ^ (right * 0x9e3779b97f4a7c15ULL);
    x ^= x >> 32;
    x *= 0xd6e8feb86659fd93ULL;
    x ^= x >> 32;
    x *= 0xd6e8feb86659fd93ULL;
    x ^= x >> 32;
    return x;
}

} // namespace guavashed
