// The election part of raft: pre-votes, votes and leadership transfer.
#include "base/codec.hpp"
#include "base/invariant.hpp"
#include "control/raft.hpp"

#include <algorithm>

namespace guavashed
{
void raft::reset_election(instant now)
{
    std::uniform_int_distribution<std::int64_t> jitter(0, settings_.election.count() * 1000);
    election_due_ = now + settings_.election + microseconds(jitter(random_));
}

void raft::become_follower(instant now, log_term term, host_name leader)
{
    if (term > vote_.term)
    {
        vote_ = {term, host_name()};
        pending_.vote = vote_;
    }
    role_.fire(raft_role_event::step_down);
    leader_ = std::move(leader);
    handing_over_ = false;
    force_election_ = false;
    peers_.clear();
    reset_election(now);
}

void raft::start_pre_vote(instant now)
{
    role_.fire(raft_role_event::election_due);
    leader_ = host_name();
    // A transfer that failed gives no right to break the lease of a later leader.
    force_election_ = false;
    votes_.clear();
    votes_[settings_.self] = true;
    reset_election(now);
    if (votes_.size() >= membership_.quorum())
        return start_vote(now);
    request_votes(raft_message_kind::pre_vote, log_term(vote_.term.value() + 1));
}

void raft::start_vote(instant now)
{
    role_.fire(raft_role_event::pre_votes_won);
    vote_ = {log_term(vote_.term.value() + 1), settings_.self};
    pending_.vote = vote_;
    votes_.clear();
    votes_[settings_.self] = true;
    reset_election(now);
    if (votes_.size() >= membership_.quorum())
        return become_leader(now);
    request_votes(raft_message_kind::vote, vote_.term);
}

void raft::request_votes(raft_message_kind kind, log_term term)
{
    for (auto const& member : membership_.members)
    {
        if (!member.voter || member.host == settings_.self)
            continue;
        raft_message request = message_to(member, kind);
        request.term = term;
        request.index = last_index();
        request.index_term = term_at(last_index());
        request.granted = force_election_;
        pending_.messages.push_back(std::move(request));
    }
}

void raft::become_leader(instant now)
{
    role_.fire(raft_role_event::votes_won);
    leader_ = settings_.self;
    force_election_ = false;
    handing_over_ = false;
    peers_.clear();
    for (auto const& member : membership_.members)
    {
        progress& peer = peers_[member.host];
        peer.next = after(last_index());
        peer.last_reply = now;
    }
    leader_start_ = append_entry(entry_kind::leader_start, {});
    broadcast(now);
}

bool raft::hand_over(instant now)
{
    if (!is_leader())
        return false;
    raft_member const* best = nullptr;
    for (auto const& member : membership_.members)
    {
        if (!member.voter || member.host == settings_.self)
            continue;
        if (peers_[member.host].last_reply + settings_.election < now)
            continue;
        if (best == nullptr || peers_[member.host].match > peers_[best->host].match)
            best = &member;
    }
    if (best == nullptr)
        return false;
    handing_over_ = true;
    hand_over_deadline_ = now + settings_.election * 2;
    send_append(now, *best);
    pending_.messages.push_back(message_to(*best, raft_message_kind::timeout_now));
    return true;
}

bool raft::log_is_up_to_date(log_index index, log_term term) const
{
    log_term const own = term_at(last_index());
    return term > own || (term == own && index >= last_index());
}

void raft::on_vote_request(instant now, raft_message const& message)
{
    bool const is_vote = message.kind == raft_message_kind::vote;
    bool const is_transfer = message.granted;
    // A vote granted while a leader may hold a lease would allow two leaders to serve reads at
    // once. In a leadership transfer the old leader has given up its lease.
    bool const may_break_lease = !is_transfer && (now < vote_barrier_ || is_leader());
    if (may_break_lease || !is_voter() || !known_sender(message))
        return;
    if (is_vote && message.term > vote_.term)
        become_follower(now, message.term, host_name());
    bool granted = message.term > vote_.term ||
                   (is_vote && message.term == vote_.term &&
                    (vote_.voted_for == message.from || vote_.voted_for == host_name()));
    granted = granted && log_is_up_to_date(message.index, message.index_term);
    if (is_vote && granted)
    {
        vote_.voted_for = message.from;
        pending_.vote = vote_;
        reset_election(now);
    }
    raft_message reply =
        message_to({message.from, message.from_disk, true},
                   is_vote ? raft_message_kind::vote_reply : raft_message_kind::pre_vote_reply);
    reply.term = granted ? message.term : vote_.term;
    reply.granted = granted;
    pending_.messages.push_back(std::move(reply));
}

void raft::on_vote_reply(instant now, raft_message const& message)
{
    if (!known_sender(message) || !membership_.find(message.from)->voter)
        return;
    bool const is_pre_vote = message.kind == raft_message_kind::pre_vote_reply;
    if (!message.granted)
    {
        if (message.term > vote_.term)
            become_follower(now, message.term, host_name());
        return;
    }
    auto const expected = is_pre_vote ? raft_role_state::pre_candidate : raft_role_state::candidate;
    log_term const term = is_pre_vote ? log_term(vote_.term.value() + 1) : vote_.term;
    if (role() != expected || message.term != term)
        return;
    votes_[message.from] = true;
    if (votes_.size() < membership_.quorum())
        return;
    if (is_pre_vote)
        start_vote(now);
    else
        become_leader(now);
}

} // namespace guavashed
