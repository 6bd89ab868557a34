#include "presence_table.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr std::chrono::seconds short_life{20};
constexpr std::uint32_t short_lives_allowed = 3;
constexpr std::chrono::seconds hold_back{30};

} // namespace

void presence_table::count_life(instant now, entry& item)
{
    bool const was_short = item.row.life.value() != 0 && now - item.life_started < short_life;
    item.short_lives = was_short ? item.short_lives + 1 : 0;
    item.life_started = now;
    if (item.short_lives >= short_lives_allowed)
        item.held_back_until = now + hold_back;
}

bool presence_table::renew(instant now, host_row const& row, instant lease_until)
{
    entry& item = entries_[row.host];
    if (row.life < item.row.life)
        return false;
    if (item.row.life < row.life)
        count_life(now, item);
    item.seen = now;
    host_row shown = row;
    if (now < item.held_back_until && shown.phase == host_phase::serving)
        shown.phase = host_phase::starting;
    item.lease_until = std::max(item.lease_until, lease_until);
    if (item.present && item.row == shown)
        return true;
    item.row = std::move(shown);
    item.present = true;
    item.changed = ++changes_;
    return true;
}

std::vector<host_name> presence_table::expire(instant now)
{
    std::vector<host_name> gone;
    for (auto& [host, item] : entries_)
        if (item.present && item.lease_until <= now)
        {
            item.present = false;
            item.changed = ++changes_;
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
            out.changed.push_back(item.row);
        else if (!out.whole)
            out.gone.push_back(host);
    }
    since = changes_;
    return out;
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
    return at == entries_.end() ? instant() : at->second.seen;
}

} // namespace guavashed
