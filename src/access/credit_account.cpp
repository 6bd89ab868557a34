// Spends credit lines, and decides what to report and how much credit to ask for.
#include "access/credit_account.hpp"

#include "access/credit_times.hpp"

#include <algorithm>
#include <cmath>

namespace guavashed
{
namespace
{

/// Time constant of the moving average of demand. A line must cover the demand of the next exchange
/// or two, so older demand says little.
constexpr double demand_memory_s = 1;
/// Two exchange intervals and a round trip between regions: a line lasts over one lost exchange.
constexpr double wanted_span_s = 0.75;
/// Demand per second above which a line of at least 2 is asked for, and lines are renewed without a
/// request. Below it most lines would expire unused, and hold credit that other hosts need.
constexpr double steady_demand = 1;
/// Demand per second from which one credit is kept in reserve.
constexpr double least_demand = 0.1;
/// How long no reserve is asked for after a grant of less than was wanted.
constexpr std::chrono::seconds tight_memory{2};
/// Lines are renewed this long before they expire: an exchange interval and a round trip.
constexpr milliseconds renewal_lead{500};
/// A shortage is taken as current at least this long: one exchange interval and a round trip, since
/// refused requests are reported and the answer brings the present state.
constexpr milliseconds min_shortage{450};
/// The longest time told to refused requests, as the leader's.
constexpr std::chrono::seconds max_turn{60};
/// Reports that may be unanswered before the oldest is given up.
constexpr std::size_t max_unanswered = 32;

} // namespace

double credit_account::account::demand_per_s(instant now) const
{
    return demand * std::exp(-std::max(0.0, seconds(now - demand_at)) / demand_memory_s);
}

void credit_account::account::count_demand(instant now)
{
    demand = demand_per_s(now) + 1 / demand_memory_s;
    demand_at = std::max(demand_at, now);
}

std::uint32_t credit_account::account::wanted(instant now) const
{
    double const rate = demand_per_s(now);
    double const expected = rate * wanted_span_s;
    if (now < tight_until)
        return std::max(static_cast<std::uint32_t>(expected), asked > 0 ? asked + 1 : 0);
    if (rate > steady_demand)
        return std::max(static_cast<std::uint32_t>(std::ceil(expected)), asked + 1);
    if (asked > 0)
        return asked + 1;
    return rate >= least_demand ? 1 : 0;
}

bool credit_account::account::must_report(instant now) const
{
    if (has_news || admitted != confirmed || admitted != reported)
        return true;
    return demand_per_s(now) >= steady_demand && valid_until <= now + renewal_lead &&
           last_report + credit_exchange_interval <= now;
}

double credit_account::account::take_turn(instant now)
{
    next_turn = std::clamp(next_turn, now + milliseconds(1), now + max_turn);
    double const wait = 1000 * seconds(next_turn - now);
    next_turn += turn_spacing;
    return wait;
}

void credit_account::account::apply(credit_line const& line, instant reported_at, instant now)
{
    auto const answered = std::find_if(unanswered.begin(), unanswered.end(),
                                       [&](report_record const& record)
                                       { return record.reported_at == reported_at; });
    if (answered == unanswered.end() || reported_at < last_applied)
        return;
    last_applied = reported_at;
    confirmed = answered->total;
    if (line.credit < answered->wanted)
        tight_until = now + tight_memory;
    ceiling = answered->total + line.credit;
    valid_until = reported_at + credit_lifetime - credit_margin;
    unanswered.erase(unanswered.begin(), answered + 1);

    bool const was_short = now < short_until;
    if (line.wait_ms == 0)
    {
        short_until = instant();
        return;
    }
    instant::duration const wait = milliseconds(line.wait_ms);
    // With credit in the line the wait is that from one credit to the next, otherwise less.
    turn_spacing = was_short && line.credit == 0 ? std::max(turn_spacing, wait) : wait;
    next_turn = was_short ? std::max(next_turn, now + wait) : now + wait;
    short_until = std::min(now + std::max<instant::duration>(wait, min_shortage),
                           reported_at + credit_lifetime);
}

void credit_account::configure(access_config const& access)
{
    std::unordered_map<workspace_name, account> kept;
    for (auto const& workspace : access.workspaces)
    {
        if (!workspace.is_limited())
            continue;
        if (auto known = accounts_.extract(workspace.name))
            kept.insert(std::move(known));
        else
            kept.try_emplace(workspace.name);
    }
    for (auto const& [name, dropped] : accounts_)
        dropped_total_ = std::max(dropped_total_, dropped.admitted);
    for (auto& [name, item] : kept)
        if (item.last_report == instant() && item.admitted == 0)
            item.admitted = item.reported = item.confirmed = item.ceiling = dropped_total_;
    accounts_ = std::move(kept);
}

credit_decision credit_account::admit(workspace_name const& workspace, instant now, bool is_retry)
{
    auto const found = accounts_.find(workspace);
    if (found == accounts_.end())
        return {};
    account& item = found->second;
    item.has_news = true;
    if (!is_retry)
        item.count_demand(now);
    if (item.admitted < item.ceiling && now < item.valid_until)
    {
        ++item.admitted;
        ++admitted_total_;
        return {};
    }
    if (now < item.short_until)
    {
        ++over_limit_total_;
        return {credit_verdict::over_limit, item.take_turn(now)};
    }
    // Requests that wait longer than one exchange are asked for again, as at least one.
    item.asked = is_retry ? std::max(item.asked, 1U) : item.asked + 1;
    ++unknown_total_;
    is_urgent_ = true;
    return {credit_verdict::unknown, 0};
}

void credit_account::refund(workspace_name const& workspace)
{
    auto const found = accounts_.find(workspace);
    // The request may have been admitted before the workspace had a limit.
    if (found == accounts_.end() || found->second.admitted <= 0)
        return;
    --found->second.admitted;
    found->second.has_news = true;
    ++refunded_total_;
}

bool credit_account::has_report(instant now) const
{
    return std::any_of(accounts_.begin(), accounts_.end(),
                       [now](auto const& item) { return item.second.must_report(now); });
}

std::vector<workspace_use> credit_account::take_report(instant now)
{
    std::vector<workspace_use> out;
    is_urgent_ = false;
    for (auto& [name, item] : accounts_)
    {
        if (!item.must_report(now))
            continue;
        item.has_news = false;
        item.reported = item.admitted;
        item.last_report = now;
        if (item.unanswered.size() == max_unanswered)
            item.unanswered.pop_front();
        auto const wanted = item.wanted(now);
        item.asked = 0;
        item.unanswered.push_back({now, item.admitted, wanted});
        out.push_back({name, item.admitted, wanted});
    }
    return out;
}

void credit_account::apply(std::vector<credit_line> const& lines, instant reported_at, instant now)
{
    for (auto const& line : lines)
    {
        auto const found = accounts_.find(line.workspace);
        if (found != accounts_.end())
            found->second.apply(line, reported_at, now);
    }
}

std::int64_t credit_account::credit(workspace_name const& workspace, instant now) const
{
    auto const found = accounts_.find(workspace);
    if (found == accounts_.end() || now >= found->second.valid_until)
        return 0;
    return std::max<std::int64_t>(0, found->second.ceiling - found->second.admitted);
}

} // namespace guavashed
