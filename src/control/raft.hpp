/// \file
/// Defines raft, one replica of the log: messages and `now` in, a batch of work out.
///
/// After "In Search of an Understandable Consensus Algorithm" (Ongaro, Ousterhout 2014) and
/// Ongaro's thesis, chapters 4 (one membership change at a time), 6 (leases) and 9 (pre-vote).
#pragma once

#include "base/error.hpp"
#include "base/instant.hpp"
#include "control/raft_messages.hpp"
#include "control/raft_role.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace guavashed
{

struct raft_settings
{
    host_name self;
    disk_id disk;
    milliseconds heartbeat{50};
    /// Least time without a leader after which an election may start; also the leader's lease.
    milliseconds election{400};
    std::uint64_t seed = 1;
    std::size_t max_batch_entries = 256;
    std::size_t max_batch_bytes = 1024 * 1024;
};

/// What a replica had on its disk.
struct raft_restored
{
    raft_vote vote;
    raft_snapshot snapshot;
    std::vector<raft_entry> entries;
};

/// Work for the driver, in this order: install, truncate, append, vote, sync; then `on_persisted`;
/// then send the messages and apply the committed entries.
struct raft_batch
{
    std::optional<raft_snapshot> install;
    std::optional<log_index> truncate_from;
    std::vector<raft_entry> append;
    std::optional<raft_vote> vote;
    std::vector<raft_message> messages;
    std::vector<raft_entry> committed;

    bool needs_sync() const { return install || truncate_from || !append.empty() || vote; }
    bool empty() const { return !needs_sync() && messages.empty() && committed.empty(); }
};

/// Thread safety: none; the control duty owns it.
class raft
{
public:
    raft(raft_settings settings, raft_restored restored, instant now);

    void step(instant now, raft_message const& message);
    void tick(instant now);
    /// Adds a command to the log; its index, or `not_leader` with the known leader as the peer.
    result<log_index> propose(std::string command);
    /// Adds or removes one member; refused while an earlier change is not committed.
    result<log_index> propose_membership(raft_membership membership);
    /// Hands leadership to the voter that is furthest along; true when one was asked.
    bool hand_over(instant now);

    /// Next batch; none while the last one is not persisted. Messages leave only after the sync.
    raft_batch take_batch();
    /// The batch taken last is on disk. Messages of that batch may be sent, entries applied.
    void on_persisted(instant now);
    /// Founds the group: the first snapshot, with all voters. Precondition: the log is empty.
    void found(raft_snapshot snapshot);
    /// Persisted entries after `index`, to be kept when the log is compacted there.
    std::vector<raft_entry> persisted_after(log_index index) const;
    /// The driver wrote a snapshot at `index`: the log before it is dropped.
    void on_snapshot(raft_snapshot snapshot);

    raft_role_state role() const { return role_.state(); }
    bool is_leader() const { return role() == raft_role_state::leader; }
    /// True while no other replica can have become leader: answers may be given without a round.
    bool lease_holds(instant now) const;
    /// Until when this replica knows that nothing newer than its log was accepted elsewhere: the
    /// leader's lease, its own or as the leader passed it on.
    instant fresh_until() const;
    /// When the lease ends if no more answers arrive. Meaningful for a leader.
    instant lease_end() const;
    /// True once the leader's first entry is committed, so that its state holds all earlier ones.
    bool caught_up() const;
    host_name const& leader() const { return leader_; }
    log_term term() const { return vote_.term; }
    log_index commit_index() const { return commit_; }
    log_index last_index() const;
    log_index first_index() const { return log_index(snapshot_.index.value() + 1); }
    raft_membership const& membership() const { return membership_; }
    bool is_member() const;
    /// True when no membership change is under way.
    bool membership_settled() const { return membership_index_ <= commit_; }
    /// Index up to which that member is known to hold the log; leader only.
    log_index match_of(host_name const& host) const;
    /// When the leader last heard from that member; leader only.
    instant heard_from(host_name const& host) const;

private:
    struct progress
    {
        log_index next;
        log_index match;
        instant heard;
        /// Leader's clock when the newest answered message was sent.
        instant lease_from;
        instant snapshot_retry;
        bool probing = true;
    };

    raft_entry const& entry_at(log_index index) const;
    log_term term_at(log_index index) const;
    log_index append_entry(entry_kind kind, std::string payload);
    void adopt_membership(raft_membership membership, log_index at);
    void reload_membership();
    raft_message message_to(raft_member const& to, raft_message_kind kind) const;
    void become_follower(instant now, log_term term, host_name leader);
    void start_pre_vote(instant now);
    void start_vote(instant now);
    void become_leader(instant now);
    void reset_election(instant now);
    bool log_is_current(log_index index, log_term term) const;
    void send_votes(raft_message_kind kind, log_term term);
    void broadcast(instant now);
    void send_append(instant now, raft_member const& to);
    void send_snapshot(instant now, raft_member const& to, progress& peer);
    void advance_commit();
    void commit_to(log_index index);
    void on_vote_request(instant now, raft_message const& message);
    void on_vote_reply(instant now, raft_message const& message);
    void on_append(instant now, raft_message const& message);
    void on_append_reply(instant now, raft_message const& message);
    void on_snapshot_message(instant now, raft_message const& message);
    void install(raft_snapshot snapshot);
    bool accept_entries(raft_message const& message);
    bool known_sender(raft_message const& message) const;

    raft_settings settings_;
    raft_role role_;
    raft_vote vote_;
    raft_snapshot snapshot_;
    std::deque<raft_entry> entries_;
    raft_membership membership_;
    log_index membership_index_;
    log_index commit_;
    log_index applied_;
    log_index stable_;
    log_index leader_start_;
    host_name leader_;
    instant election_due_;
    /// No vote is given before this: a live leader may hold a lease on it.
    instant vote_barrier_;
    instant fresh_until_;
    instant heartbeat_due_;
    std::map<host_name, bool> votes_;
    std::map<host_name, progress> peers_;
    std::mt19937_64 random_;
    bool handing_over_ = false;
    bool force_election_ = false;
    instant hand_over_until_;

    raft_batch pending_;
    bool in_flight_ = false;
    bool in_flight_appends_ = false;
    log_index in_flight_last_;
};

} // namespace guavashed
