// The leased table of present entry hosts, with hold-down of hosts that restart too often.
#include "control/presence_table.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr std::chrono::seconds short_uptime{20};
constexpr std::uint32_t short_uptimes_before_hold_down = 3;
constexpr std::chrono::seconds hold_down_time{30};

/// True when the rows differ in more than loads and version, which other hosts do not need at once.
bool differs_in_structure(host_row const& a, host_row const& b)
{
    if (a.services.size() != b.services.size())
        return true;
    for (std::size_t i = 0; i < a.services.size(); ++i)
        if (a.services[i].service != b.services[i].service ||
            (a.services[i].slots == 0) != (b.services[i].slots == 0))
            return true;
    return a.life != b.life || a.region != b.region || a.domain != b.domain ||
           a.caller_endpoint != b.caller_endpoint || a.peer_endpoint != b.peer_endpoint ||
           a.operator_endpoint != b.operator_endpoint || a.phase != b.phase;
}

} // namespace

void presence_table::count_restart(instant now, entry& item)
{
    bool const was_short =
        item.row.life.value() != 0 && now - item.incarnation_started < short_uptime;
    item.short_uptimes = was_short ? item.short_uptimes + 1 : 0;
    item.incarnation_started = now;
    if (item.short_uptimes >= short_uptimes_before_hold_down)
        item.hold_down_until = now + hold_down_time;
}

bool presence_table::renew(instant now, host_row const& row, instant lease_until)
{
    auto const [at, added] = entries_.try_emplace(row.host);
    entry& item = at->second;
    if (added)
        item.number = next_number_++;
    if (row.life < item.row.life)
        return false;
    if (item.row.life < row.life)
        count_restart(now, item);
    item.last_renewed = now;
    host_row published = row;
    if (now < item.hold_down_until && published.phase == host_phase::serving)
        published.phase = host_phase::starting;
    item.lease_until = std::max(item.lease_until, lease_until);
    if (item.present && item.row == published)
        return true;
    ++change_counter_;
    if (!item.present || differs_in_structure(item.row, published))
        item.changed = change_counter_;
    item.load_changed = change_counter_;
    item.row = std::move(published);
    item.present = true;
    return true;
}

std::vector<host_name> presence_table::expire(instant now)
{
    std::vector<host_name> gone;
    for (auto& [host, item] : entries_)
        if (item.present && item.lease_until <= now)
        {
            item.present = false;
            item.changed = ++change_counter_;
            gone.push_back(host);
        }
    return gone;
}

view_push presence_table::changes_since(std::uint64_t& since) const
{
    view_push out;
    out.whole = since == 0;
    for (auto const& [host, item] : entries_)
    {
        if (item.changed <= since && !out.whole)
            continue;
        if (item.present)
        {
            out.changed.push_back(item.row);
            out.numbers.push_back(item.number);
        }
        else if (!out.whole)
            out.gone.push_back(host);
    }
    since = change_counter_;
    return out;
}

load_push presence_table::loads_since(std::uint64_t& since, region_name const& region) const
{
    load_push out;
    for (auto const& [host, item] : entries_)
    {
        if (!item.present || item.load_changed <= since || item.row.region != region)
            continue;
        load_digest digest;
        digest.number = item.number;
        for (auto const& load : item.row.services)
            digest.services.push_back(
                {load.slots, load.in_flight, load.waiting, load.mean_service_us});
        out.loads.push_back(std::move(digest));
    }
    since = change_counter_;
    return out;
}

std::size_t presence_table::count_in(region_name const& region) const
{
    std::size_t count = 0;
    for (auto const& [host, item] : entries_)
        if (item.present && item.row.region == region)
            ++count;
    return count;
}

std::vector<host_row> presence_table::rows() const
{
    std::vector<host_row> out;
    for (auto const& [host, item] : entries_)
        if (item.present)
            out.push_back(item.row);
    return out;
}

host_row const* presence_table::find(host_name const& host) const
{
    auto const at = entries_.find(host);
    return at == entries_.end() || !at->second.present ? nullptr : &at->second.row;
}

instant presence_table::last_seen(host_name const& host) const
{
    auto const at = entries_.find(host);
    return at == entries_.end() ? instant() : at->second.last_renewed;
}

} // namespace guavashed
