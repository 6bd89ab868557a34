// The replication part of raft: appends, snapshots and the commit index.
#include "base/codec.hpp"
#include "base/invariant.hpp"
#include "control/raft.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr milliseconds snapshot_retry_interval{1000};

} // namespace

void raft::broadcast(instant now)
{
    heartbeat_due_ = now + settings_.heartbeat;
    for (auto const& member : membership_.members)
        if (member.host != settings_.self)
            send_append(now, member);
}

void raft::send_append(instant now, raft_member const& to)
{
    progress& peer = peers_[to.host];
    if (peer.next.value() == 0)
        peer.next = after(last_index());
    if (peer.next < first_index())
        return send_snapshot(now, to, peer);
    raft_message out = message_to(to, raft_message_kind::append);
    out.index = before(peer.next);
    out.index_term = term_at(out.index);
    out.commit = commit_;
    out.sent_ns = now.time_since_epoch().count();
    out.lease_left_ms =
        lease_holds(now) ? remaining_ms(std::min(lease_end(), now + settings_.election), now) : 0;
    std::size_t bytes = 0;
    for (log_index at = peer.next; at <= last_index(); at = after(at))
    {
        raft_entry const& entry = entry_at(at);
        bytes += entry.payload.size();
        bool const batch_full = out.entries.size() >= settings_.max_batch_entries ||
                                (bytes > settings_.max_batch_bytes && !out.entries.empty());
        if (batch_full)
            break;
        out.entries.push_back(entry);
    }
    if (!peer.probing)
        peer.next = log_index(peer.next.value() + out.entries.size());
    pending_.messages.push_back(std::move(out));
}

void raft::send_snapshot(instant now, raft_member const& to, progress& peer)
{
    raft_message out = message_to(to, raft_message_kind::snapshot);
    out.commit = commit_;
    out.sent_ns = now.time_since_epoch().count();
    if (now < peer.snapshot_retry_due)
        return;
    peer.snapshot_retry_due = now + snapshot_retry_interval;
    out.snapshot = encode(snapshot_);
    pending_.messages.push_back(std::move(out));
}

void raft::on_append(instant now, raft_message const& message)
{
    raft_message reply =
        message_to({message.from, message.from_disk, true}, raft_message_kind::append_reply);
    reply.sent_ns = message.sent_ns;
    if (message.term < vote_.term)
    {
        pending_.messages.push_back(std::move(reply));
        return;
    }
    GUAVASHED_INVARIANT(!is_leader() || message.term > vote_.term)
        << message.from << " and " << settings_.self << " are both leaders of term " << vote_.term;
    if (message.term > vote_.term || role() != raft_role_state::follower || leader_ != message.from)
        become_follower(now, message.term, message.from);
    reset_election(now);
    vote_barrier_ = now + settings_.election;
    reply.term = vote_.term;
    reply.granted = accept_entries(message);
    reply.index = reply.granted
                      ? log_index(message.index.value() + message.entries.size())
                      : std::min(last_index(), before(std::max(message.index, log_index(1))));
    if (reply.granted)
        commit_to(std::min(message.commit, reply.index));
    // A replica that lacks an entry which the leader has committed must not pass for up to date.
    if (reply.granted && commit_ >= message.commit)
        fresh_until_ = now + milliseconds(message.lease_left_ms);
    pending_.messages.push_back(std::move(reply));
}

