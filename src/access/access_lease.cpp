// When an entry host asks for a lease, whom it asks, and until when its keys may be used.
#include "access/access_lease.hpp"

#include "base/log.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// A caller whose request waits for credit waits at most 250 ms.
constexpr milliseconds min_urgent_interval{50};
/// The same while requests stay unanswered: the group may be electing a leader.
constexpr milliseconds unanswered_urgent_interval{150};
/// Below the required second: a host that loses contact right before its next request has as much
/// more of its lease left for connecting again.
constexpr milliseconds min_idle_interval{300};
constexpr milliseconds min_report_interval{300};
constexpr milliseconds max_interval{1000};
/// The leader handles at most 200 idle requests, 250 reports and 1,000 urgent requests a second, up
/// to the number of hosts at which the intervals reach their maximum. With 500, 1,000 and 5,000,
/// the bytes between regions cost a fleet of 300 hosts more than what it gained (docs/CAPACITY.md).
constexpr microseconds idle_interval_per_host{5000};
constexpr microseconds report_interval_per_host{4000};
constexpr microseconds urgent_interval_per_host{1000};
/// A forwarded exchange between regions takes two round trips of 110 ms; this allows for a busy
/// host on the way, and is below the time of an election.
constexpr milliseconds answer_timeout{700};
/// Changes of the target that are logged in one outage.
constexpr milliseconds max_logged_outage{3000};
/// Requests of about three seconds at the shortest interval.
constexpr std::size_t max_unanswered = 64;
/// Grants that wait for the view; more than arrive in 5 s at the usual interval.
constexpr std::size_t max_pending = 32;
/// The boot clocks of two hosts drift by at most 0.05%; the rest covers the time from reading the
/// clock to the check.
constexpr int margin_fraction = 100;
constexpr milliseconds min_margin{20};
/// Before the first answer: one round trip between regions.
constexpr double initial_round_trip_ms = 120;
constexpr double smoothing = 0.2;
/// An answer that is overdue by this factor is likely lost.
constexpr double overdue_factor = 2;
/// An election and new sessions, in milliseconds.
constexpr double max_outage_ms = 1500;

milliseconds interval_for(std::size_t entry_hosts, microseconds per_host, milliseconds least)
{
    auto const shared = std::chrono::duration_cast<milliseconds>(per_host * entry_hosts);
    return std::clamp(shared, least, max_interval);
}

} // namespace

milliseconds idle_lease_interval(std::size_t entry_hosts)
{
    return interval_for(entry_hosts, idle_interval_per_host, min_idle_interval);
}

milliseconds report_lease_interval(std::size_t entry_hosts)
{
    return interval_for(entry_hosts, report_interval_per_host, min_report_interval);
}

milliseconds urgent_lease_interval(std::size_t entry_hosts)
{
    return interval_for(entry_hosts, urgent_interval_per_host, min_urgent_interval);
}

access_lease::access_lease(key_lease_settings settings, host_name host, incarnation life)
    : settings_(settings), host_(std::move(host)), life_(life),
      round_trip_ms_(initial_round_trip_ms)
{
}

bool access_lease::is_unanswered_since(milliseconds time, instant now) const
{
    return waiting_since_ && now >= *waiting_since_ + time;
}

instant access_lease::next_request(lease_need const& need) const
{
    if (!need.active)
        return instant::max();
    bool const is_unanswered = is_unanswered_since(answer_timeout / 2, last_sent_);
    milliseconds const shortest = urgent_lease_interval(need.entry_hosts);
    if (need.urgent || session_opened_)
        return last_sent_ +
               (is_unanswered ? std::max(shortest, unanswered_urgent_interval) : shortest);
    return last_sent_ + (need.has_uses ? report_lease_interval(need.entry_hosts)
                                       : idle_lease_interval(need.entry_hosts));
}

endpoint_text access_lease::select(std::vector<endpoint_text> const& open,
                                   endpoint_text const& source, instant now)
{
    auto const is_open = [&open](endpoint_text const& control)
    { return std::find(open.begin(), open.end(), control) != open.end(); };
    endpoint_text const before = target_;
    bool const is_silent = is_unanswered_since(answer_timeout, now);
    if (is_silent || !is_open(leader_))
        leader_ = endpoint_text();
    if (leader_ != endpoint_text())
        target_ = leader_;
    else if (is_silent)
    {
        // The next one in the order of names after the one that did not answer.
        auto const next = std::upper_bound(open.begin(), open.end(), target_);
        target_ = open.empty() ? endpoint_text() : next == open.end() ? open.front() : *next;
    }
    else if (!is_open(target_) || !outage_since_)
        target_ = is_open(source) ? source : open.empty() ? endpoint_text() : open.front();
    if (target_ == endpoint_text() && !outage_since_)
        outage_since_ = now;
    if (target_ != before)
    {
        waiting_since_.reset();
        // While there is no leader, all control hosts are asked in turn.
        if (is_silent && outage_since_ && now >= *outage_since_ + max_logged_outage)
            return target_;
        log_change(log_level::info, "lease_target",
                   "control=" + target_.value() + " before=" + before.value() +
                       " reason=" + (is_silent ? "unanswered" : "session"));
    }
    return target_;
}

