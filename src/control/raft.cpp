// The parts of raft that every role uses: the log, proposals, batches and the lease.
#include "control/raft.hpp"

#include "base/codec.hpp"
#include "base/invariant.hpp"

#include <algorithm>
#include <iterator>

namespace guavashed
{
namespace
{

/// The lease ends before the election timeout by a margin for clock drift: the clocks of two hosts
/// are assumed to drift apart by less than a tenth of a lease.
constexpr int lease_tenths_of_election = 9;
/// A leader steps down after this many election timeouts without replies from a quorum.
constexpr int step_down_after_elections = 2;

} // namespace

raft::raft(raft_settings settings, raft_restored restored, instant now)
    : settings_(std::move(settings)), vote_(restored.vote), snapshot_(std::move(restored.snapshot)),
      entries_(std::make_move_iterator(restored.entries.begin()),
               std::make_move_iterator(restored.entries.end())),
      random_(settings_.seed)
{
    commit_ = snapshot_.index;
    applied_ = snapshot_.index;
    stable_ = last_index();
    in_flight_last_ = stable_;
    reload_membership();
    // An append accepted before the restart may still back a leader's lease, but its time was not
    // persisted. Grant no vote until such a lease must have ended.
    vote_barrier_ = now + settings_.election;
    reset_election(now);
}

log_index raft::last_index() const
{
    return log_index(snapshot_.index.value() + entries_.size());
}

raft_entry const& raft::entry_at(log_index index) const
{
    GUAVASHED_INVARIANT(index >= first_index() && index <= last_index())
        << "entry " << index << " is not in the log " << first_index() << " to " << last_index();
    return entries_[index.value() - first_index().value()];
}

log_term raft::term_at(log_index index) const
{
    return index == snapshot_.index ? snapshot_.term : entry_at(index).term;
}

bool raft::is_voter() const
{
    raft_member const* self = membership_.find(settings_.self);
    return self != nullptr && self->disk == settings_.disk && self->voter;
}

void raft::reload_membership()
{
    membership_ = snapshot_.membership;
    membership_index_ = snapshot_.index;
    for (auto const& entry : entries_)
        if (entry.kind == entry_kind::membership)
            if (auto decoded = decode<raft_membership>(entry.payload, "own log"))
                adopt_membership(std::move(decoded).value(), entry.index);
}

void raft::adopt_membership(raft_membership membership, log_index at)
{
    membership_ = std::move(membership);
    membership_index_ = at;
    std::erase_if(peers_, [&](auto const& peer) { return !membership_.find(peer.first); });
}

raft_message raft::message_to(raft_member const& to, raft_message_kind kind) const
{
    raft_message out;
    out.kind = kind;
    out.from = settings_.self;
    out.from_disk = settings_.disk;
    out.to = to.host;
    out.to_disk = to.disk;
    out.term = vote_.term;
    return out;
}

void raft::tick(instant now)
{
    if (is_leader())
    {
        if (handing_over_ && now >= hand_over_deadline_)
            handing_over_ = false;
        std::size_t responsive = 1;
        for (auto const& member : membership_.members)
        {
            if (!member.voter || member.host == settings_.self)
                continue;
            if (peers_[member.host].last_reply + settings_.election * step_down_after_elections >
                now)
                ++responsive;
        }
        if (responsive < membership_.quorum())
            return become_follower(now, vote_.term, host_name());
        if (now >= heartbeat_due_)
            broadcast(now);
        return;
    }
    if (now < election_due_)
        return;
    if (is_voter())
        return start_pre_vote(now);
    // It may have been removed from the group, whose leader then tells it nothing more.
    leader_ = host_name();
}

log_index raft::append_entry(entry_kind kind, std::string payload)
{
    raft_entry entry{vote_.term, after(last_index()), kind, std::move(payload)};
    log_index const index = entry.index;
    entries_.push_back(entry);
    pending_.append.push_back(std::move(entry));
    return index;
}

result<log_index> raft::propose(std::string command)
{
    if (!is_leader() || handing_over_)
        return fail(error_code::not_leader, "propose", leader_.value(),
                    "this replica is not the leader of term " + std::to_string(vote_.term.value()) +
                        " or is handing leadership over");
    return append_entry(entry_kind::command, std::move(command));
}

result<log_index> raft::propose_membership(raft_membership membership)
{
    if (!is_leader() || handing_over_)
        return fail(error_code::not_leader, "propose membership", leader_.value(),
                    "this replica is not the leader of term " + std::to_string(vote_.term.value()) +
                        " or is handing leadership over");
    if (!membership_settled() || !caught_up())
        return fail(
            error_code::conflict, "propose membership", "",
            "the last membership change, at index " + std::to_string(membership_index_.value()) +
                ", or the leader's first entry, at index " + std::to_string(leader_start_.value()) +
                ", is not committed; the commit index is " + std::to_string(commit_.value()));
    std::size_t changes = 0;
    auto const differs = [](raft_membership const& in, raft_member const& item)
    {
        raft_member const* other = in.find(item.host);
        return other == nullptr || other->disk != item.disk || other->voter != item.voter;
    };
    for (auto const& item : membership.members)
        changes += item.voter && differs(membership_, item) ? 1 : 0;
    for (auto const& item : membership_.members)
        changes += item.voter && differs(membership, item) ? 1 : 0;
    if (changes > 1)
        return fail(error_code::conflict, "propose membership", "",
                    std::to_string(changes) +
                        " voters would be added or removed at once; at most 1 is allowed");
    log_index const index = append_entry(entry_kind::membership, encode(membership));
    adopt_membership(std::move(membership), index);
    return index;
}

bool raft::known_sender(raft_message const& message) const
{
    raft_member const* member = membership_.find(message.from);
    return member != nullptr && member->disk == message.from_disk;
}

void raft::step(instant now, raft_message const& message)
{
    if (message.to != settings_.self || message.to_disk != settings_.disk)
        return;
    switch (message.kind)
    {
    case raft_message_kind::pre_vote:
    case raft_message_kind::vote:
        return on_vote_request(now, message);
    case raft_message_kind::pre_vote_reply:
    case raft_message_kind::vote_reply:
        return on_vote_reply(now, message);
    case raft_message_kind::append:
        return on_append(now, message);
    case raft_message_kind::append_reply:
        return on_append_reply(now, message);
    case raft_message_kind::snapshot:
        return on_snapshot_message(now, message);
    case raft_message_kind::timeout_now:
        if (message.term == vote_.term && is_voter() && !is_leader())
        {
            force_election_ = true;
            role_.fire(raft_role_event::election_due);
            start_vote(now);
        }
        return;
    }
}

void raft::install(raft_snapshot snapshot)
{
    snapshot_ = snapshot;
    entries_.clear();
    commit_ = applied_ = stable_ = in_flight_last_ = snapshot.index;
    reload_membership();
    pending_.append.clear();
    pending_.truncate_from.reset();
    pending_.committed.clear();
    pending_.install = std::move(snapshot);
}

void raft::found(raft_snapshot snapshot)
{
    GUAVASHED_INVARIANT(last_index().value() == 0)
        << "a group is founded on an empty log only; the last index is " << last_index();
    install(std::move(snapshot));
}

std::vector<raft_entry> raft::persisted_after(log_index index) const
{
    std::vector<raft_entry> out;
    for (auto const& entry : entries_)
        if (entry.index > index && entry.index <= stable_)
            out.push_back(entry);
    return out;
}

raft_batch raft::take_batch()
{
    if (in_flight_ || pending_.empty())
        return {};
    in_flight_ = true;
    in_flight_appends_ = !pending_.append.empty();
    in_flight_last_ = last_index();
    return std::exchange(pending_, {});
}

void raft::on_persisted(instant now)
{
    GUAVASHED_INVARIANT(in_flight_) << "on_persisted was called without a batch in flight";
    in_flight_ = false;
    stable_ = std::max(stable_, in_flight_last_);
    if (!is_leader())
        return;
    advance_commit();
    if (!in_flight_appends_)
        return;
    for (auto const& member : membership_.members)
        if (member.host != settings_.self && peers_[member.host].next <= last_index())
            send_append(now, member);
}

void raft::on_snapshot(raft_snapshot snapshot)
{
    GUAVASHED_INVARIANT(snapshot.index <= applied_ && snapshot.index >= snapshot_.index)
        << "snapshot index " << snapshot.index << " is not between " << snapshot_.index << " and "
        << applied_;
    std::size_t const dropped = snapshot.index.value() - snapshot_.index.value();
    entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(dropped));
    snapshot_ = std::move(snapshot);
}

