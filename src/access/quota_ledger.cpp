// Keeps the buckets of limited workspaces and the identity of the hosts that report to them.
#include "access/quota_ledger.hpp"

#include "access/credit_times.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Hosts that have not exchanged for this long are forgotten. Lines are resolved within 3 s; the
/// rest of the time keeps restarts and late messages of a host recognisable.
constexpr std::chrono::seconds host_retention{60};

/// Credit for a workspace without a limit; bounds what a corrupt request gets.
constexpr std::uint32_t max_unlimited_credit = 10'000;

} // namespace

quota_ledger::quota_ledger(quota_settings settings) : settings_(settings) {}

instant quota_ledger::advance_clock(instant now)
{
    clock_ = std::max(clock_, now);
    return clock_;
}

quota_bucket::host_activity quota_ledger::host_activity() const
{
    return [this](quota_host_index host)
    {
        auto const found = last_exchange_.find(host);
        return found == last_exchange_.end() ? instant() : found->second;
    };
}

quota_bucket const* quota_ledger::find(workspace_name const& workspace) const
{
    auto const found = buckets_.find(workspace);
    return found == buckets_.end() ? nullptr : &found->second;
}

void quota_ledger::configure(access_config const& access, instant now)
{
    if (settings_.window_s <= 0)
        return;
    now = advance_clock(now);
    auto const activity = host_activity();
    std::unordered_map<workspace_name, quota_bucket> kept;
    for (auto const& workspace : access.workspaces)
    {
        if (!workspace.is_limited())
            continue;
        if (auto known = buckets_.extract(workspace.name))
        {
            known.mapped().set_limit(workspace.rate_per_s, workspace.burst, now, activity);
            kept.insert(std::move(known));
            continue;
        }
        double const level = now < former_lines_until_ ? 0 : std::max(workspace.burst, 1.0);
        kept.try_emplace(workspace.name, settings_, workspace.rate_per_s, workspace.burst, level,
                         now);
    }
    buckets_ = std::move(kept);
}

void quota_ledger::begin_term(instant now)
{
    now = advance_clock(now);
    former_lines_until_ = now + credit_lifetime;
    hosts_.clear();
    last_exchange_.clear();
    checks_ = {};
    for (auto& [name, bucket] : buckets_)
        bucket.begin_term(now);
}

void quota_ledger::forget_hosts(instant now)
{
    while (!checks_.empty() && checks_.top().at <= now)
    {
        host_name const host = checks_.top().host;
        checks_.pop();
        auto const found = hosts_.find(host);
        if (found == hosts_.end())
            continue;
        instant const until = found->second.last_exchange + host_retention;
        if (until > now)
        {
            checks_.push({until, host});
            continue;
        }
        last_exchange_.erase(found->second.index);
        hosts_.erase(found);
    }
}

quota_ledger::host_record* quota_ledger::accept(lease_request const& request, instant now)
{
    auto const [found, is_first] = hosts_.try_emplace(request.host);
    host_record& host = found->second;
    std::uint64_t const life = request.life.value();
    if (is_first)
    {
        host.index = quota_host_index(next_index_++);
        checks_.push({now + host_retention, request.host});
    }
    else if (life < host.life || (life == host.life && request.number <= host.number))
        return nullptr;
    host.life = life;
    host.number = request.number;
    return &host;
}

std::vector<credit_line> quota_ledger::exchange(lease_request const& request, instant now)
{
    if (settings_.window_s <= 0)
        return {};
    now = advance_clock(now);
    forget_hosts(now);
    host_record* const host = accept(request, now);
    if (!host)
        return {};
    auto const activity = host_activity();
    std::vector<credit_line> out;
    out.reserve(request.uses.size());
    for (auto const& use : request.uses)
    {
        auto const found = buckets_.find(use.workspace);
        if (found == buckets_.end())
        {
            // The host will learn from its next view that the limit was removed.
            out.push_back({use.workspace, std::min(use.wanted, max_unlimited_credit), 0});
            continue;
        }
        auto const granted = found->second.exchange(
            {host->index, host->life, use.admitted_total, use.wanted}, now, activity);
        out.push_back({use.workspace, granted.credit, granted.wait_ms});
    }
    // Set after the uses, so that a line of this host is judged by its earlier exchanges.
    host->last_exchange = now;
    last_exchange_[host->index] = now;
    return out;
}

} // namespace guavashed
