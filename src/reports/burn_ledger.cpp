// Counts requests by service, kind and minute, and drops rows past their retention.
#include "reports/burn_ledger.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr std::int64_t retention_minutes = 3 * 24 * 60;

} // namespace

void burn_counts::add(burn_counts const& other)
{
    total += other.total;
    good += other.good;
    for (std::size_t i = 0; i < spent.size(); ++i)
        spent[i] += other.spent[i];
    for (std::size_t i = 0; i < latency.size(); ++i)
        latency[i] += other.latency[i];
}

std::int64_t minute_of(wall_instant time)
{
    return wall_ms(time) / 60'000;
}

burn_counts& burn_ledger::find_or_insert(service_name const& service, work_kind_name const& kind,
                                         std::int64_t minute)
{
    for (auto row = rows_.rbegin(); row != rows_.rend() && row->minute >= minute; ++row)
        if (row->minute == minute && row->service == service && row->kind == kind)
            return row->counts;
    auto const position =
        std::upper_bound(rows_.begin(), rows_.end(), minute,
                         [](std::int64_t m, burn_row const& row) { return m < row.minute; });
    return rows_.insert(position, burn_row{service, kind, minute, {}})->counts;
}

void burn_ledger::add(wall_instant now, burn_event const& event)
{
    std::int64_t const minute = minute_of(now);
    if (!rows_.empty() && rows_.front().minute + retention_minutes < minute)
        std::erase_if(rows_,
                      [&](burn_row const& row) { return row.minute + retention_minutes < minute; });
    burn_counts& counts = find_or_insert(event.service, event.kind, minute);
    ++counts.total;
    auto const ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, event.took.count()));
    auto const bucket = std::lower_bound(latency_bounds_ms.begin(), latency_bounds_ms.end(), ms);
    ++counts.latency[static_cast<std::size_t>(bucket - latency_bounds_ms.begin())];
    if (event.outcome == outcome_kind::answer && ms <= event.objective_ms)
    {
        ++counts.good;
        return;
    }
    burn_cause const cause = event.cause == burn_cause::none ? burn_cause::upstream : event.cause;
    ++counts.spent[static_cast<std::size_t>(cause)];
}

std::vector<burn_row> burn_ledger::rows_since(std::int64_t minute) const
{
    auto const from =
        std::lower_bound(rows_.begin(), rows_.end(), minute,
                         [](burn_row const& row, std::int64_t m) { return row.minute < m; });
    return {from, rows_.end()};
}

void burn_ledger::restore(std::vector<burn_row> const& rows)
{
    for (auto const& row : rows)
        find_or_insert(row.service, row.kind, row.minute).add(row.counts);
}

} // namespace guavashed