instant raft::lease_end() const
{
    std::vector<instant> send_times;
    for (auto const& member : membership_.members)
    {
        if (!member.voter || member.host == settings_.self)
            continue;
        auto const peer = peers_.find(member.host);
        send_times.push_back(peer == peers_.end() ? instant() : peer->second.lease_start);
    }
    std::size_t const needed_replies = membership_.quorum() - 1;
    if (needed_replies == 0)
        return instant::max();
    std::sort(send_times.begin(), send_times.end(), std::greater<>());
    if (send_times.size() < needed_replies || send_times[needed_replies - 1] == instant())
        return instant();
    return send_times[needed_replies - 1] + settings_.election * lease_tenths_of_election / 10;
}

bool raft::lease_holds(instant now) const
{
    return is_leader() && !handing_over_ && now < lease_end();
}

instant raft::fresh_until() const
{
    if (!is_leader())
        return fresh_until_;
    return handing_over_ ? instant() : lease_end();
}

bool raft::caught_up() const
{
    return is_leader() && commit_ >= leader_start_;
}

log_index raft::match_index_of(host_name const& host) const
{
    auto const at = peers_.find(host);
    return at == peers_.end() ? log_index(0) : at->second.match;
}

instant raft::last_reply_from(host_name const& host) const
{
    auto const at = peers_.find(host);
    return at == peers_.end() ? instant() : at->second.last_reply;
}

} // namespace guavashed
