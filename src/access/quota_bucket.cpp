// Charges reports, keeps credit lines outstanding until they are resolved, and divides the rest.
#include "access/quota_bucket.hpp"

#include "access/credit_times.hpp"
#include "base/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace guavashed
{
namespace
{

/// Part of the tolerated excess that lines may use; the rest covers messages that arrive late and
/// refunds of requests admitted before the window.
constexpr double usable_part = 0.8;
/// Part that lines may use in the first window of a term, beside the former leader's. Without it, a
/// workspace of a few requests per second has an empty bucket for seconds after a change.
constexpr double early_part = 0.1;
/// Level, as a part of the depth, from which each host may hold one credit.
constexpr double nearly_full = 0.75;
/// Part of the usable level that must be free for lines that hosts hold in reserve.
constexpr double plenty = 0.25;
/// Reports may be overtaken by up to this much, so lines count as outstanding that much longer.
constexpr milliseconds report_lag{250};
/// A host without an exchange for this long after the end of its line is taken as cut off: hosts
/// exchange at least once a second.
constexpr milliseconds silence_limit{1250};
/// Longest time between two exchanges for which inflow is owed to a host.
constexpr milliseconds max_accrual{1000};
constexpr double max_wait_ms = 60'000;

/// Bounds what a corrupt report may hold, so that ceilings don't overflow.
std::int64_t plausible_total(quota_bucket::report const& use)
{
    return std::clamp(use.total, std::int64_t{0}, std::int64_t{1} << 53);
}

instant after(instant from, double span_s)
{
    return from +
           std::chrono::duration_cast<instant::duration>(std::chrono::duration<double>(span_s));
}

} // namespace

double quota_bucket::slot::remaining() const
{
    return static_cast<double>(std::max({ceiling, former_ceiling, total}) - total);
}

quota_bucket::quota_bucket(quota_settings settings, double rate, double burst, double level,
                           instant now)
    : settings_(settings), rate_(rate), burst_(burst), level_(level), refilled_(now),
      lines_expired_(now), excess_from_(now)
{
    set_limit(rate, burst, now, {});
}

void quota_bucket::set_limit(double rate, double burst, instant now,
                             host_activity const& last_exchange)
{
    GUAVASHED_INVARIANT(rate > 0) << "rate " << rate;
    advance(now, last_exchange);
    rate_ = rate;
    burst_ = burst;
    // Without room for one request, no request would ever be admitted.
    depth_ = std::max(burst, 1.0);
    usable_excess_ =
        usable_part * (settings_.overshoot * (rate * settings_.window_s + burst) + settings_.slack);
    level_ = std::min(level_, depth_);
}

void quota_bucket::begin_term(instant now)
{
    slots_.clear();
    checks_ = {};
    outstanding_ = 0;
    wanted_sum_ = 0;
    owed_ = 0;
    level_ = 0;
    refilled_ = std::max(refilled_, now);
    lines_expired_ = now + credit_lifetime + report_lag;
    // The former leader may have used the excess up to now. A window that begins before this term
    // must not contain the excess twice.
    excess_from_ = after(lines_expired_, settings_.window_s);
}

void quota_bucket::refill(instant now)
{
    if (now <= refilled_)
        return;
    level_ = std::min(depth_, level_ + rate_ * seconds(now - refilled_));
    refilled_ = now;
}

void quota_bucket::charge(double requests)
{
    // The floor bounds what a corrupt total costs: the bucket recovers within a few windows.
    double const floor = -2 * (depth_ + usable_excess_ + rate_);
    level_ = std::clamp(level_ - requests, floor, depth_);
}

void quota_bucket::charge_remaining(slot const& of)
{
    charge(of.remaining());
    charged_unreported_ += of.remaining();
}

void quota_bucket::advance(instant now, host_activity const& last_exchange)
{
    while (!checks_.empty() && checks_.top().at <= now)
    {
        check const due = checks_.top();
        checks_.pop();
        // Charges are dated, since the inflow after them must not be lost at the brim.
        refill(due.at);
        resolve(due, last_exchange);
    }
    refill(now);
}

void quota_bucket::resolve(check const& due, host_activity const& last_exchange)
{
    auto const found = slots_.find(due.host);
    if (found == slots_.end())
        return;
    slot& of = found->second;
    instant const end = std::max(of.until, of.former_until);
    if (end > due.at)
    {
        checks_.push({end, due.host});
        return;
    }
    wanted_sum_ -= of.wanted;
    of.wanted = 0;
    if (of.remaining() > 0 && last_exchange(due.host) < end)
    {
        if (due.at < end + silence_limit)
        {
            checks_.push({due.at + credit_exchange_interval, due.host});
            return;
        }
        charge_remaining(of);
    }
    // An exchange that doesn't name the workspace shows that its total has not changed.
    outstanding_ -= of.remaining();
    owed_ -= of.carry;
    slots_.erase(found);
    if (slots_.empty())
        owed_ = 0; // drops rounding errors
}

void quota_bucket::charge_report(slot& of, report const& use, instant now)
{
    std::int64_t const total = plausible_total(use);
    double const elapsed = seconds(now - of.reported);
    of.refundable *= std::exp(-elapsed / std::max(settings_.window_s, 1.0));
    // A correct host admits no more than its line and refunds no more than it admitted.
    double const used = std::clamp(static_cast<double>(total) - static_cast<double>(of.total),
                                   -of.refundable, of.remaining() + depth_ + usable_excess_);
    of.refundable = std::max(0.0, of.refundable + used);
    charge(used);
    of.total = total;
}

double quota_bucket::usable_level(instant now) const
{
    if (now >= excess_from_)
        return level_ + usable_excess_;
    return level_ + (now >= lines_expired_ ? early_part / usable_part * usable_excess_ : 0);
}

quota_bucket::grant quota_bucket::exchange(report const& use, instant now,
                                           host_activity const& last_exchange)
{
    advance(now, last_exchange);
    auto const [found, is_first] = slots_.try_emplace(use.host);
    slot& of = found->second;
    if (is_first)
        checks_.push({now + credit_lifetime + report_lag, use.host});
    outstanding_ -= of.remaining();
    owed_ -= of.carry;
    if (!is_first && of.life != use.life)
    {
        // Nobody will report what the former process spent. The total of the new one is charged.
        charge_remaining(of);
        wanted_sum_ -= of.wanted;
        of = slot();
        of.life = use.life;
        of.reported = now;
    }
    if (is_first)
    {
        // A baseline: without a line from this leader the host has admitted nothing in this term
        // but by lines of the former leader, which the first 1.5 s of the term leave room for.
        of.life = use.life;
        of.reported = now;
        of.total = of.ceiling = of.former_ceiling = plausible_total(use);
    }
    charge_report(of, use, now);
    if (of.former_until <= now)
        of.former_ceiling = of.total;
    if (of.until <= now)
        of.ceiling = of.total;
    double wanted = std::min<double>(use.wanted, std::max(1.0, depth_ + usable_excess_));
    // The last of two is a reserve: nobody waits for it, and it would mostly expire unused.
    double const usable = usable_level(now);
    if (wanted <= 2 && usable - outstanding_ < plenty * usable)
        wanted = std::max(wanted - 1, 0.0);
    wanted_sum_ += wanted - of.wanted;
    of.wanted = wanted;

    grant const out = decide(of, usable_level(now) - outstanding_, now);
    std::int64_t const ceiling = of.total + out.credit;
    if (ceiling < of.ceiling)
    {
        of.former_ceiling = std::max(of.former_ceiling, of.ceiling);
        of.former_until = std::max(of.former_until, of.until);
    }
    of.ceiling = ceiling;
    of.until = now + credit_lifetime + report_lag;
    of.reported = now;
    of.has_reported = true;
    outstanding_ += of.remaining();
    owed_ += of.carry;
    return out;
}

quota_bucket::grant quota_bucket::decide(slot& of, double room, instant now) const
{
    double const usable = usable_level(now);
    // While the bucket stays nearly full, less is used than flows in, and what hosts want beyond
    // the level is reserve. Dividing it by demand would leave most hosts without a whole credit.
    bool const is_short = wanted_sum_ > usable && level_ < nearly_full * depth_;
    double const unowed = room - of.remaining() - owed_ - of.carry;
    double target = of.wanted;
    if (is_short)
    {
        // The inflow is owed to the hosts in proportion to their demand, and the rest of the level
        // within one interval. Hosts that ask more often than others get no more by it.
        double const interval = seconds(credit_exchange_interval);
        double const elapsed =
            of.has_reported ? seconds(std::min<instant::duration>(now - of.reported, max_accrual))
                            : interval;
        double const share = of.wanted / std::max(wanted_sum_, 1.0);
        double const gained =
            share * (rate_ * elapsed + std::max(unowed, 0.0) * std::min(1.0, elapsed / interval));
        double const held = static_cast<double>(std::max(of.ceiling - of.total, std::int64_t{0}));
        target = std::min(held + of.carry + gained, of.wanted);
    }
    double granted = std::max(0.0, std::floor(std::min(target, room)));
    of.carry = is_short ? std::clamp(target - granted, 0.0, 1.0) : 0;
    bool const holds_token = level_ >= 1 && unowed >= 1;
    // A single credit may use the rest of the excess, so the bound holds for any arrivals.
    double const reserve = now >= excess_from_ ? usable_excess_ * (1 / usable_part - 1) : 0;
    bool const gets_single = level_ >= nearly_full * depth_ && room + reserve >= 1;
    if (granted < 1 && of.wanted >= 1 && (holds_token || gets_single))
    {
        granted = 1;
        of.carry = 0;
    }
    grant out;
    out.credit = static_cast<std::uint32_t>(granted);
    if (granted < of.wanted && !gets_single && (is_short || room < granted + 1))
        out.wait_ms = wait_ms(of, granted, room, usable - level_);
    return out;
}

std::uint32_t quota_bucket::wait_ms(slot const& of, double granted, double room,
                                    double excess) const
{
    double const own_rate = rate_ * of.wanted / std::max(wanted_sum_, of.wanted);
    double const own_wait = (granted >= 1 ? 1 : 1 - of.carry) / own_rate;
    double const common_wait = (1 - (room - granted)) / rate_;
    // Where the inflow is divided as it comes, the bucket holds about that of one exchange
    // and what is owed.
    double const drained =
        std::max(1.0, rate_ * seconds(credit_exchange_interval) + owed_ - excess);
    double const wait = 1000 * (level_ < drained ? std::max(own_wait, common_wait) : common_wait);
    return static_cast<std::uint32_t>(std::clamp(std::ceil(wait), 1.0, max_wait_ms));
}

} // namespace guavashed