bool raft::accept_entries(raft_message const& message)
{
    if (message.index > last_index())
        return false;
    if (message.index >= snapshot_.index && term_at(message.index) != message.index_term)
        return false;
    for (auto const& entry : message.entries)
    {
        if (entry.index <= snapshot_.index)
            continue;
        if (entry.index <= last_index())
        {
            if (entry_at(entry.index).term == entry.term)
                continue;
            GUAVASHED_INVARIANT(entry.index > commit_)
                << "committed entry " << entry.index << " of term " << entry_at(entry.index).term
                << " would be overwritten by one of term " << entry.term << " from "
                << message.from;
            entries_.resize(entry.index.value() - first_index().value());
            std::erase_if(pending_.append,
                          [&](raft_entry const& item) { return item.index >= entry.index; });
            pending_.truncate_from =
                std::min(pending_.truncate_from.value_or(entry.index), entry.index);
            stable_ = std::min(stable_, before(entry.index));
            in_flight_last_ = std::min(in_flight_last_, before(entry.index));
            reload_membership();
        }
        GUAVASHED_INVARIANT(entry.index == after(last_index()))
            << "entry " << entry.index << " would leave a gap after " << last_index();
        entries_.push_back(entry);
        pending_.append.push_back(entry);
        if (entry.kind == entry_kind::membership)
            if (auto decoded = decode<raft_membership>(entry.payload, message.from.value()))
                adopt_membership(std::move(decoded).value(), entry.index);
    }
    return true;
}

void raft::on_append_reply(instant now, raft_message const& message)
{
    if (message.term > vote_.term)
        return become_follower(now, message.term, host_name());
    if (!is_leader() || message.term < vote_.term || !known_sender(message))
        return;
    progress& peer = peers_[message.from];
    peer.last_reply = now;
    peer.lease_start = std::max(peer.lease_start, instant(instant::duration(message.sent_ns)));
    if (!message.granted)
    {
        peer.probing = true;
        peer.next = std::min(after(message.index), after(last_index()));
        return send_append(now, *membership_.find(message.from));
    }
    peer.probing = false;
    peer.match = std::max(peer.match, message.index);
    peer.next = std::max(peer.next, after(peer.match));
    advance_commit();
    if (peer.next <= last_index())
        send_append(now, *membership_.find(message.from));
}

void raft::on_snapshot_message(instant now, raft_message const& message)
{
    raft_message reply =
        message_to({message.from, message.from_disk, true}, raft_message_kind::append_reply);
    reply.sent_ns = message.sent_ns;
    // The reply tells the sender of the later term. A leader that sends this replica snapshots only
    // would otherwise never learn of it.
    if (message.term < vote_.term)
    {
        pending_.messages.push_back(std::move(reply));
        return;
    }
    if (message.term > vote_.term || role() != raft_role_state::follower)
        become_follower(now, message.term, message.from);
    leader_ = message.from;
    reset_election(now);
    vote_barrier_ = now + settings_.election;
    auto decoded = decode<raft_snapshot>(message.snapshot, message.from.value());
    if (!decoded)
        return;
    raft_snapshot& snapshot = decoded.value();
    bool const already_in_log = snapshot.index > commit_ && snapshot.index <= last_index() &&
                                term_at(snapshot.index) == snapshot.term;
    // A delayed snapshot must not drop later entries that this replica has acknowledged.
    if (already_in_log)
        commit_to(snapshot.index);
    else if (snapshot.index > commit_)
        install(std::move(snapshot));
    reply.term = vote_.term;
    reply.granted = true;
    reply.index = commit_;
    pending_.messages.push_back(std::move(reply));
}

void raft::advance_commit()
{
    std::vector<log_index> matches;
    for (auto const& member : membership_.members)
        if (member.voter)
            matches.push_back(member.host == settings_.self ? stable_ : peers_[member.host].match);
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    log_index const majority_match = matches[membership_.quorum() - 1];
    // Replicas are counted only for entries of the leader's own term; entries of earlier terms are
    // committed along with one (Raft paper, section 5.4.2).
    if (majority_match <= commit_ || majority_match < leader_start_)
        return;
    GUAVASHED_INVARIANT(term_at(majority_match) == vote_.term)
        << "entry " << majority_match << " of term " << term_at(majority_match)
        << " is being committed by count in term " << vote_.term;
    commit_to(majority_match);
}

void raft::commit_to(log_index index)
{
    if (index <= commit_)
        return;
    GUAVASHED_INVARIANT(index <= last_index())
        << "commit index " << index << " is past the end of the log, " << last_index();
    commit_ = index;
    while (applied_ < commit_)
    {
        applied_ = after(applied_);
        pending_.committed.push_back(entry_at(applied_));
    }
}

} // namespace guavashed
