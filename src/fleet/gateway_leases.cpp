// An entry host's exchange with the leader of the control hosts: the lease of the keys, and the
// credit of limited workspaces, for which requests wait a short time.
#include "base/codec.hpp"
#include "base/log.hpp"
#include "fleet/gateway_node.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Between checks while a request is due and no session is open, and least wait of the timer.
constexpr milliseconds min_timer_wait{10};
constexpr unsigned status_over_limit = 429;
/// A lease request or its grant may be lost: after this, a little more than a round trip between
/// regions, requests that still wait are asked for again.
constexpr milliseconds ask_again_interval{150};
/// Requests of one workspace that may wait, so that others have room.
constexpr std::size_t max_held_of_workspace = 64;
/// Least time that a request waits for credit: two round trips between regions.
constexpr milliseconds min_hold{250};
/// Part of a route's latency objective that its requests may wait for credit. On a saturated link
/// the exchange with the leader takes longer than two round trips, and a refusal sends the caller
/// back into the same overload.
constexpr double hold_fraction = 0.5;

} // namespace

bool gateway_node::limits_in_force() const
{
    return settings_.quota.window_s > 0;
}

lease_need gateway_node::need_of_lease(instant now) const
{
    lease_need out;
    bool const has_limits = limits_in_force() && access_ && access_->has_limits();
    out.active = settings_.key_lease.strict || (access_ && access_->requires_key() && has_limits);
    out.has_uses = has_limits && credit_.has_report(now);
    out.urgent = has_limits && credit_.is_report_urgent();
    out.entry_hosts = board_.entry_hosts();
    return out;
}

void gateway_node::end_first_wait(instant now)
{
    if (first_lease_by_ == instant() || (!lease_.keys_usable(now) && now < first_lease_by_))
        return;
    first_lease_by_ = instant();
    report_when_due(now);
}

void gateway_node::drive_lease(instant now)
{
    end_first_wait(now);
    for (auto const& item : held_.take_expired(now))
    {
        if (item->finished)
            continue;
        ++counters_.hold_timeouts;
        refuse_without_credit(item, "no credit for the workspace in time", now);
    }
    if (!held_.empty() && now >= ask_again_at_)
        decide_held(now);
    lease_need const need = need_of_lease(now);
    if (need.active)
        lease_.log_changes(now);
    bool const asked = now < lease_.next_request(need) || send_lease_request(now);
    instant due = held_.next_expiry();
    // Without a session, the next one that opens sends the request.
    if (asked)
        due = std::min(due, lease_.next_request(need_of_lease(now)));
    if (!held_.empty())
        due = std::min(due, ask_again_at_);
    if (due == instant::max())
        return;
    lease_timer_.expires_at(timer_point(std::max(due, now + min_timer_wait)));
    lease_timer_.async_wait(
        [this](boost::system::error_code code)
        {
            if (!code)
                drive_lease(instant::clock::now());
        });
}

bool gateway_node::send_lease_request(instant now)
{
    std::vector<endpoint_text> open;
    for (auto const& [endpoint, control] : control_links_)
        if (control.session != nullptr)
            open.push_back(endpoint);
    endpoint_text const target = lease_.select(open, source_, now);
    if (target == endpoint_text())
        return false;
    lease_request out = lease_.begin_request(now);
    if (limits_in_force())
        out.uses = credit_.take_report(now);
    control_links_[target].link->send(frame_type::lease_request, encode(out));
    return true;
}

void gateway_node::on_lease_grant(lease_grant const& grant)
{
    instant const now = instant::clock::now();
    auto const sent_at = lease_.accept(grant, now);
    if (!sent_at)
        return;
    if (limits_in_force())
        credit_.apply(grant.lines, *sent_at, now);
    decide_held(now);
    drive_lease(now);
}

void gateway_node::decide_held(instant now)
{
    ask_again_at_ = now + ask_again_interval;
    for (auto& held : held_.take_all())
    {
        if (held.item->finished)
            continue;
        // A workspace without credit at this grant is asked for again until its time is over.
        if (decide_credit(held.item, now, true) == credit_verdict::unknown)
            held_.put_back(std::move(held));
        else if (held.item->has_credit)
            dispatch(held.item);
    }
}

bool gateway_node::take_credit(call_ptr const& item, instant now)
{
    if (!limits_in_force() || !item->workspace->is_limited())
        return true;
    if (decide_credit(item, now, false) == credit_verdict::unknown)
        hold_for_credit(item, now);
    return item->has_credit;
}

credit_verdict gateway_node::decide_credit(call_ptr const& item, instant now, bool was_held)
{
    credit_decision const decision = credit_.admit(item->workspace->name, now, was_held);
    item->has_credit = decision.verdict == credit_verdict::admitted;
    if (decision.verdict != credit_verdict::over_limit)
        return decision.verdict;
    ++counters_.over_limit;
    std::uint32_t const hint =
        limit_hint_ms(decision.wait_ms, std::uniform_real_distribution<double>()(random_));
    answer(item,
           protocol_.local_response(status_over_limit, item->facts.id,
                                    "the limit of the workspace is used up", hint),
           "over_limit", "retry_after_ms=" + std::to_string(hint));
    return decision.verdict;
}

void gateway_node::hold_for_credit(call_ptr const& item, instant now)
{
    if (open_sessions() == 0)
        return refuse_without_credit(item, "no credit for the workspace, and no control host", now);
    milliseconds const hold(static_cast<std::int64_t>(item->route->objective_ms * hold_fraction));
    instant const until = std::min(item->deadline, now + std::max(min_hold, hold));
    std::size_t const waiting = held_.count(
        [&item](call_ptr const& other) { return other->workspace->name == item->workspace->name; });
    if (held_.empty())
        ask_again_at_ = now + ask_again_interval;
    if (is_cutting_short_ || waiting >= max_held_of_workspace || !held_.add(item, until))
        return refuse_without_credit(item, "too many requests wait for credit", now);
    ++counters_.held;
    drive_lease(now);
}

void gateway_node::refuse_without_credit(call_ptr const& item, std::string const& reason,
                                         instant now)
{
    refuse(item, reason, lease_.expected_grant_ms(now));
}

void gateway_node::return_credit(call& item)
{
    if (!item.has_credit)
        return;
    item.has_credit = false;
    ++counters_.credit_refunds;
    credit_.refund(item.workspace->name);
}

void gateway_node::refuse_held()
{
    for (auto const& held : held_.take_all())
        if (!held.item->finished)
            refuse(held.item, "this host stops", leaving_retry_after_ms);
}

void gateway_node::add_lease_metrics(metric_sink const& line) const
{
    lease_counters const& lease = lease_.counters();
    line("lease_requests_total", lease.requests);
    line("lease_grants_total", lease.grants);
    line("lease_unexpected_grants_total", lease.unexpected_grants);
    line("lease_losses_total", lease.losses);
    line("lease_remaining_ms", remaining_ms(lease_.usable_until(), instant::clock::now()));
    line("refused_without_lease_total", counters_.without_lease);
    line("held_for_credit", held_.size());
    line("held_for_credit_total", counters_.held);
    line("held_for_credit_timeouts_total", counters_.hold_timeouts);
    line("over_limit_total", counters_.over_limit);
    line("credit_refunds_total", counters_.credit_refunds);
}

} // namespace guavashed
