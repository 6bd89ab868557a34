// A control host's part in the lease exchange: the leader answers, a follower passes requests on to
// the leader and its grants back.
#include "base/codec.hpp"
#include "base/log.hpp"
#include "fleet/registry_node.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Entry hosts ask again after at most a second; a grant that returns later is of little use.
constexpr milliseconds route_timeout{1500};
/// For the leader's disk to confirm, and for its state to apply, what the group has committed. With
/// the way to the leader it stays below the lag of reports that credit lines allow for.
constexpr milliseconds max_wait_for_apply{150};
/// Above the number of entry hosts of any deployment (docs/CAPACITY.md).
constexpr std::size_t max_routes = 4096;
/// Urgent requests of 0.4 s at 1,000 hosts.
constexpr std::size_t max_waiting = 2048;

} // namespace

bool registry_node::holds_acknowledged(instant now) const
{
    return raft_->lease_holds(now) && raft_->caught_up() &&
           replica_->applied() == raft_->commit_index();
}

void registry_node::update_quota_ledger(instant now)
{
    // Limits that are still being read from the log are not configured: each would start with a
    // full bucket after the term has begun.
    if (!holds_acknowledged(now))
        return;
    if (register_.access_changed() != quota_access_changed_)
    {
        quota_access_changed_ = register_.access_changed();
        quota_ledger_.configure(register_.access(), now);
    }
    if (raft_->term() == quota_term_)
        return;
    quota_term_ = raft_->term();
    quota_ledger_.begin_term(now);
    log_change(log_level::info, "lease_term",
               "term=" + std::to_string(quota_term_.value()) +
                   " access_index=" + std::to_string(quota_access_changed_.value()));
}

void registry_node::on_lease_request(frame_session_ptr const& session, lease_request message)
{
    ++counters_.lease_requests;
    instant const now = instant::clock::now();
    if (!raft_->is_leader())
        return forward_lease_request(session, message, now);
    if (holds_acknowledged(now))
        return grant_lease(session, message, now);
    // All of them, in their order: a later request of a host does not ask again for what an earlier
    // one asked for.
    if (waiting_leases_.size() < max_waiting)
        waiting_leases_.push_back({session, std::move(message), now + max_wait_for_apply});
}

void registry_node::grant_lease(frame_session_ptr const& session, lease_request const& message,
                                instant now)
{
    // Everything that was acknowledged before `now` is applied here, and no other host has led
    // since: what is read below may be granted however late the grant arrives, as its lease counts
    // from the sending of the request.
    update_quota_ledger(now);
    ++counters_.lease_grants;
    lease_grant out;
    out.host = message.host;
    out.life = message.life;
    out.number = message.number;
    out.leader = settings_.peer_listen;
    out.access_index = register_.access_changed().value();
    if (settings_.quota.window_s > 0)
        out.lines = quota_ledger_.exchange(message, now);
    session->send(frame_type::lease_grant, encode(out));
}

void registry_node::grant_waiting_leases(instant now)
{
    update_quota_ledger(now);
    std::erase_if(lease_routes_, [now](auto const& item) { return item.second.until <= now; });
    if (waiting_leases_.empty())
        return;
    if (holds_acknowledged(now))
    {
        for (auto const& waiting : std::exchange(waiting_leases_, {}))
            grant_lease(waiting.session, waiting.request, now);
        return;
    }
    std::erase_if(waiting_leases_, [now](auto const& item) { return item.until <= now; });
}

void registry_node::forward_lease_request(frame_session_ptr const& session,
                                          lease_request const& message, instant now)
{
    // Only for entry hosts: two control hosts that each take the other for the leader would pass a
    // request back and forth.
    auto const link = links_.find(raft_->leader());
    if (!entry_sessions_.contains(session.get()) || link == links_.end())
        return;
    if (lease_routes_.size() >= max_routes && !lease_routes_.contains(message.host))
        return;
    if (!link->second->send(frame_type::lease_request, encode(message)))
        return;
    lease_routes_[message.host] = {session, message.life, now + route_timeout};
    ++counters_.leases_forwarded;
}

void registry_node::on_lease_grant(lease_grant const& message)
{
    auto const route = lease_routes_.find(message.host);
    if (route == lease_routes_.end() || route->second.life != message.life)
        return;
    // The entry host may have several requests under way; the route expires by itself.
    ++counters_.lease_grants_passed_on;
    route->second.session->send(frame_type::lease_grant, encode(message));
}

void registry_node::add_lease_metrics(metric_sink const& line) const
{
    line("lease_requests_total", counters_.lease_requests);
    line("lease_grants_total", counters_.lease_grants);
    line("lease_requests_forwarded_total", counters_.leases_forwarded);
    line("lease_grants_passed_on_total", counters_.lease_grants_passed_on);
    line("lease_requests_waiting", waiting_leases_.size());
    line("access_changed_index", register_.access_changed().value());
}

} // namespace guavashed
