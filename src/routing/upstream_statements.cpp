// Keeps the statements of upstreams, bounded in number and time.
#include "routing/upstream_statements.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Upstreams state seconds; a longer pause is most likely in another unit.
constexpr milliseconds max_pause{5 * 60 * 1000};
/// Width of the window over which hosts return after a pause, as a fraction of the pause.
constexpr double return_spread = 0.1;
/// An upstream that missed its announcements may register again within this time.
constexpr milliseconds kept_after_removal{60 * 1000};
constexpr std::size_t max_statements = 4096;

} // namespace

instant pause_end(instant now, milliseconds asked, double unit_random)
{
    milliseconds const bounded = std::clamp(asked, milliseconds(0), max_pause);
    double const spread_ms = static_cast<double>(bounded.count()) * return_spread * unit_random;
    return now + bounded + milliseconds(static_cast<std::int64_t>(spread_ms));
}

upstream_statements::entry* upstream_statements::entry_of(upstream_name const& id,
                                                          std::int64_t born_ms, instant now,
                                                          std::int64_t stated_ms)
{
    auto const held = entries_.find(id);
    if (held == entries_.end() && entries_.size() >= max_statements)
        entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                        [](auto const& left, auto const& right)
                                        { return left.second.noted_at < right.second.noted_at; }));
    entry& out = held == entries_.end() ? entries_[id] : held->second;
    if (out.born_ms > born_ms)
        return nullptr;
    if (out.born_ms < born_ms)
        out = entry{born_ms};
    out.noted_at = now;
    out.stated_ms = std::max(out.stated_ms, stated_ms);
    return &out;
}

void upstream_statements::note_leaving(upstream_name const& id, std::int64_t born_ms, instant now,
                                       std::int64_t stated_ms)
{
    if (entry* const held = entry_of(id, born_ms, now, stated_ms))
        held->statement.is_leaving = true;
}

void upstream_statements::note_pause(upstream_name const& id, std::int64_t born_ms, instant until,
                                     instant now, std::int64_t stated_ms)
{
    if (entry* const held = entry_of(id, born_ms, now, stated_ms))
        held->statement.paused_until = std::max(held->statement.paused_until, until);
}

upstream_statement upstream_statements::find(upstream_name const& id, std::int64_t born_ms) const
{
    auto const at = entries_.find(id);
    if (at == entries_.end() || at->second.born_ms != born_ms)
        return {};
    return at->second.statement;
}

void upstream_statements::note_registered(upstream_name const& id, std::int64_t born_ms)
{
    auto const at = entries_.find(id);
    if (at == entries_.end())
        return;
    if (at->second.born_ms < born_ms && at->second.stated_ms < born_ms)
    {
        entries_.erase(at);
        return;
    }
    at->second.born_ms = std::max(at->second.born_ms, born_ms);
    at->second.drop_at = instant::max();
}

void upstream_statements::note_removed(upstream_name const& id, std::int64_t born_ms, instant now)
{
    auto const at = entries_.find(id);
    if (at != entries_.end() && at->second.born_ms <= born_ms)
        at->second.drop_at = std::min(at->second.drop_at, now + kept_after_removal);
}

void upstream_statements::trim(instant now)
{
    std::erase_if(entries_, [now](auto const& item) { return item.second.drop_at <= now; });
}

} // namespace guavashed