lease_request access_lease::begin_request(instant now)
{
    ++counters_.requests;
    session_opened_ = false;
    last_sent_ = now;
    unanswered_.push_back({++last_number_, now});
    if (unanswered_.size() > max_unanswered)
        unanswered_.pop_front();
    if (!waiting_since_)
        waiting_since_ = now;
    if (!outage_since_)
        outage_since_ = now;
    lease_request out;
    out.host = host_;
    out.life = life_;
    out.number = last_number_;
    return out;
}

void access_lease::note_session_opened(instant now)
{
    session_opened_ = session_opened_ || now >= last_sent_ + min_idle_interval ||
                      is_unanswered_since(answer_timeout / 2, now);
}

std::optional<instant> access_lease::accept(lease_grant const& grant, instant now)
{
    auto const at =
        std::find_if(unanswered_.begin(), unanswered_.end(),
                     [&grant](sent_request const& item) { return item.number == grant.number; });
    if (grant.host != host_ || grant.life != life_ || at == unanswered_.end())
    {
        ++counters_.unexpected_grants;
        return std::nullopt;
    }
    ++counters_.grants;
    instant const sent_at = at->sent_at;
    // Requests before the answered one are answered as well: their grants would be older.
    unanswered_.erase(unanswered_.begin(), std::next(at));
    if (unanswered_.empty())
        waiting_since_.reset();
    else
        waiting_since_ = unanswered_.front().sent_at;
    outage_since_ = waiting_since_;
    round_trip_ms_ += smoothing * (ms_between(sent_at, now) - round_trip_ms_);
    if (grant.leader != leader_)
    {
        log_change(log_level::info, "lease_leader",
                   "leader=" + grant.leader.value() + " before=" + leader_.value() +
                       " access_index=" + std::to_string(grant.access_index));
        leader_ = grant.leader;
    }
    extend(grant, sent_at, now);
    return sent_at;
}

void access_lease::extend(lease_grant const& grant, instant sent_at, instant now)
{
    milliseconds const margin = std::max(min_margin, settings_.revoke / margin_fraction);
    // From the sending, not from the arrival: the leader may have read the request at any time
    // between the two, and changes acknowledged after it did are not in `access_index`.
    instant const until = sent_at + settings_.revoke - margin;
    if (grant.access_index <= view_index_)
    {
        usable_until_ = std::max(usable_until_, until);
        return;
    }
    std::erase_if(pending_, [now](pending_lease const& item) { return item.usable_until <= now; });
    if (pending_.size() >= max_pending)
        pending_.pop_front();
    pending_.push_back({grant.access_index, until});
}

void access_lease::note_view(std::uint64_t view_index)
{
    view_index_ = std::max(view_index_, view_index);
    std::erase_if(pending_,
                  [this](pending_lease const& item)
                  {
                      if (item.access_index > view_index_)
                          return false;
                      usable_until_ = std::max(usable_until_, item.usable_until);
                      return true;
                  });
}

bool access_lease::keys_usable(instant now) const
{
    return !settings_.strict || now < usable_until_;
}

bool access_lease::waits_for_view(instant now) const
{
    return std::any_of(pending_.begin(), pending_.end(),
                       [now](pending_lease const& item) { return now < item.usable_until; });
}

double access_lease::expected_grant_ms(instant now) const
{
    if (!outage_since_)
        return std::max(0.0, ms_between(now, last_sent_ + min_idle_interval)) + round_trip_ms_;
    double const age_ms = ms_between(*outage_since_, now);
    if (age_ms < round_trip_ms_ * overdue_factor)
        return std::max(round_trip_ms_ - age_ms, round_trip_ms_ / 2);
    // An outage of unknown cause: half as long again as it has lasted.
    return std::clamp(age_ms / 2, round_trip_ms_, std::max(max_outage_ms, round_trip_ms_));
}

void access_lease::log_changes(instant now)
{
    if (!settings_.strict)
        return;
    bool const is_usable = keys_usable(now);
    if (is_usable == was_usable_)
        return;
    was_usable_ = is_usable;
    if (!is_usable)
    {
        ++counters_.losses;
        return log_change(log_level::warning, "lease_lost",
                          std::string("cause=") + (waits_for_view(now) ? "view" : "no_grant") +
                              " view=" + std::to_string(view_index_) + " unanswered=" +
                              std::to_string(unanswered_.size()) + " control=" + target_.value());
    }
    log_change(log_level::info, was_granted_ ? "lease_regained" : "lease_granted",
               "usable_ms=" + std::to_string(remaining_ms(usable_until_, now)) +
                   " leader=" + leader_.value() + " view=" + std::to_string(view_index_));
    was_granted_ = true;
}

} // namespace guavashed
